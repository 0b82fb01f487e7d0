"""Describe another process as it last told of itself."""

from __future__ import annotations

import typing

import siphash24

if typing.TYPE_CHECKING:
    from teaseldock.packets import control

#: Seconds for which bad news of a process is believed (that it leaves, takes
#: no new flows, let an opening be repeated). It is asked again then; good news
#: reaches only those that it reports to.
NEGATIVE_STATE_TTL_S = 2.0
#: Seconds for which an agent counts as reporting after its last report.
REPORTING_S = 1.5
#: Seconds without an answer to a question after which a process counts as
#: missing: thirty round trips between data centres.
ANSWER_TIMEOUT_S = 0.1
#: Seconds for which it counts as missing; it is asked again then, since
#: nobody else tells that it is back.
OVERDUE_S = 1.0
#: Seconds without a word of a balancer that an agent reports to, until it
#: reports to another one, and until that one is tried again.
REPORT_TIMEOUT_S = 1.3
REPORT_RETRY_S = 5.0
_RANK_KEY = b'teaseldock-read2'


class Peer:
    """Another process as it last described itself."""

    def __init__(self, host: str, *, is_balancer: bool) -> None:
        """Start with a process that has not been heard."""
        self.host = host
        self.is_balancer = is_balancer
        self.heartbeat: control.Heartbeat | None = None
        self.heard_at: float | None = None
        self.added_at = 0.0
        self.sent_at = 0.0
        self.named_at = 0.0
        self.reported_at: float | None = None
        # Since when it owes an answer to a question, or any word at all.
        self.asked_at: float | None = None
        self.unheard_since: float | None = None
        self.rank = reader_rank(host)
        self.report_rank = b''

    @property
    def revision(self) -> int:
        """Return up to which revision the process knows the store."""
        return self.heartbeat.revision if self.heartbeat else 0

    @property
    def alerted(self) -> int:
        """Return up to which revision the process knows all alerts."""
        return self.heartbeat.alerted if self.heartbeat else 0

    @property
    def version(self) -> int:
        """Return the version of the configuration that the process uses."""
        return self.heartbeat.version if self.heartbeat else 0

    @property
    def has_no_state(self) -> bool:
        """Tell whether the process says that it knows nothing of the store."""
        return self.heartbeat is not None and not self.heartbeat.revision

    def leaving(self, now: float) -> bool:
        """Tell whether the process is about to stop.

        That is believed for a while only: it tells everybody, but after its
        restart only those that it reports to. Its instance would get no flows
        of all others for ever.
        """
        if self.heartbeat is None or not self.heartbeat.leaving:
            return False
        return self.heard_within(NEGATIVE_STATE_TTL_S, now)

    def heard_within(self, seconds: float, now: float) -> bool:
        """Tell whether the process was heard in the last seconds."""
        return self.heard_at is not None and now - self.heard_at <= seconds

    def is_reporting(self, now: float) -> bool:
        """Tell whether an agent reports here by itself."""
        if self.is_balancer or self.reported_at is None:
            return False
        return now - self.reported_at <= REPORTING_S

    def answer_overdue(self, now: float) -> bool:
        """Tell whether the process owes the answer to a question."""
        if self.asked_at is None:
            return False
        return (
            ANSWER_TIMEOUT_S
            < now - self.asked_at
            < ANSWER_TIMEOUT_S + OVERDUE_S
        )

    def note_question_sent(self, now: float) -> None:
        """Note a question; one that waits for its answer stays the first."""
        if self.asked_at is None or now - self.asked_at > OVERDUE_S:
            self.asked_at = now

    def note_heartbeat_sent(self, now: float) -> None:
        """Note a heartbeat to the process."""
        self.sent_at = now
        if self.unheard_since is None:
            self.unheard_since = now

    def reports_unanswered(self, now: float) -> bool:
        """Tell whether the process has no word for whoever reports to it."""
        if self.unheard_since is None:
            return False
        if now - self.unheard_since <= REPORT_TIMEOUT_S:
            return False
        return now - self.sent_at < REPORT_RETRY_S

    def record_heartbeat(
        self, heartbeat: control.Heartbeat, now: float, *, solicited: bool
    ) -> None:
        """Take over what the process says of itself.

        :param solicited: whether it answers a question.
        """
        if not solicited:
            self.reported_at = now
        self.heartbeat = heartbeat
        self.is_balancer = heartbeat.is_balancer
        self.heard_at = now
        self.asked_at = None
        self.unheard_since = None


def reader_rank(host: str) -> bytes:
    """Return the order in which processes read the store."""
    return siphash24.siphash24(host.encode(), key=_RANK_KEY).digest()
