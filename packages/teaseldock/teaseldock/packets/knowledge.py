"""Store what the configuration store published, and compute deltas for peers.

All processes hold the same entries, ordered by positions in the store's
history. A process with a higher position sends the difference to its peers, so
that few processes need to read the store. Revisions in this module are
positions, see :mod:`teaseldock.packets.positions`. Once one process has read a
store that was restored from an older copy, its state has a higher position
than any state from before the restore. All other processes then request the
full state once, and serve from their previous state until it arrives.
"""

from __future__ import annotations

from teaseldock.packets import alerts as alert_logs
from teaseldock.packets import departures
from teaseldock.packets import evacuations
from teaseldock.packets import positions
from teaseldock.packets import records
from teaseldock.packets import registry
from teaseldock.packets import removals
from teaseldock.packets import removed_targets
from teaseldock.packets import route_table

#: Largest number of routes dropped by one configuration for which alerts are
#: sent; operators drop fewer by hand. Larger drops arrive as fast with the
#: other changes, as one list.
MAX_ROUTE_ALERTS = 50
#: Seconds for which evacuations stay active after the store was restored from
#: an older copy. Within that time, the operator and the servers have written
#: again what the copy lacks: it covers a heartbeat of a server and the
#: propagation of its entry.
EVACUATION_HOLD_S = 4.0


class Knowledge:
    """Targets and configuration up to one revision of the store."""

    def __init__(self) -> None:
        """Create an empty state at revision 0."""
        # All entries as published. The registry has those of configured
        # services, as modified by newer alerts.
        self._entries: dict[str, records.Target] = {}
        self._registry = registry.Registry()
        self._unnamed_hosts: set[str] = set()
        self._departures = departures.Departures()
        self._evacuations = evacuations.Evacuations()
        self._alerts = alert_logs.AlertLog()
        self._alerts_upto = 0
        # Upper bound of the newest alert's revision where it exceeds all known
        # alerts: a full read does not list removed entries.
        self._newest_alert_limit = 0
        self._needs_full_sync = False
        self._removals = removals.RemovalLog()
        self._removed = removed_targets.RemovedTargets()
        self._table = route_table.RouteTable()
        self._revision = 0
        self._content_revision = 0
        self._layout_revision = 0
        self._changed_at = 0.0
        # Whether changes are being applied, or a fault ended that midway.
        self._applying = False

    @property
    def revision(self) -> int:
        """Return the store's revision up to which the state is complete."""
        return self._revision

    @property
    def content_revision(self) -> int:
        """Return the revision of the newest relevant change that is known.

        The store's revision also rises on writes that don't concern this
        system. Comparing this revision instead keeps processes from sending
        each other empty changes.

        A read in several pages may hold an entry that is newer than the
        revision that the read covers, while older changes on earlier pages are
        missing. If the revision of that entry were reported, peers would
        conclude that they lack nothing: a target would stay unknown to them
        until it changes again, and the flows that it holds would be reset.
        """
        return min(self._content_revision, self._revision)

    @property
    def layout_revision(self) -> int:
        """Return the revision of the newest change in where flows may be.

        Such a change is a new configuration, or an entry on an instance that
        had no target. A process with a lower layout revision must not report
        that no target holds a flow. Other changes don't affect this and are
        frequent: 52 servers that start at once write 100 entries a second
        while they warm up, and balancers that waited for all of these reset
        lost flows only after up to 0.85 s.
        """
        return min(self._layout_revision, self._revision)

    @property
    def alerted(self) -> int:
        """Return the revision of the newest alert with no gap before it.

        It may exceed :attr:`content_revision`, because alerts don't wait for
        other changes. After a full read, the newest alert may concern a
        removed entry, which the read doesn't list; its revision is then
        assumed to be that of the read. If the newest alert stored here were
        reported instead, peers would conclude that they lack nothing, and keep
        a server that is gone.
        """
        newest = max(self._alerts.newest, self._newest_alert_limit)
        return min(newest, self._alerts_upto)

    def lower_newest_alert(self, newest: int) -> None:
        """Lower the bound on the newest alert's revision to a peer's value.

        :param newest: revision of the newest of all alerts that were published
            before the last full read here ended.
        """
        self._newest_alert_limit = min(self._newest_alert_limit, newest)

    @property
    def alerts_upto(self) -> int:
        """Return the revision up to which all alerts are known."""
        return self._alerts_upto

    @property
    def changed_at(self) -> float:
        """Return the time of the last applied change, seconds."""
        return self._changed_at

    @property
    def configuration(self) -> records.Configuration | None:
        """Return the newest configuration, or None before the first."""
        return self._table.configuration

    @property
    def version(self) -> int:
        """Return the configuration's version, 0 before the first."""
        return self._table.version

    @property
    def usable(self) -> bool:
        """Return whether packets can be served."""
        return self._table.configuration is not None

    @property
    def targets(self) -> dict[str, records.Target]:
        """Return the registered targets by identifier.

        Entries whose service is not in the configuration are left out. Other
        writers leave such entries in the store; nothing answers at their
        addresses, so searches would wait for them.
        """
        return self._registry.targets

    @property
    def entries_of_unknown_services(self) -> set[str]:
        """Return identifiers of entries whose service is not configured."""
        return self._entries.keys() - self.targets.keys()

    @property
    def unnamed_hosts(self) -> set[str]:
        """Return the hosts of which only entries of unknown services tell.

        The operator may have taken the service out while flows are open there.
        """
        return self._unnamed_hosts

    def is_configured(self, service: str) -> bool:
        """Return whether the configuration lists a service."""
        configuration = self._table.configuration
        return configuration is not None and service in configuration.services

    def route(self, address: bytes) -> records.Route | None:
        """Return the route of a packed address and port, or None."""
        return self._table.route(address)

    def of_service(self, service: str) -> list[records.Target]:
        """Return the registered targets of a service."""
        return self._registry.of_service(service)

    def placeable(self, service: str) -> list[records.Target]:
        """Return the targets of a service that accept new flows.

        Targets that are leaving and those in an evacuated data centre don't.
        """
        return self._registry.placeable(service)

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the data centres that get no new flows."""
        return self._evacuations.active

    def services_of(self, address: bytes) -> list[str]:
        """Return the services that the route of an address names."""
        route = self._table.route(address)
        if route is None:
            return []
        return [choice.service for choice in route.choices]

    def has_target_on(self, host: str) -> bool:
        """Return whether a target is registered on an instance."""
        return host in self._registry.hosts

    def recently_removed(
        self, now: float
    ) -> list[removed_targets.RemovedTarget]:
        """Return the targets whose entries were removed recently."""
        return self._removed.recent(now)

    def overwritten_hosts(self, now: float) -> list[str]:
        """Return the hosts whose entries were overwritten recently.

        Their servers hold flows, and a process that starts now can't read
        where they are.
        """
        removed = self._removed.recent(now)
        return sorted({x.target.host for x in removed if not x.expired})

    def recently_expired(
        self, service: str, now: float
    ) -> list[records.Target]:
        """Return targets of a service whose entries expired recently.

        Entries expire while the store is unreachable, and servers write them
        again within about two seconds of its return. Without this method, all
        targets of a service would be unavailable for that time although they
        serve. Use it only after an outage: otherwise a missing entry means
        that the target is gone. A target that announced that it leaves, or
        that has a successor at its address, has not expired.
        """
        return [
            target
            for target in self._removed.recently_expired(now)
            if target.service == service
            and self._registry.accepts_new_flows(target)
            and target.host not in self._registry.hosts
        ]

    def apply(self, changes: records.Changes, now: float) -> bool:
        """Apply changes; return whether anything was new.

        Each entry is compared by its own revision. Messages may be reordered,
        and a read of a lagging replica returns old entries; applying those
        would restore a drained target or a dropped route.
        """
        if changes.since > self._revision:
            # Changes in between are missing. The next request tells the sender
            # the revision known here, and the answer includes them.
            return False
        if changes.configuration_change and not self.usable:
            return False
        if self._digest_differs(changes.configuration_change):
            # The sender skipped a version that is in force here, so it can't
            # list which of its routes are gone: a dropped route would stay in
            # use.
            self._needs_full_sync = True
            return False
        if not changes.since:
            self._needs_full_sync = False
        complete = changes.since == 0 and changes.upto >= self._revision
        # What a fault left half applied isn't new any more, but not in use.
        unfinished, self._applying = self._applying, True
        rewound = complete and self._begin_era(changes, now)
        fresh = self._apply_configuration(changes) or rewound or unfinished
        for item in changes.in_order():
            if isinstance(item, records.Removal):
                fresh = self._remove(item, now) or fresh
            elif not (changes.has_all_events and self._is_redundant(item)):
                fresh = self._put(item, now, complete=complete) or fresh
        fresh = self._apply_evacuations(changes, complete=complete) or fresh
        if complete:
            fresh = self._drop_unlisted(changes, now) or fresh
        if rewound and not positions.same_era(
            self._content_revision, changes.upto
        ):
            # No item of the copy has a position of its own in the new era;
            # without this, peers would not request the state.
            self._raise_content_revision(changes.upto)
        if complete:
            self._removals.mark_incomplete(changes.upto)
            if changes.upto > self._alerts_upto:
                self._newest_alert_limit = changes.upto
        # A full read doesn't show what was added and removed before it.
        alerts_since = changes.upto if complete else changes.alerts_since
        if alerts_since > self._alerts_upto:
            self._alerts.mark_incomplete(alerts_since)
        self._revision = max(self._revision, changes.upto)
        fresh = self._departures.drop_covered_alerts(self._revision) or fresh
        self._alerts.start_at(self._revision)
        self._alerts_upto = max(self._alerts_upto, self._revision)
        if changes.newest <= self._revision:
            # Otherwise a process that never had a removed entry would request
            # its removal again and again.
            self._raise_content_revision(changes.newest)
        if fresh:
            self._rebuild(now)
        self._applying = False
        return fresh

    def _begin_era(self, changes: records.Changes, now: float) -> bool:
        """Prepare for a full read of a new era; return whether it is one.

        The store was restored from a copy. Writes that it lost will be
        repeated. Until then, leaving servers stay marked as leaving, and data
        centres stay evacuated. No process can complete the alerts or removals
        from before the restore.
        """
        known = self._revision
        if not known or positions.same_era(known, changes.upto):
            return False
        used = map(self._departures.effective_entry, self._entries.values())
        gone = (item.target for item in self.recently_removed(now))
        leaving = [item.run for item in (*used, *gone) if item.draining]
        self._departures.retain(leaving, changes.upto)
        self._evacuations.retain_active(now + EVACUATION_HOLD_S, changes.upto)
        self._alerts.drop_other_eras(changes.upto)
        self._removals.clear()
        return True

    def expire_evacuations(self, now: float) -> bool:
        """End evacuations that were not requested again in time.

        :returns: whether any ended.
        """
        if not self._evacuations.expire_retained(now):
            return False
        self._rebuild(now)
        return True

    def _digest_differs(
        self, change: records.ConfigurationChange | None
    ) -> bool:
        if change is None or change.version <= self.version:
            return False
        return self._table.digest_with(change) != change.digest

    @property
    def wanted_since(self) -> int:
        """Return the revision after which to request changes; 0 for all."""
        return 0 if self._needs_full_sync else self.content_revision

    def _apply_configuration(self, changes: records.Changes) -> bool:
        newest = changes.configuration or changes.configuration_change
        if newest is None:
            return False
        if changes.configuration is not None:
            fresh = self._table.replace(changes.configuration)
        else:
            fresh = self._table.apply_change(changes.configuration_change)
        if fresh and len(self._table.last_dropped) <= MAX_ROUTE_ALERTS:
            for address in self._table.last_dropped:
                self._alerts.add(
                    alert_logs.alert_for_dropped_route(
                        address, newest.revision
                    )
                )
        if fresh:
            self._raise_content_revision(newest.revision)
            self._raise_layout_revision(newest.revision)
        return fresh

    def _apply_evacuations(
        self, changes: records.Changes, *, complete: bool
    ) -> bool:
        fresh = self._evacuations.apply(changes.evacuations)
        if complete:
            fresh += self._evacuations.end_unlisted(
                changes.evacuations, changes.upto
            )
        for item in fresh:
            self._raise_content_revision(item.revision)
            if item.active:
                self._note_alert(
                    records.AlertKind.EVACUATED,
                    item.data_centre,
                    item.revision,
                )
        return bool(fresh)

    def _note_alert(
        self, kind: records.AlertKind, subject: str, revision: int
    ) -> None:
        self._alerts.add(records.Alert(kind, subject, revision))

    def alerts_after(self, revision: int) -> records.Alerts | None:
        """Return the alerts after a revision, None if nothing is known."""
        return self._alerts.after(revision, self._alerts_upto)

    def apply_alerts(self, alerts: records.Alerts, now: float) -> bool:
        """Apply alerts, even if other changes before them are missing.

        Those changes arrive later and have entries as they were before the
        alerts. The alerts stay in effect (see
        :mod:`teaseldock.packets.departures`).

        :returns: whether any alert was new.
        :raises ValueError: if the subject of an alert can't be parsed.
        """
        if alerts.since > self._alerts_upto or not self._revision:
            return False
        fresh = [item for item in alerts.items if self._apply_alert(item, now)]
        self._alerts_upto = max(self._alerts_upto, alerts.upto)
        if fresh:
            self._rebuild(now)
        return bool(fresh)

    def _apply_alert(self, alert: records.Alert, now: float) -> bool:
        removal = alert_logs.removal_from_alert(alert)
        if removal is not None:
            known = self._alerts.revision_of(alert.kind, alert.subject)
            self._remove(removal, now)
            return known < alert.revision
        fresh = self._alerts.add(alert)
        if alert.revision > self._revision:
            if alert.kind == records.AlertKind.LEAVES:
                self._departures.note_alert(alert.subject, alert.revision)
            elif alert.kind == records.AlertKind.EVACUATED:
                self._evacuations.apply(
                    [records.Evacuation(alert.subject, alert.revision, True)]
                )
            elif alert.kind == records.AlertKind.ROUTE_DROPPED:
                address = alert_logs.dropped_route_address(alert)
                self._table.disable_route(address, alert.revision)
        return fresh

    def _is_gone(self, target: records.Target) -> bool:
        """Return whether an alert newer than an entry reports its removal."""
        return any(
            self._alerts.revision_of(kind, target.identifier) > target.revision
            for kind in (records.AlertKind.GONE, records.AlertKind.OVERWRITTEN)
        )

    def _put(
        self, target: records.Target, now: float, *, complete: bool
    ) -> bool:
        if self._is_gone(target):
            return False
        known = self._entries.get(target.identifier)
        if known is not None and known.revision >= target.revision:
            return False
        if target.revision <= self._revision and not complete:
            # The state here covers this revision already: the entry was
            # removed since, or only its warm-up progressed, and the sender had
            # not yet received that.
            return False
        self._removed.discard(target.run)
        if known is not None and known.place != target.place:
            # The previous run may hold flows at its address.
            self._removed.add(known, now, expired=False)
        if not self.has_target_on(target.host):
            self._raise_layout_revision(target.revision)
        if target.draining:
            self._note_alert(
                records.AlertKind.LEAVES, target.identifier, target.revision
            )
        self._entries[target.identifier] = target
        self._raise_content_revision(target.revision)
        return True

    def _remove(self, removal: records.Removal, now: float) -> bool:
        known = self._entries.get(removal.identifier)
        if known is None:
            if removal.revision > self._revision:
                # Peers may have the entry, and request changes from this
                # process.
                self._keep_removal(removal)
            return False
        if known.revision >= removal.revision:
            return False
        del self._entries[removal.identifier]
        self._keep_removal(removal)
        self._removed.add(
            self._departures.effective_entry(known),
            now,
            expired=not removal.overwritten,
        )
        return True

    def _keep_removal(self, removal: records.Removal) -> None:
        """Store a removal for lagging processes, unless it is stored."""
        if not self._alerts.add(alert_logs.alert_for_removal(removal)):
            return
        self._removals.add(removal)
        self._raise_content_revision(removal.revision)

    def _is_redundant(self, later: records.Target) -> bool:
        """Return whether an entry need not be stored or forwarded.

        Valid only for the next event of the store's history. An entry that a
        peer sends may have had another state in between; a process that
        received that state would never receive its end.
        """
        known = self._entries.get(later.identifier)
        if known is None or self._departures.is_alerted(known):
            return False
        return known.differs_only_in_warmup(later)

    def _raise_content_revision(self, revision: int) -> None:
        self._content_revision = max(self._content_revision, revision)

    def _raise_layout_revision(self, revision: int) -> None:
        self._layout_revision = max(self._layout_revision, revision)

    def _drop_unlisted(self, changes: records.Changes, now: float) -> bool:
        listed = {target.identifier for target in changes.targets}
        gone = [name for name in self._entries if name not in listed]
        fresh = False
        for name in gone:
            fresh = (
                self._remove(records.Removal(name, changes.upto), now) or fresh
            )
        return fresh

    def _rebuild(self, now: float) -> None:
        self._changed_at = now
        configuration = self._table.configuration
        named = configuration and set(configuration.services)
        targets = [
            self._departures.effective_entry(target)
            for target in self._entries.values()
            if named is None or target.service in named
        ]
        self._registry = registry.Registry(targets, self.evacuated)
        self._unnamed_hosts = {
            target.host
            for target in self._entries.values()
            if named is not None and target.service not in named
        } - self._registry.hosts
        self._removed.prune(now)
        runs = {item.run for item in self._entries.values()}
        self._departures.retain_only(runs | self._removed.runs)

    def changes_since(self, revision: int) -> records.Changes:
        """Return the changes that a peer at a revision lacks."""
        if revision < self._removals.since:
            revision = 0
        configuration = self._table.configuration
        change = None
        if configuration and revision:
            # Send only the difference, if there is one.
            change = self._table.change_since(revision)
            if change or configuration.revision <= revision:
                configuration = None
        if change and change.revision <= revision:
            change = None
        alerts_since = self._alerts.since
        if configuration:
            # The configuration doesn't list routes added and dropped before
            # it.
            alerts_since = max(alerts_since, configuration.revision)
        return records.Changes(
            revision,
            self._revision,
            [t for t in self._entries.values() if t.revision > revision],
            self._removals.after(revision),
            configuration,
            change,
            self.content_revision,
            self._evacuations.since(revision),
            alerts_since,
        )
