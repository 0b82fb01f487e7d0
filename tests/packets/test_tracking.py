"""Test what packets show of a backend server."""

from __future__ import annotations

from teaseldock.packets import packet
from teaseldock.packets import tracking

FLOW = bytes(range(12))


def made(**fields: object) -> packet.Packet:
    """Return a packet of the test's flow."""
    empty = packet.Packet(
        FLOW, False, False, False, False, False, 0, 0, 0, bytes(4), b''
    )
    return empty._replace(**fields)


def opened() -> tracking.Tracker:
    """Return a tracker that saw the flow open."""
    tracker = tracking.Tracker(0.0)
    tracker.from_caller(made(opening=True), 0.0)
    tracker.from_server(made(accepting=True), 0.0)
    return tracker


def test_a_request_is_seen_from_its_first_byte_to_its_answer() -> None:
    """The load counts a request while it is at the server."""
    tracker = opened()
    assert tracker.from_caller(made(length=90, sequence=1), 1.0) is not None
    assert tracker.load(2, 1.0).running == 1
    assert tracker.from_server(made(length=500), 1.03) is not None
    assert tracker.load(2, 1.03).running == 0


def test_a_repetition_is_no_request() -> None:
    """A server looks busy though it is idle.

    Symptom: slots stay taken until requests time out.
    Events: a caller's request is answered, but the caller repeats it, since
    the acknowledgement was lost.
    Cause: data after an answer was taken for a new request.
    """
    tracker = opened()
    tracker.from_caller(made(length=90, sequence=1), 1.0)
    tracker.from_server(made(length=500), 1.1)
    assert tracker.from_caller(made(length=90, sequence=1), 1.2) is None
    assert tracker.asked == 0
    assert tracker.from_caller(made(length=90, sequence=91), 2.0) is not None


def test_sequence_numbers_wrap() -> None:
    """New data beyond the largest number is new."""
    tracker = opened()
    top = (1 << 32) - 40
    assert tracker.from_caller(made(length=40, sequence=top), 1.0)
    tracker.from_server(made(length=1), 1.1)
    assert tracker.from_caller(made(length=40, sequence=0), 1.2)


def test_time_before_the_opening_counts() -> None:
    """A caller whose second copy got through has waited 0.6 s already."""
    tracker = tracking.Tracker(0.0)
    tracker.from_caller(made(opening=True, acknowledged=2), 5.0)
    tracker.from_server(made(accepting=True), 5.0)
    asked = tracker.from_caller(made(length=1, sequence=1), 5.01)
    assert asked is not None
    assert abs(asked.since - 4.41) < 1e-6


def test_a_silent_server_shows() -> None:
    """New flows go to a server that answers nothing.

    Symptom: callers' openings to one target all time out.
    Events: the server stops answering while its agent goes on.
    Cause: the agent's heartbeat said nothing of the server.
    """
    tracker = opened()
    for number in range(tracking.SILENT_OPENINGS):
        flow = bytes([number]) * 12
        tracker.from_caller(made(opening=True)._replace(flow=flow), 1.0)
    assert tracker.load(2, 1.01).accepting
    assert not tracker.load(2, 1.3).accepting
    tracker.from_server(made(length=1), 1.4)
    assert tracker.load(2, 1.4).accepting


def test_ended_flows_are_forgotten() -> None:
    """A reset, a close and silence each end a flow."""
    for ending in (made(resetting=True), made(closing=True)):
        tracker = opened()
        tracker.from_server(ending, 1.0)
        assert tracker.flows == 0
    tracker = opened()
    tracker.sweep(15.0 + tracking.IDLE_MARGIN_S + 1, idle_s=15.0)
    assert tracker.flows == 0


def test_a_repeated_answer_ends_no_request() -> None:
    """A server's slots stay taken though it is idle.

    Symptom: requests wait until their timeout at a server with free slots.
    Events: a server repeats the last packet of an answer, since only every
    second packet is acknowledged; the caller has asked again meanwhile.
    Cause: the repetition was taken for the answer to the second request,
    whose own answer then ended nothing.
    """
    tracker = opened()
    tracker.from_caller(made(length=90, sequence=1), 1.0)
    answer = made(length=500, sequence=1000)
    assert tracker.from_server(answer, 1.1) is not None
    tracker.from_caller(made(length=90, sequence=91), 1.2)
    assert tracker.from_server(answer, 1.3) is None
    assert tracker.asked == 1
    assert tracker.from_server(made(length=9, sequence=1500), 1.4) is not None
    assert tracker.asked == 0


def test_a_caller_shows_whose_acceptance_it_took() -> None:
    """Only the number of this server's acceptance is taken for a proof."""
    tracker = tracking.Tracker(0.0)
    tracker.from_caller(made(opening=True), 0.0)
    assert not tracker.acknowledges_acceptance(made(acknowledged=1, length=9))
    tracker.from_server(made(accepting=True, sequence=70_000), 0.0)
    assert tracker.acknowledges_acceptance(made(acknowledged=70_000, length=9))
    assert tracker.acknowledges_acceptance(made(acknowledged=70_001, length=9))
    assert not tracker.acknowledges_acceptance(
        made(acknowledged=69_999, length=9)
    )
    assert not tracker.acknowledges_acceptance(
        made(acknowledged=90_000, length=9)
    )
    assert not tracker.acknowledges_acceptance(
        made(acknowledged=70_000, resetting=True)
    )
