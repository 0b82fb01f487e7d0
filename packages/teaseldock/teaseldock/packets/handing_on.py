"""Hand off openings to agents of the same service whose servers are free.

A balancer may place a new flow without any fresh load, and the flows that a
server holds stay there while others are idle. The agent beside the server
knows its wait exactly. Agents send each other notices when they are free, and
an agent whose own wait is long passes an opening on to one of them before its
server gets it.
"""

from __future__ import annotations

import collections
import random
import typing

from teaseldock import flow as flows
from teaseldock.packets import admission
from teaseldock.packets import control
from teaseldock.packets import control_budget
from teaseldock.packets import expected_wait
from teaseldock.packets import outcomes
from teaseldock.packets import records
from teaseldock.packets import reporting
from teaseldock.packets import warming

if typing.TYPE_CHECKING:
    from teaseldock.packets import io_interface
    from teaseldock.packets import knowledge
    from teaseldock.packets import packet
    from teaseldock.packets import tracking

#: Maximum number of hand-offs of one opening: each takes a hop of up to 5 ms,
#: and agents that are all loaded must not pass an opening around.
MAX_HAND_OFFS = 2
#: Seconds for which a notice is valid, a few service times. A server that is
#: still free sends another one after its next request.
NOTICE_TTL_S = 0.2
#: Number of agents that get a notice, and of notices that an agent sends
#: within a second. With 36 bytes a notice and headers, they take 0.8 KB/s.
NOTICE_FAN_OUT = 2
MAX_NOTICES_PER_S = 20
#: Seconds between two notices of an idle agent.
IDLE_INTERVAL_S = 1.0
#: Maximum number of agents whose notices are kept. An agent gets some 20
#: notices a second, so that about four are valid at a time.
MAX_NOTICES = 64
#: Share of the route's objective that the wait at the own server must exceed
#: before an opening is handed off.
MIN_OWN_WAIT_SHARE = 0.25
#: Minimum number of seconds that a hand-off must gain: a hand-off between
#: data centres takes half of it.
MIN_GAIN_S = 0.01
#: Seconds for which the decision about an opening is kept: a caller abandons
#: an opening after 1.4 s, and its last copy may wait on a link.
DECISION_TTL_S = 2.0
#: Maximum number of kept decisions: 2,000 new flows a second.
MAX_DECISIONS = 4000
#: Copies of an opening that follow it to the agent that it was handed to. A
#: caller sends two. Without a bound, an opening that both agents refuse would
#: go around between them and the balancer.
MAX_FOLLOWING_COPIES = 2
#: Seconds after which a missing receipt shows that an agent doesn't get the
#: openings handed to it, and seconds for which it gets no more of them. The
#: round trip between data centres takes 11 ms.
RECEIPT_WAIT_S = 0.05
NO_RECEIPT_TTL_S = 5.0


class Notice(typing.NamedTuple):
    """The last availability that an agent reported for its server.

    :ivar wait: its expected wait, as a :class:`~.expected_wait.ExpectedWait`.
    :ivar flows: number of flows that may still be handed to it.
    :ivar at: time at which the notice arrived.
    """

    wait: expected_wait.ExpectedWait
    flows: int
    at: float


class Choice(typing.NamedTuple):
    """The agent that an opening is handed to.

    :ivar host: IPv4 address of its instance.
    :ivar wait: the wait that it promised.
    :ivar age_s: age of its notice.
    """

    host: str
    wait: expected_wait.ExpectedWait
    age_s: float


class Decision:
    """What this agent did with the first copy of an opening.

    :ivar at: time of the decision.
    :ivar sequence: sequence number of the opening; another flow from the same
        port has another one.
    :ivar host: agent that the opening was handed to; None if it was kept
        here, or if that agent has returned it to the balancer.
    :ivar hand_offs: number of hand-offs, including this one.
    :ivar copies: number of later copies that have followed it.
    """

    __slots__ = ('at', 'sequence', 'host', 'hand_offs', 'copies')

    def __init__(
        self, at: float, sequence: int, host: str | None, hand_offs: int
    ) -> None:
        """Record a decision that no copy has followed."""
        self.at = at
        self.sequence = sequence
        self.host = host
        self.hand_offs = hand_offs
        self.copies = 0


class Notices:
    """The valid notices of other agents, by host."""

    def __init__(self) -> None:
        """Create an empty set of notices."""
        self._notices: collections.OrderedDict[str, Notice] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of stored notices."""
        return len(self._notices)

    def add(
        self,
        host: str,
        wait: expected_wait.ExpectedWait,
        *,
        slots: int,
        now: float,
    ) -> None:
        """Replace the notice of an agent.

        :param slots: number of requests that its server runs at once.
        """
        self._notices[host] = Notice(wait, slots, now)
        self._notices.move_to_end(host)
        if len(self._notices) > MAX_NOTICES:
            self._notices.popitem(last=False)

    def drop(self, host: str) -> None:
        """Remove the notice of an agent."""
        self._notices.pop(host, None)

    def best(
        self, now: float, *, without: typing.Container[str] = ()
    ) -> Choice | None:
        """Return the agent that promises the earliest completion, if any.

        :param without: hosts that are not considered.
        """
        self._expire(now)
        valid = [
            Choice(host, notice.wait, now - notice.at)
            for host, notice in self._notices.items()
            if host not in without
        ]
        return min(valid, key=lambda item: item.wait.total_s, default=None)

    def note_used(self, host: str) -> None:
        """Record that a flow was handed to an agent."""
        notice = self._notices.get(host)
        if notice is None:
            return
        if notice.flows <= 1:
            del self._notices[host]
            return
        self._notices[host] = notice._replace(flows=notice.flows - 1)

    def _expire(self, now: float) -> None:
        """Remove the notices that are too old; the oldest come first."""
        while self._notices:
            host, notice = next(iter(self._notices.items()))
            if now - notice.at < NOTICE_TTL_S:
                return
            del self._notices[host]


class HandOnPolicy:
    """Decides to which agent an opening is handed off, if to any."""

    def __init__(self, notices: Notices) -> None:
        """Create a policy that has handed off nothing."""
        self._notices = notices
        self._decisions: collections.OrderedDict[bytes, Decision] = (
            collections.OrderedDict()
        )
        # Time of the first opening without a receipt, by the agent that it
        # was handed to.
        self._receipts_missing: dict[str, float] = {}

    def choose(
        self,
        own: expected_wait.ExpectedWait,
        *,
        aim_s: float,
        sender: str | None,
        hand_offs: int,
        now: float,
    ) -> Choice | None:
        """Return the agent that an opening should be handed to.

        The gain must exceed the promised service time: if another flow has
        reached that server since its notice, the opening waits for as long.

        :param own: expected wait at this agent's server.
        :param aim_s: objective of the opening's route, in seconds.
        :param sender: agent that the opening came from, None for a balancer.
        :param hand_offs: number of hand-offs so far.
        """
        if (
            hand_offs >= MAX_HAND_OFFS
            or own.start_s <= MIN_OWN_WAIT_SHARE * aim_s
        ):
            return None
        without = self._silent_agents(now)
        if sender is not None:
            without.add(sender)
        choice = self._notices.best(now, without=without)
        if choice is None:
            return None
        gain_s = own.total_s - choice.wait.total_s
        if gain_s < max(MIN_GAIN_S, choice.wait.service_s):
            return None
        return choice

    def _silent_agents(self, now: float) -> set[str]:
        """Return the agents that have not confirmed an opening.

        Their notices arrive, but nothing may arrive there: a partition may
        cut one direction only. Each opening that is handed to such an agent
        costs its caller 200 ms.
        """
        for host, since in list(self._receipts_missing.items()):
            if now - since > NO_RECEIPT_TTL_S:
                del self._receipts_missing[host]
        return {
            host
            for host, since in self._receipts_missing.items()
            if now - since > RECEIPT_WAIT_S
        }

    def decision(self, flow: bytes, now: float) -> Decision | None:
        """Return the decision about an earlier copy of an opening, if any."""
        while self._decisions:
            oldest, item = next(iter(self._decisions.items()))
            if now - item.at < DECISION_TTL_S:
                break
            del self._decisions[oldest]
        return self._decisions.get(flow)

    def note_kept(self, item: packet.Packet, now: float) -> None:
        """Record that an opening goes to this agent's server."""
        self._note(item.flow, Decision(now, item.sequence, None, 0))

    def note_handed_on(
        self, item: packet.Packet, host: str, hand_offs: int, now: float
    ) -> None:
        """Record that an opening was handed to another agent.

        :param hand_offs: number of hand-offs, including this one.
        """
        self._notices.note_used(host)
        self._receipts_missing.setdefault(host, now)
        self._note(item.flow, Decision(now, item.sequence, host, hand_offs))

    def _note(self, flow: bytes, decision: Decision) -> None:
        self._decisions[flow] = decision
        self._decisions.move_to_end(flow)
        if len(self._decisions) > MAX_DECISIONS:
            self._decisions.popitem(last=False)

    def note_receipt(self, flow: bytes, host: str, *, refused: bool) -> None:
        """Record that an agent has got an opening from this one.

        :param refused: whether it has returned the opening to the balancer.
            Its server then has none of the copies.
        """
        self._receipts_missing.pop(host, None)
        if not refused:
            return
        self._notices.drop(host)
        decision = self._decisions.get(flow)
        if decision is not None and decision.host == host:
            decision.host = None


class HandOff:
    """Sends the notices of one agent, and hands off its openings."""

    def __init__(
        self,
        service: str,
        host: str,
        *,
        known: knowledge.Knowledge,
        tracker: tracking.Tracker,
        admitted: admission.Admission,
        refuses: typing.Callable[[float], bool],
        is_behind: typing.Callable[[float], bool],
        control_bytes: control_budget.ControlBudget,
        log_fields: typing.Callable[[], dict[str, typing.Any]],
        io: io_interface.IOInterface,
        reporter: reporting.Reporter,
        meters: reporting.Meters,
        randomness: random.Random,
        now: float,
    ) -> None:
        """Create a hand-off without notices.

        :param host: own IPv4 address.
        :param refuses: tells whether this agent refuses new flows.
        :param is_behind: tells whether datagrams that arrive now may have
            waited during a pause of this process.
        :param control_bytes: budget that notices and receipts are charged to.
        :param log_fields: returns the configuration version, store revision
            and era in use, for log lines.
        """
        self._service = service
        self._tag = control.service_tag(service)
        self._host = host
        self._knowledge = known
        self._tracker = tracker
        self._admission = admitted
        self._refuses = refuses
        self._is_behind = is_behind
        self._budget = control_bytes
        self._log_fields = log_fields
        self._io = io
        self._reporter = reporter
        self._meters = meters
        self._random = randomness
        self._notices = Notices()
        self._policy = HandOnPolicy(self._notices)
        self._sent = warming.Window()
        self._notified_at = now

    def tick(self, now: float) -> None:
        """Send a notice if the server has been idle for a while."""
        idle = not self._admission.queue.running and not self._tracker.asked
        if idle and now - self._notified_at >= IDLE_INTERVAL_S:
            self.notify_if_free(now)

    def notify_if_free(self, now: float) -> None:
        """Send a notice to other agents if a new request would soon begin.

        A server that answers no openings, or that fails its requests, looks
        free. It would attract the flows of all others.
        """
        wait = self._admission.expected_wait(now)
        if wait.start_s >= wait.service_s or self._refuses(now):
            return
        if not self._tracker.responsive(now):
            return
        if self._admission.failing(now) > outcomes.FAILING_THRESHOLD:
            return
        self._notified_at = now
        entries = self._knowledge.of_service(self._service)
        hosts = sorted({item.host for item in entries} - {self._host})
        datagram = control.pack_available(self._tag, wait)
        count = min(NOTICE_FAN_OUT, len(hosts))
        for host in self._random.sample(hosts, count):
            if self._sent.count(now) < MAX_NOTICES_PER_S:
                if self._send(host, datagram, now):
                    self._sent.note(now)
                    self._meters.counters['notices_sent'] += 1
                    continue
            self._meters.counters['notices_left_out'] += 1

    def _send(self, host: str, datagram: bytes, now: float) -> bool:
        """Send a control message; return False if the budget forbids it."""
        question = control_budget.Purpose.QUESTION
        if not self._budget.allows(question, now):
            return False
        self._budget.spend(question, len(datagram))
        self._io.to_process(host, datagram)
        return True

    def on_available(
        self, envelope: control.Envelope, host: str, now: float
    ) -> None:
        """Record the notice of another agent.

        A notice that waited during a pause of this process is ignored, since
        its age is unknown.
        """
        wait = control.read_available(envelope.body)
        slots = self._slots_of(host)
        if envelope.tag != self._tag or self._is_behind(now) or not slots:
            self._meters.counters['notices_ignored'] += 1
            return
        self._notices.add(host, wait, slots=slots, now=now)

    def _slots_of(self, host: str) -> int:
        """Return the slots of a server that may get new flows, else 0."""
        return max(
            (
                item.slots
                for item in self._knowledge.placeable(self._service)
                if item.host == host
            ),
            default=0,
        )

    def on_moved(self, envelope: control.Envelope, host: str) -> None:
        """Handle the receipt of an opening that this agent handed off."""
        flow = control.read_moved(envelope.body)
        refused = envelope.detail == control.MovedResult.REFUSED
        self._policy.note_receipt(flow, host, refused=refused)

    def send_receipt(
        self, flow: bytes, host: str, now: float, *, refused: bool
    ) -> None:
        """Tell the sender of an opening that it has arrived.

        :param refused: whether this agent returns it to the balancer.
        """
        result = control.MovedResult(refused)
        self._send(host, control.pack_moved(result, self._tag, flow), now)

    def announce_moved(self, flow: bytes, balancer: str, now: float) -> None:
        """Tell the balancer that this agent has got a flow's opening.

        After a pause of this process, the caller may have opened the flow at
        another server in the meantime, so nothing is sent.
        """
        if not self._is_behind(now):
            taken = control.MovedResult.TAKEN
            moved = control.pack_moved(taken, self._tag, flow)
            self._send(balancer, moved, now)

    def pass_on(
        self,
        item: packet.Packet,
        balancer: str,
        now: float,
        *,
        sender: str | None = None,
        hand_offs: int = 0,
    ) -> bool:
        """Hand off an opening if another agent would complete it sooner.

        :param balancer: host of the balancer that placed the flow.
        :param sender: agent that the opening came from, None for a balancer.
        :param hand_offs: number of hand-offs so far.
        :returns: whether the opening was handed off.
        """
        refuses = self._refuses(now)
        earlier = self._policy.decision(item.flow, now)
        if earlier is not None and earlier.sequence != item.sequence:
            # The caller opens another flow from the same port.
            earlier = None
        if earlier is not None and earlier.host is not None:
            # The decision stands while a later copy is kept here: the other
            # server may still have accepted the first one.
            refuses = refuses and not self._tracker.half_open(item.flow)
            # The network may duplicate the first copy.
            follows = refuses or not item.acknowledged
            return follows and self._follow(item, earlier, balancer)
        if earlier is None and not refuses and not item.acknowledged:
            if self._hand_on(item, balancer, sender, hand_offs, now):
                return True
        if not refuses:
            self._policy.note_kept(item, now)
        return False

    def _hand_on(
        self,
        item: packet.Packet,
        balancer: str,
        sender: str | None,
        hand_offs: int,
        now: float,
    ) -> bool:
        """Hand off the first copy of an opening if it is answered sooner.

        Uploads are not handed off: their requests don't wait for a slot. If
        the balancer doesn't learn of the hand-off, it sends the flow's packets
        here. They are returned without reaching the server, and a search
        follows.
        """
        route = self._knowledge.route(flows.packed_service_endpoint(item.flow))
        if route is None or route.kind == records.RequestKind.UPLOAD:
            return False
        if self._tracker.knows(item.flow):
            return False
        # Requests of lower priority count too: they stay behind with their
        # flows, and an opening that goes elsewhere delays none of them.
        own = self._admission.expected_wait(now)
        choice = self._policy.choose(
            own,
            aim_s=route.aim_ms / 1000,
            sender=sender,
            hand_offs=hand_offs,
            now=now,
        )
        if choice is None:
            return False
        hand_offs += 1
        self._policy.note_handed_on(item, choice.host, hand_offs, now)
        self._tracker.mark_not_held(item.flow, now)
        self._meters.counters['handed_on'] += 1
        self._reporter.note(
            'handed on',
            flow=reporting.flow_text(item.flow),
            to=choice.host,
            own_wait_ms=round(own.start_s * 1000),
            promised_wait_ms=round(choice.wait.start_s * 1000),
            notice_age_ms=round(choice.age_s * 1000),
            hand_offs=hand_offs,
            **self._log_fields(),
        )
        self._send_opening(item, choice.host, hand_offs, balancer)
        return True

    def _follow(
        self, item: packet.Packet, earlier: Decision, balancer: str
    ) -> bool:
        """Send a copy after the opening that was handed off.

        This agent may refuse new flows by now. If it returned the copy, a
        balancer without another target would reset the flow, although the
        other server may have accepted the opening.
        """
        if earlier.copies >= MAX_FOLLOWING_COPIES:
            return False
        earlier.copies += 1
        self._meters.counters['copies_followed'] += 1
        self._send_opening(item, earlier.host, earlier.hand_offs, balancer)
        return True

    def _send_opening(
        self, item: packet.Packet, host: str, hand_offs: int, balancer: str
    ) -> None:
        opening = control.HandedOpening(balancer, hand_offs, item.raw)
        self._io.to_process(host, control.pack_handed_on(self._tag, opening))
