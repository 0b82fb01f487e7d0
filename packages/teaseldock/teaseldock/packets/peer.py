"""Keep the last reported state of another process."""

from __future__ import annotations

import typing

import siphash24

if typing.TYPE_CHECKING:
    from teaseldock.packets import control

#: Seconds for which a negative state of a process is used: that it is leaving,
#: takes no new flows, or did not answer an opening. After that it is queried
#: again, since it reports its recovery only to the balancers that it reports
#: to.
NEGATIVE_STATE_TTL_S = 2.0
#: Seconds for which an agent counts as reporting after its last report.
REPORTING_S = 1.5
#: Seconds without an answer to a question after which the answer counts as
#: overdue: thirty round trips between data centres.
ANSWER_TIMEOUT_S = 0.1
#: Seconds for which the answer counts as overdue. The process is queried again
#: after that, since no other process reports its return.
OVERDUE_S = 1.0
#: Seconds without a heartbeat from a balancer after which an agent replaces
#: it, and seconds until the agent tries that balancer again.
REPORT_TIMEOUT_S = 1.3
REPORT_RETRY_S = 5.0
_RANK_KEY = b'teaseldock-read2'


class Peer:
    """Another process and the state that it last reported."""

    def __init__(self, host: str, *, is_balancer: bool) -> None:
        """Create a peer without a heartbeat yet."""
        self.host = host
        self.is_balancer = is_balancer
        self.heartbeat: control.Heartbeat | None = None
        self.heard_at: float | None = None
        self.added_at = 0.0
        self.sent_at = 0.0
        self.named_at = 0.0
        self.reported_at: float | None = None
        # Time of the oldest unanswered question, and of the first heartbeat
        # that the peer has not replied to with any message.
        self.asked_at: float | None = None
        self.unanswered_since: float | None = None
        self.rank = reader_rank(host)
        self.report_rank = b''

    @property
    def revision(self) -> int:
        """Return the store position that the process has reached."""
        return self.heartbeat.revision if self.heartbeat else 0

    @property
    def alerted(self) -> int:
        """Return the revision up to which the process holds all alerts."""
        return self.heartbeat.alerted if self.heartbeat else 0

    @property
    def version(self) -> int:
        """Return the version of the configuration that the process uses."""
        return self.heartbeat.version if self.heartbeat else 0

    @property
    def has_no_state(self) -> bool:
        """Tell whether the process reports that it holds no store state."""
        return self.heartbeat is not None and not self.heartbeat.revision

    def leaving(self, now: float) -> bool:
        """Tell whether the process is about to stop.

        The report expires: a leaving process sends it to all balancers, but
        after its restart it reports to a few only. The others would otherwise
        never place flows on its instance again.
        """
        if self.heartbeat is None or not self.heartbeat.leaving:
            return False
        return self.heard_within(NEGATIVE_STATE_TTL_S, now)

    def heard_within(self, seconds: float, now: float) -> bool:
        """Tell whether a heartbeat arrived in the last seconds."""
        return self.heard_at is not None and now - self.heard_at <= seconds

    def is_reporting(self, now: float) -> bool:
        """Tell whether this agent reports here without being asked."""
        if self.is_balancer or self.reported_at is None:
            return False
        return now - self.reported_at <= REPORTING_S

    def answer_overdue(self, now: float) -> bool:
        """Tell whether the process has not answered a question in time."""
        if self.asked_at is None:
            return False
        return (
            ANSWER_TIMEOUT_S
            < now - self.asked_at
            < ANSWER_TIMEOUT_S + OVERDUE_S
        )

    def note_question_sent(self, now: float) -> None:
        """Record a question; keep the time of an older unanswered one."""
        if self.asked_at is None or now - self.asked_at > OVERDUE_S:
            self.asked_at = now

    def note_heartbeat_sent(self, now: float) -> None:
        """Record that a heartbeat was sent to the process."""
        self.sent_at = now
        if self.unanswered_since is None:
            self.unanswered_since = now

    def reports_unanswered(self, now: float) -> bool:
        """Tell whether the process does not answer the reports sent to it."""
        if self.unanswered_since is None:
            return False
        if now - self.unanswered_since <= REPORT_TIMEOUT_S:
            return False
        return now - self.sent_at < REPORT_RETRY_S

    def record_heartbeat(
        self, heartbeat: control.Heartbeat, now: float, *, solicited: bool
    ) -> None:
        """Replace the state of the process by a new heartbeat.

        :param solicited: whether it answers a question.
        """
        if not solicited:
            self.reported_at = now
        self.heartbeat = heartbeat
        self.is_balancer = heartbeat.is_balancer
        self.heard_at = now
        self.asked_at = None
        self.unanswered_since = None


def reader_rank(host: str) -> bytes:
    """Return the rank by which the readers of the store are chosen."""
    return siphash24.siphash24(host.encode(), key=_RANK_KEY).digest()
