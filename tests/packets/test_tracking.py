"""Test the state of a backend server that its packets show."""

from __future__ import annotations

import pytest

from teaseldock.packets import packet
from teaseldock.packets import tracking

FLOW = bytes(range(12))


def make_packet(**fields: object) -> packet.Packet:
    """Return a packet of the test's flow."""
    empty = packet.Packet(
        FLOW, False, False, False, False, False, 0, 0, 0, bytes(4), b''
    )
    return empty._replace(**fields)


def tracker_of_open_flow() -> tracking.Tracker:
    """Return a tracker that saw the flow open."""
    tracker = tracking.Tracker(0.0)
    tracker.from_caller(make_packet(opening=True), 0.0)
    tracker.from_server(make_packet(accepting=True), 0.0)
    return tracker


def test_a_request_is_seen_from_its_first_byte_to_its_answer() -> None:
    """The load counts a request while it is at the server."""
    tracker = tracker_of_open_flow()
    assert (
        tracker.from_caller(make_packet(length=90, sequence=1), 1.0)
        is not None
    )
    assert tracker.load(2, 1.0).running == 1
    assert tracker.from_server(make_packet(length=500), 1.03) is not None
    assert tracker.load(2, 1.03).running == 0


def test_a_repetition_is_no_request() -> None:
    """A retransmitted request does not count as a new one.

    A caller repeats an answered request, since the acknowledgement was lost.
    If any data after an answer counted as a new request, slots would stay
    occupied until the timeout, and an idle server would look busy.
    """
    tracker = tracker_of_open_flow()
    tracker.from_caller(make_packet(length=90, sequence=1), 1.0)
    tracker.from_server(make_packet(length=500), 1.1)
    assert tracker.from_caller(make_packet(length=90, sequence=1), 1.2) is None
    assert tracker.asked == 0
    assert (
        tracker.from_caller(make_packet(length=90, sequence=91), 2.0)
        is not None
    )


def test_sequence_numbers_wrap() -> None:
    """Data after the wrap of the sequence number is new."""
    tracker = tracker_of_open_flow()
    top = (1 << 32) - 40
    assert tracker.from_caller(make_packet(length=40, sequence=top), 1.0)
    tracker.from_server(make_packet(length=1), 1.1)
    assert tracker.from_caller(make_packet(length=40, sequence=0), 1.2)


def test_time_before_the_opening_counts() -> None:
    """A caller whose second repeated opening got through has waited 0.6 s."""
    tracker = tracking.Tracker(0.0)
    tracker.from_caller(make_packet(opening=True, acknowledged=2), 5.0)
    tracker.from_server(make_packet(accepting=True), 5.0)
    asked = tracker.from_caller(make_packet(length=1, sequence=1), 5.01)
    assert asked is not None
    assert abs(asked.since - 4.41) < 1e-6


def test_a_silent_server_shows() -> None:
    """A server that answers no openings stops accepting new flows.

    The server stops answering while its agent goes on. If the agent's
    heartbeat did not report the server's state, new flows would still be
    placed there, and their openings would time out.
    """
    tracker = tracker_of_open_flow()
    for number in range(tracking.UNANSWERED_OPENINGS):
        flow = bytes([number]) * 12
        tracker.from_caller(make_packet(opening=True)._replace(flow=flow), 1.0)
    assert tracker.load(2, 1.01).accepting
    assert not tracker.load(2, 1.3).accepting
    tracker.from_server(make_packet(length=1), 1.4)
    assert tracker.load(2, 1.4).accepting


def test_ended_flows_are_forgotten() -> None:
    """A reset, a close and the idle timeout each end a flow."""
    for ending in (make_packet(resetting=True), make_packet(closing=True)):
        tracker = tracker_of_open_flow()
        tracker.from_server(ending, 1.0)
        assert tracker.flows == 0
    tracker = tracker_of_open_flow()
    tracker.sweep(15.0 + tracking.IDLE_MARGIN_S + 1, idle_s=15.0)
    assert tracker.flows == 0


def test_a_repeated_answer_ends_no_request() -> None:
    """A retransmitted answer does not end the next request.

    A server repeats the last packet of an answer, since only every second
    packet is acknowledged, and the caller has sent the next request meanwhile.
    If the repetition counted as the answer to that request, the request's own
    answer would end nothing. Its slot would stay occupied, and requests would
    wait until their timeout at a server with free slots.
    """
    tracker = tracker_of_open_flow()
    tracker.from_caller(make_packet(length=90, sequence=1), 1.0)
    answer = make_packet(length=500, sequence=1000)
    assert tracker.from_server(answer, 1.1) is not None
    tracker.from_caller(make_packet(length=90, sequence=91), 1.2)
    assert tracker.from_server(answer, 1.3) is None
    assert tracker.asked == 1
    assert (
        tracker.from_server(make_packet(length=9, sequence=1500), 1.4)
        is not None
    )
    assert tracker.asked == 0


def test_a_caller_shows_whose_acceptance_it_took() -> None:
    """Only an acknowledgement of this server's number is a proof."""
    tracker = tracking.Tracker(0.0)
    tracker.from_caller(make_packet(opening=True), 0.0)
    assert not tracker.acknowledges_acceptance(
        make_packet(acknowledged=1, length=9)
    )
    tracker.from_server(make_packet(accepting=True, sequence=70_000), 0.0)
    assert tracker.acknowledges_acceptance(
        make_packet(acknowledged=70_000, length=9)
    )
    assert tracker.acknowledges_acceptance(
        make_packet(acknowledged=70_001, length=9)
    )
    assert not tracker.acknowledges_acceptance(
        make_packet(acknowledged=69_999, length=9)
    )
    assert not tracker.acknowledges_acceptance(
        make_packet(acknowledged=90_000, length=9)
    )
    assert not tracker.acknowledges_acceptance(
        make_packet(acknowledged=70_000, resetting=True)
    )


def test_a_port_used_again_begins_a_new_flow() -> None:
    """Guards against a request that counts as a copy of a former flow's.

    The former flow was never closed. Its last number is beyond those of the
    new flow, whose request would occupy no slot.
    """
    tracker = tracker_of_open_flow()
    tracker.from_caller(make_packet(length=90, sequence=5000), 1.0)
    tracker.from_server(make_packet(length=500), 1.1)
    tracker.from_caller(make_packet(opening=True, sequence=100), 9.0)
    tracker.from_server(make_packet(accepting=True, sequence=800), 9.0)
    assert tracker.half_open(FLOW)
    assert tracker.from_caller(make_packet(length=90, sequence=101), 9.1)
    assert tracker.asked == 1


def test_a_repeated_acceptance_begins_no_flow() -> None:
    """Guards against a flow that is half open again after its first answer."""
    tracker = tracker_of_open_flow()
    tracker.from_server(make_packet(accepting=True, sequence=800), 0.5)
    tracker.from_caller(make_packet(length=90, sequence=1), 1.0)
    tracker.from_server(make_packet(length=500, sequence=801), 1.1)
    tracker.from_server(make_packet(accepting=True, sequence=800), 1.2)
    assert tracker.holds(FLOW)


@pytest.mark.parametrize('mebibytes', [1, 15, 17, 600, 2100, 5000])
def test_a_flow_stays_held_however_much_was_sent(mebibytes: int) -> None:
    """Guards against a reset of a flow over which a server has sent 16 MiB."""
    tracker = tracking.Tracker(0.0)
    start = (1 << 32) - 5_000_000
    tracker.from_caller(make_packet(opening=True), 0.0)
    tracker.from_server(make_packet(accepting=True, sequence=start), 0.0)
    sent = start + 1
    for number in range(mebibytes):
        item = make_packet(length=1 << 20, sequence=sent % (1 << 32))
        tracker.from_server(item, number / 100)
        sent += 1 << 20
        for delayed in (0, 19_200):
            number_seen = (sent - delayed) % (1 << 32)
            assert tracker.belongs(make_packet(acknowledged=number_seen))
    assert tracker.holds(FLOW)


@pytest.mark.parametrize('mebibytes', [1, 17, 600])
def test_another_servers_number_belongs_to_no_flow_here(
    mebibytes: int,
) -> None:
    """Guards against a server that gets the packets of another one's flow."""
    tracker = tracking.Tracker(0.0)
    tracker.from_caller(make_packet(opening=True), 0.0)
    tracker.from_server(make_packet(accepting=True, sequence=5000), 0.0)
    for number in range(mebibytes):
        tracker.from_server(
            make_packet(length=1 << 20, sequence=5001 + (number << 20)), 1.0
        )
    for foreign in (4999, 5001 + (mebibytes << 20) + (1 << 24), 1 << 31):
        assert not tracker.belongs(make_packet(acknowledged=foreign))
        assert not tracker.may_include(FLOW, foreign)
