"""Entries of another writer: deeply nested, or with a port out of range."""

from collections.abc import Callable

import msgspec
import pytest

from turmericrouter_core.codec import decode_message
from turmericrouter_core.config import decode_record
from turmericrouter_core.config import encode_record
from turmericrouter_core.config import Publication
from turmericrouter_core.control import decode_control
from turmericrouter_core.control import encode_control
from turmericrouter_core.control import RosterChange
from turmericrouter_core.errors import ConfigError
from turmericrouter_core.errors import ProtocolError
from turmericrouter_core.identity import HostAddress
from turmericrouter_core.messages import CODE_OF_TYPE
from turmericrouter_core.messages import FailureReply

# Arrays with one item, each nested in the one before.
_NESTED = b'\x91' * 5000 + b'\x90'


def _add_field(encoded: bytes, field: bytes) -> bytes:
    """Return an array or a map of a few items with one item more."""
    return bytes([encoded[0] + 1]) + encoded[1:] + field


def test_nested_message_is_refused() -> None:
    """Guards against a frame that ends more than its link."""
    plain = msgspec.msgpack.encode(FailureReply('why'))
    code = CODE_OF_TYPE[FailureReply]
    assert decode_message(code, plain) == FailureReply('why')
    with pytest.raises(ProtocolError):
        decode_message(code, _add_field(plain, _NESTED))


@pytest.mark.parametrize(
    ('plain', 'decode'),
    [
        (encode_record(Publication('id', ())), decode_record),
        (encode_control(RosterChange('north', 1, ())), decode_control),
    ],
)
def test_nested_record_is_refused(
    plain: bytes, decode: Callable[[bytes], object]
) -> None:
    """Guards against a record that ends the reader of the log."""
    decode(plain)
    name = msgspec.msgpack.encode('other')
    with pytest.raises(ConfigError):
        decode(_add_field(plain, name + _NESTED))


@pytest.mark.parametrize('port', ['70000', '-1', '0', '', '+80', '8_0'])
def test_port_out_of_range_is_no_address(port: str) -> None:
    """Guards against a connection to a port that does not exist."""
    with pytest.raises(ValueError, match='port'):
        HostAddress.parse(f'127.0.0.1:{port}')
