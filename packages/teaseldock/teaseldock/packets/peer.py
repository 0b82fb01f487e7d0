"""Keep the last reported state of another process."""

from __future__ import annotations

import typing

import siphash24

if typing.TYPE_CHECKING:
    from teaseldock import load
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
#: Seconds for which the last reported service time of an agent's server is
#: used, longer than the usual interval between two queries to an agent. A slow
#: server that gets no new flows is tried again after this time, although no
#: report has shown its recovery.
SERVICE_TIME_TTL_S = 5.0
#: Age of the last heartbeat, in seconds, from which an agent is asked for
#: another one instead of a short report. Heartbeats tell which flows may be at
#: its server, and that is used for mesh.REPORT_VALID_S; the rest is for the
#: interval between two queries. Without it, searches would also ask agents
#: that can't hold the flow.
HEARTBEAT_DUE_S = 2.5
_RANK_KEY = b'teaseldock-read2'


class Peer:
    """Another process and the state that it last reported."""

    def __init__(self, host: str, *, is_balancer: bool) -> None:
        """Create a peer without a heartbeat yet."""
        self.host = host
        self.is_balancer = is_balancer
        self.heartbeat: control.Heartbeat | None = None
        # Time of the last heartbeat, and of the last heartbeat or short
        # report.
        self.heartbeat_at: float | None = None
        self.heard_at: float | None = None
        # Newest load of an agent's server, from either message, and the short
        # report if that was the newest.
        self.server_load: load.Load | None = None
        self.failing_percent = 0
        self.load_report: control.LoadReport | None = None
        self._leaving = False
        self._service_s = 0.0
        self._service_at = 0.0
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
        return self._leaving and self.heard_within(NEGATIVE_STATE_TTL_S, now)

    def heard_within(self, seconds: float, now: float) -> bool:
        """Tell whether the process was alive in the last seconds."""
        return self.heard_at is not None and now - self.heard_at <= seconds

    def reported_state_within(self, seconds: float, now: float) -> bool:
        """Tell whether a heartbeat arrived in the last seconds.

        A short report is a sign of life, but says nothing of the process's
        store state and of the flows that it holds.
        """
        if self.heartbeat_at is None:
            return False
        return now - self.heartbeat_at <= seconds

    def service_s(self, now: float) -> float | None:
        """Return the last reported service time of the agent's server.

        :returns: None if it is not known, or no longer.
        """
        if not self._service_s or now - self._service_at > SERVICE_TIME_TTL_S:
            return None
        return self._service_s

    def needs_heartbeat(self, now: float) -> bool:
        """Tell whether this agent should be asked for a heartbeat.

        A placement needs the service time, which only a short report has.
        """
        if self.service_s(now) is None:
            return False
        return not self.reported_state_within(HEARTBEAT_DUE_S, now)

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
        if self.heartbeat and self.heartbeat.started != heartbeat.started:
            self._service_s = 0.0
        self.heartbeat = heartbeat
        self.heartbeat_at = now
        self.is_balancer = heartbeat.is_balancer
        self.server_load = heartbeat.server_load
        self.failing_percent = heartbeat.failing_percent
        self.load_report = None
        self._leaving = heartbeat.leaving
        self._note_alive(now)

    def record_load_report(
        self, report: control.LoadReport, now: float
    ) -> None:
        """Replace the load of an agent's server by a short report.

        An agent that has restarted reports no service time; the one that it
        reported before is dropped.
        """
        self.is_balancer = False
        self.server_load = report.server_load
        self.failing_percent = report.failing_percent
        self.load_report = report
        self._leaving = report.leaving
        self._service_s = report.service_s
        self._service_at = now
        self._note_alive(now)

    def _note_alive(self, now: float) -> None:
        self.heard_at = now
        self.asked_at = None
        self.unanswered_since = None

    def postpone(self, pause_s: float) -> None:
        """Keep the age of all reports over a pause of this process."""
        if self.heard_at is not None:
            self.heard_at += pause_s
        if self.heartbeat_at is not None:
            self.heartbeat_at += pause_s


def reader_rank(host: str) -> bytes:
    """Return the rank by which the readers of the store are chosen."""
    return siphash24.siphash24(host.encode(), key=_RANK_KEY).digest()
