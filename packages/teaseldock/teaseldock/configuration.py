"""Put published documents into force, in ascending revisions only."""

from __future__ import annotations

import hashlib
import typing

from teaseldock import audit
from teaseldock import exceptions
from teaseldock import inventory
from teaseldock import merge

REGISTER_PREFIX = 'register'
RULES_PREFIX = 'rules'
_CHECKSUM_MODULUS = 1 << 56


class Document(typing.NamedTuple):
    """One value of the configuration service.

    :ivar key: ``register``, ``rules``, or a part such as ``rules.payroll``.
    :ivar revision: rises with each publication of any key.
    :ivar publisher: who published it.
    :ivar content: JSON text.
    """

    key: str
    revision: int
    publisher: str
    content: bytes


class Digest(typing.NamedTuple):
    """Summary of the documents held, small enough for each heartbeat.

    :ivar generation: highest revision received, accepted or not.
    :ivar checksum: of all keys, revisions and contents held.
    """

    generation: int
    checksum: int


def _short_hash(content: bytes) -> bytes:
    return hashlib.blake2b(content, digest_size=8).digest()


def _fingerprint(document: Document) -> int:
    digest = hashlib.blake2b(
        f'{document.key} {document.revision} '.encode(), digest_size=7
    )
    digest.update(_short_hash(document.content))
    return int.from_bytes(digest.digest(), 'big')


def _document_type(key: str) -> type:
    head = key.split('.', 1)[0]
    if head == REGISTER_PREFIX:
        return inventory.Register
    if head == RULES_PREFIX:
        return inventory.Rules
    raise exceptions.DocumentError(
        key,
        'the key is neither a register nor rules',
        remedy=f'name it {REGISTER_PREFIX}.PART or {RULES_PREFIX}.PART',
    )


class Configuration:
    """Hold the latest documents and the inventory that is in force.

    Two sets of documents are kept. ``latest`` holds the newest document of
    each key, valid or not; ``in force`` is the newest set that passed all
    checks. They differ until a refused document is corrected.
    """

    def __init__(self, *, trail: audit.AuditTrail) -> None:
        """Create a configuration without any documents.

        :param trail: receives a record for each change and refusal.
        """
        self._trail = trail
        self._latest: dict[str, Document] = {}
        self._in_force: dict[str, Document] = {}
        self._parsed: dict[str, dict[tuple[int, bytes], typing.Any]] = {}
        self._inventory = inventory.EMPTY_INVENTORY
        self._digest = Digest(0, 0)
        self._checksum = 0
        self._audited_older: dict[str, int] = {}
        self._alarms = 0
        self._refused = 0

    @property
    def inventory(self) -> inventory.Inventory:
        """Return the inventory in force."""
        return self._inventory

    @property
    def digest(self) -> Digest:
        """Return the digest that heartbeats carry."""
        return self._digest

    @property
    def generation(self) -> int:
        """Return the highest revision in force."""
        return max(
            (item.revision for item in self._in_force.values()), default=0
        )

    @property
    def ready(self) -> bool:
        """Return whether at least one service is in force."""
        return bool(self._inventory.services)

    @property
    def alarms(self) -> int:
        """Return how often one revision was received with two contents."""
        return self._alarms

    @property
    def refused(self) -> int:
        """Return how many documents were refused."""
        return self._refused

    def held(self) -> list[Document]:
        """Return all documents, with a short hash as content of each."""
        return [
            item._replace(content=_short_hash(item.content))
            for item in self.documents()
        ]

    def documents_missing_from(
        self, held: typing.Iterable[Document]
    ) -> list[Document]:
        """Return the documents that a peer lacks.

        :param held: result of the peer's :meth:`held`.
        """
        held_by_peer = {
            (item.key, item.revision, item.content) for item in held
        }
        return [
            item
            for item in self.documents()
            if (item.key, item.revision, _short_hash(item.content))
            not in held_by_peer
        ]

    def documents(self) -> list[Document]:
        """Return the documents in force, then newer ones not in force.

        A process that joins needs both.
        """
        not_in_force = [
            document
            for key, document in self._latest.items()
            if self._in_force.get(key) != document
        ]
        return list(self._in_force.values()) + not_in_force

    def offer(self, documents: list[Document], now: float) -> bool:
        """Process documents from the service or a peer.

        A revision older than the one held is refused, as stale replicas of
        the service and slow peers send such revisions all the time. If it
        were accepted, the process would return to rules that were already
        replaced, which shows as a drained target that gets new flows.

        :param now: wall-clock seconds since 1970, for the audit trail.
        :returns: whether the inventory in force changed.
        """
        newer = [item for item in documents if self._supersedes(item, now)]
        if not newer:
            return False
        for document in newer:
            self._replace(document)
        changed = self._apply(newer, now)
        for document in newer:
            self._evict_parsed(document.key)
        self._digest = Digest(
            max(item.revision for item in self._latest.values()),
            self._checksum,
        )
        return changed

    def _replace(self, document: Document) -> None:
        """Store a document and update the checksum of all documents.

        The checksum is a sum. It does not depend on the order of documents,
        and the time of an update does not depend on their number.
        """
        previous = self._latest.get(document.key)
        if previous is not None:
            self._checksum -= _fingerprint(previous)
        self._latest[document.key] = document
        self._checksum += _fingerprint(document)
        self._checksum %= _CHECKSUM_MODULUS

    def _supersedes(self, document: Document, now: float) -> bool:
        held = self._latest.get(document.key)
        if held is None or document.revision > held.revision:
            return True
        if document.revision < held.revision:
            self._audit_older(document, held, now)
            return False
        if document.content == held.content:
            return False
        # One revision with two contents: two replicas of the service were
        # written independently. Without a deterministic choice, processes
        # that read different replicas would never agree on a flow's route.
        self._alarms += 1
        self._trail.add(
            audit.AuditRecord(
                now,
                document.key,
                document.revision,
                document.publisher,
                'alarm',
                'one revision with two contents; the larger text wins, '
                'publish again with a new revision',
            )
        )
        return document.content > held.content

    def _audit_older(
        self, document: Document, held: Document, now: float
    ) -> None:
        """Audit an older revision once; stale replicas send it repeatedly."""
        if self._audited_older.get(document.key) == document.revision:
            return
        self._audited_older[document.key] = document.revision
        error = exceptions.RevisionError(
            document.key,
            f'revision {document.revision} is older than {held.revision}',
            remedy='to restore an old text, publish it again',
        )
        self._record_refusal(document, error, now)

    def _parse(self, document: Document) -> typing.Any:
        versions = self._parsed.setdefault(document.key, {})
        version = (document.revision, document.content)
        if version not in versions:
            versions[version] = inventory.parse(
                document.key, document.content, _document_type(document.key)
            )
        return versions[version]

    def _evict_parsed(self, key: str) -> None:
        """Evict the parsed forms of a key that are no longer held.

        Each change would otherwise leave its predecessor in memory. At
        15,000 changes a day a process would exceed its memory limit within
        hours.
        """
        held = {
            (item.revision, item.content)
            for item in (self._latest.get(key), self._in_force.get(key))
            if item is not None
        }
        versions = self._parsed.get(key, {})
        for version in versions.keys() - held:
            del versions[version]

    def _parts(self, documents: typing.Iterable[Document]) -> inventory.Parts:
        parts = inventory.Parts([], [])
        for document in documents:
            parsed = self._parse(document)
            if _document_type(document.key) is inventory.Register:
                parts.registers.append(parsed)
            else:
                parts.rules.append(parsed)
        return parts

    def preview(
        self, documents: typing.Iterable[Document]
    ) -> inventory.Inventory:
        """Return the inventory that would result from accepting documents.

        :raises DocumentError: if a document cannot be parsed.
        :raises InventoryError: if the documents are inconsistent.
        """
        documents = sorted(documents)
        replaced = [
            self._in_force[item.key]
            for item in documents
            if item.key in self._in_force
        ]
        return merge.replace_parts(
            self._inventory, self._parts(replaced), self._parts(documents)
        )

    def _apply(self, newer: list[Document], now: float) -> bool:
        """Put as many valid documents as possible into force.

        All documents that are not in force are tried together first, since a
        register and the rules that name its new instances are published one
        after the other. If that fails, each is tried alone, so that an error
        of one team does not block the change of another team.

        :param newer: documents just received; only these are audited if they
            are refused.
        """
        not_in_force = {
            key: document
            for key, document in self._latest.items()
            if self._in_force.get(key) != document
        }
        tried = self._try_preview(not_in_force.values())
        if isinstance(tried, inventory.Inventory):
            self._put_in_force(not_in_force, tried, now)
            return True
        changed = False
        for document in sorted(
            not_in_force.values(), key=lambda d: d.revision
        ):
            tried = self._try_preview([document])
            if isinstance(tried, inventory.Inventory):
                self._put_in_force({document.key: document}, tried, now)
                changed = True
            elif document in newer:
                self._record_refusal(document, tried, now)
        return changed

    def _try_preview(
        self, documents: typing.Iterable[Document]
    ) -> inventory.Inventory | exceptions.TeaseldockError:
        try:
            return self.preview(documents)
        except exceptions.TeaseldockError as error:
            return error

    def _put_in_force(
        self,
        documents: dict[str, Document],
        contents: inventory.Inventory,
        now: float,
    ) -> None:
        before = self._inventory
        affected = [
            self._in_force[key] for key in documents if key in self._in_force
        ]
        affected.extend(documents.values())
        names = merge.entry_names(self._parts(affected))
        self._in_force.update(documents)
        self._inventory = contents
        detail = merge.describe(before, contents, names)
        for document in documents.values():
            self._trail.add(
                audit.AuditRecord(
                    now,
                    document.key,
                    document.revision,
                    document.publisher,
                    'in force',
                    detail,
                )
            )

    def _record_refusal(
        self,
        document: Document,
        error: exceptions.TeaseldockError,
        now: float,
    ) -> None:
        self._refused += 1
        self._trail.add(
            audit.AuditRecord(
                now,
                document.key,
                document.revision,
                document.publisher,
                'refused',
                str(error),
            )
        )


def check_documents(documents: list[Document]) -> inventory.Inventory:
    """Check a whole configuration without putting it into force.

    :raises DocumentError: if a document cannot be parsed.
    :raises InventoryError: if the documents are inconsistent.
    """
    configuration = Configuration(trail=audit.AuditTrail(length=1))
    return configuration.preview(documents)
