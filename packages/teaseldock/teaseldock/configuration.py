"""Take published documents into force, in rising revisions only."""

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
    """What a process has in force, small enough for each heartbeat.

    :ivar generation: highest revision seen, accepted or not.
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

    Two sets of documents are kept. ``latest`` is the newest of each key,
    whether it is any good or not; ``in force`` is the newest set that passed
    all checks. They differ while a refused document waits for its author.
    """

    def __init__(self, *, trail: audit.AuditTrail) -> None:
        """Start with nothing in force.

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
        """Tell whether any service is in force."""
        return bool(self._inventory.services)

    @property
    def alarms(self) -> int:
        """Return how often one revision came with two contents."""
        return self._alarms

    @property
    def refused(self) -> int:
        """Return how many documents were refused."""
        return self._refused

    def held(self) -> list[Document]:
        """Return what is held, with a short hash in place of each text."""
        return [
            item._replace(content=_short_hash(item.content))
            for item in self.documents()
        ]

    def documents_missing_from(
        self, held: typing.Iterable[Document]
    ) -> list[Document]:
        """Return the documents that a peer lacks.

        :param held: as the peer's :meth:`held` returns it.
        """
        known = {(item.key, item.revision, item.content) for item in held}
        return [
            item
            for item in self.documents()
            if (item.key, item.revision, _short_hash(item.content))
            not in known
        ]

    def documents(self) -> list[Document]:
        """Return what a newcomer needs: all in force, then all that wait."""
        waiting = [
            document
            for key, document in self._latest.items()
            if self._in_force.get(key) != document
        ]
        return list(self._in_force.values()) + waiting

    def offer(self, documents: list[Document], now: float) -> bool:
        """Take documents from the service or a peer.

        An older revision than the one held is refused: a stale replica of
        the service or a slow peer sends these all day. The
        fault to prevent is a process going back to rules that were already
        replaced, which would show as a drained target getting new work.

        :param now: wall-clock seconds since 1970, for the audit trail.
        :returns: whether the inventory in force changed.
        """
        fresh = [item for item in documents if self._supersedes(item, now)]
        if not fresh:
            return False
        for document in fresh:
            self._replace(document)
        changed = self._apply(fresh, now)
        for document in fresh:
            self._evict_parsed(document.key)
        self._digest = Digest(
            max(item.revision for item in self._latest.values()),
            self._checksum,
        )
        return changed

    def _replace(self, document: Document) -> None:
        """Hold a document, and keep the checksum of all that are held.

        A sum doesn't depend on the order, and takes the same short time for
        one part changed out of thousands.
        """
        former = self._latest.get(document.key)
        if former is not None:
            self._checksum -= _fingerprint(former)
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
        # written apart. Without a fixed winner, processes that read different
        # replicas would route the same flow differently for good.
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
        """Audit an older revision, once for each: a stale replica repeats."""
        if self._audited_older.get(document.key) == document.revision:
            return
        self._audited_older[document.key] = document.revision
        error = exceptions.RevisionError(
            document.key,
            f'revision {document.revision} is older than {held.revision}',
            remedy='to go back, publish the old text again',
        )
        self._record_refusal(document, error, now)

    def _parse(self, document: Document) -> typing.Any:
        of_key = self._parsed.setdefault(document.key, {})
        identity = (document.revision, document.content)
        if identity not in of_key:
            of_key[identity] = inventory.parse(
                document.key, document.content, _document_type(document.key)
            )
        return of_key[identity]

    def _evict_parsed(self, key: str) -> None:
        """Keep the parsed form of what is held under a key, and no other.

        Each change would otherwise leave its predecessor in memory; at
        15,000 changes a day a process would outgrow its share in hours.
        """
        held = {
            (item.revision, item.content)
            for item in (self._latest.get(key), self._in_force.get(key))
            if item is not None
        }
        of_key = self._parsed.get(key, {})
        for identity in of_key.keys() - held:
            del of_key[identity]

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
        """Return the inventory that documents would make, if put in force.

        :raises DocumentError: if a document cannot be read.
        :raises InventoryError: if the documents do not fit together.
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

    def _apply(self, fresh: list[Document], now: float) -> bool:
        """Put the largest valid set of the latest documents into force.

        All of them together come first, since a register and the rules that
        name its new instances are published one after the other. If that
        fails, each is tried alone, so that one team's mistake doesn't hold
        up another team's change.
        """
        waiting = {
            key: document
            for key, document in self._latest.items()
            if self._in_force.get(key) != document
        }
        tried = self._try_preview(waiting.values())
        if isinstance(tried, inventory.Inventory):
            self._put_in_force(waiting, tried, now)
            return True
        changed = False
        for document in sorted(waiting.values(), key=lambda d: d.revision):
            tried = self._try_preview([document])
            if isinstance(tried, inventory.Inventory):
                self._put_in_force({document.key: document}, tried, now)
                changed = True
            elif document in fresh:
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
        joined: inventory.Inventory,
        now: float,
    ) -> None:
        before = self._inventory
        touched = [
            self._in_force[key] for key in documents if key in self._in_force
        ]
        touched.extend(documents.values())
        names = merge.entry_names(self._parts(touched))
        self._in_force.update(documents)
        self._inventory = joined
        detail = merge.describe(before, joined, names)
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

    :raises DocumentError: if a document cannot be read.
    :raises InventoryError: if the documents do not fit together.
    """
    configuration = Configuration(trail=audit.AuditTrail(length=1))
    return configuration.preview(documents)
