"""Encoding of frames between daemons.

A frame has a big-endian header: 4 bytes length of the rest of the frame,
1 byte message type code, 8 bytes correlation id. The message follows as a
msgpack array.
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
_HEADER_AFTER_LENGTH_BYTES = _HEADER.size - _LENGTH_BYTES
DEFAULT_MAX_FRAME_BYTES = 16 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoders = {
    code: msgspec.msgpack.Decoder(kind) for code, kind in TYPE_OF_CODE.items()
}


def encode_message(message: Message) -> bytes:
    """Encode a message as a msgpack array, without a frame header."""
    return _encoder.encode(message)


def decode_message(code: int, payload: bytes | memoryview) -> Message:
    """Decode a message from its msgpack array.

    Raises:
        ProtocolError: The type code is unknown or the payload does not
            match the type.
    """
    decoder = _decoders.get(code)
    if decoder is None:
        raise ProtocolError(f'unknown message type {code}')
    try:
        return decoder.decode(payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ProtocolError(f'message type {code}: {error}') from error


def encode_frame(correlation_id: int, message: Message) -> bytes:
    """Encode a message as a frame with header."""
    payload = _encoder.encode(message)
    header = _HEADER.pack(
        _HEADER_AFTER_LENGTH_BYTES + len(payload),
        CODE_OF_TYPE[type(message)],
        correlation_id,
    )
    return header + payload


class FrameDecoder:
    """Decodes a byte stream into messages.

    Args:
        max_frame_bytes: Largest accepted value of the length field.
    """

    def __init__(
        self, *, max_frame_bytes: int = DEFAULT_MAX_FRAME_BYTES
    ) -> None:
        self._buffer = bytearray()
        self._max_frame_bytes = max_frame_bytes

    def feed(self, data: bytes) -> Iterator[tuple[int, Message]]:
        """Yield (correlation id, message) of each complete frame.

        Raises:
            ProtocolError: A frame is invalid; the rest of the stream cannot
                be decoded, so the link must be closed.
        """
        buffer = self._buffer
        if not buffer and len(data) >= _HEADER.size:
            # Most reads return exactly one frame, which is decoded in place
            # without a copy.
            length, code, correlation_id = _HEADER.unpack_from(data)
            if len(data) == _LENGTH_BYTES + length:
                self._check_length(length)
                body = memoryview(data)[_HEADER.size :]
                yield correlation_id, decode_message(code, body)
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
        if length < _HEADER_AFTER_LENGTH_BYTES:
            raise ProtocolError(f'frame of {length} bytes is too short')
        if length > self._max_frame_bytes:
            raise FrameTooLargeError(f'frame of {length} bytes is too long')
