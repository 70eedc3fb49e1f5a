"""Frames between daemons: a length, a type code, a correlation id, msgpack.

Header, big-endian: 4 bytes length of what follows, 1 byte message type,
8 bytes correlation id. The rest is the message as a msgpack array.
"""

from collections.abc import Iterator
import struct

import msgspec

from turmericrouter_core.errors import FrameTooLargeError
from turmericrouter_core.errors import ProtocolError
from turmericrouter_core.messages import CODE_OF_TYPE
from turmericrouter_core.messages import Message
from turmericrouter_core.messages import TYPE_OF_CODE

_HEADER = struct.Struct('>IBQ')
_LENGTH_BYTES = 4
_HEADER_REST_BYTES = _HEADER.size - _LENGTH_BYTES
DEFAULT_MAX_FRAME_BYTES = 16 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoders = {
    code: msgspec.msgpack.Decoder(kind) for code, kind in TYPE_OF_CODE.items()
}


def encode_message(message: Message) -> bytes:
    """Return the msgpack array of a message, without a frame header."""
    return _encoder.encode(message)


def decode_message(code: int, payload: bytes | memoryview) -> Message:
    """Read the msgpack array of a message.

    Raises:
        ProtocolError: The type is unknown or the content does not fit it.
    """
    decoder = _decoders.get(code)
    if decoder is None:
        raise ProtocolError(f'unknown message type {code}')
    try:
        return decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise ProtocolError(f'message type {code}: {error}') from error


def encode_frame(correlation_id: int, message: Message) -> bytes:
    """Return a whole frame."""
    payload = _encoder.encode(message)
    header = _HEADER.pack(
        _HEADER_REST_BYTES + len(payload),
        CODE_OF_TYPE[type(message)],
        correlation_id,
    )
    return header + payload


class FrameDecoder:
    """Splits a byte stream into messages.

    Args:
        max_frame_bytes: Longest frame that is accepted.
    """

    def __init__(
        self, *, max_frame_bytes: int = DEFAULT_MAX_FRAME_BYTES
    ) -> None:
        self._buffer = bytearray()
        self._max_frame_bytes = max_frame_bytes

    def feed(self, data: bytes) -> Iterator[tuple[int, Message]]:
        """Yield (correlation id, message) of each frame that is complete.

        Raises:
            ProtocolError: The stream cannot be read on; drop the link.
        """
        buffer = self._buffer
        if not buffer and len(data) >= _HEADER.size:
            # Most reads bring one whole frame, which needs no copy.
            length, code, correlation_id = _HEADER.unpack_from(data)
            if len(data) == _LENGTH_BYTES + length:
                self._check_length(length)
                whole = memoryview(data)[_HEADER.size :]
                yield correlation_id, decode_message(code, whole)
                return
        buffer += data
        start = 0
        try:
            while len(buffer) - start >= _HEADER.size:
                length, code, correlation_id = _HEADER.unpack_from(
                    buffer, start
                )
                self._check_length(length)
                end = start + _LENGTH_BYTES + length
                if len(buffer) < end:
                    break
                payload = bytes(buffer[start + _HEADER.size : end])
                start = end
                yield correlation_id, decode_message(code, payload)
        finally:
            del buffer[:start]

    def _check_length(self, length: int) -> None:
        if length < _HEADER_REST_BYTES:
            raise ProtocolError(f'frame of {length} bytes is too short')
        if length > self._max_frame_bytes:
            raise FrameTooLargeError(f'frame of {length} bytes is too long')
