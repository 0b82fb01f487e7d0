"""Encode and decode messages between processes as authenticated Thrift."""

from __future__ import annotations

import hashlib
import hmac
import pathlib
import typing

import thriftpy2
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize
from thriftpy2.utils import serialize

from teaseldock import exceptions
from teaseldock import messages

_TAG_BYTES = 16
_PROTOCOL = TCyBinaryProtocolFactory()
_IDL = thriftpy2.load(
    str(pathlib.Path(__file__).parent / 'idl' / 'teaseldock.thrift'),
    module_name='teaseldock_idl_thrift',
)
_FIELDS = {
    name: tuple(spec[1] for _, spec in sorted(struct.thrift_spec.items()))
    for name, struct in vars(_IDL).items()
    if hasattr(struct, 'thrift_spec')
}


def _to_thrift(value: typing.Any) -> typing.Any:
    if isinstance(value, list):
        return [_to_thrift(item) for item in value]
    if not hasattr(value, '_fields'):
        return value
    name = type(value).__name__
    struct = getattr(_IDL, name)()
    for field, item in zip(value._fields, value):
        setattr(struct, field, _to_thrift(item))
    return struct


def _from_thrift(value: typing.Any) -> typing.Any:
    if isinstance(value, list):
        return [_from_thrift(item) for item in value]
    name = type(value).__name__
    if name not in _FIELDS or not hasattr(value, 'thrift_spec'):
        return value
    items = [_from_thrift(getattr(value, field)) for field in _FIELDS[name]]
    if any(item is None for item in items):
        raise exceptions.MessageError(
            name, 'a field is missing', remedy='update the sender'
        )
    return getattr(messages, name)(*items)


def _tag(body: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=_TAG_BYTES).digest()


def pack(message: typing.NamedTuple, *, key: bytes) -> bytes:
    """Encode a message, preceded by its authentication tag.

    The tag is keyed BLAKE2b (RFC 7693), the standard library's fastest
    keyed hash for short messages.

    :param key: the newest key of the settings.
    """
    envelope = _IDL.PeerMessage()
    setattr(envelope, type(message).__name__, _to_thrift(message))
    body = serialize(envelope, proto_factory=_PROTOCOL)
    return _tag(body, key) + body


def unpack(
    datagram: bytes, *, keys: typing.Sequence[bytes]
) -> typing.NamedTuple:
    """Verify and decode a datagram of a peer.

    :param keys: the keys in use; two of them during a key rotation.
    :raises SealError: if the tag matches none of the keys.
    :raises MessageError: if an authenticated message can't be decoded.
    """
    received = datagram[:_TAG_BYTES]
    body = datagram[_TAG_BYTES:]
    if not any(hmac.compare_digest(received, _tag(body, key)) for key in keys):
        raise exceptions.SealError(
            'message',
            'the tag matches no key',
            remedy='configure the same key on all processes',
        )
    try:
        envelope = deserialize(
            _IDL.PeerMessage(), body, proto_factory=_PROTOCOL
        )
    except Exception as error:
        # The Thrift codec raises many kinds of errors for malformed input.
        raise exceptions.MessageError(
            'message', repr(error), remedy='update the sender'
        ) from error
    for field in _FIELDS['PeerMessage']:
        value = getattr(envelope, field)
        if value is not None:
            return _from_thrift(value)
    raise exceptions.MessageError(
        'message', 'unknown message kind', remedy='update this process'
    )
