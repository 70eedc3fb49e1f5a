"""Frames read from a stream that is split anywhere."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from turmericrouter_core.codec import encode_frame
from turmericrouter_core.codec import FrameDecoder
from turmericrouter_core.errors import FrameTooLargeError
from turmericrouter_core.errors import ProtocolError
from turmericrouter_core.messages import Failure

FRAMES = st.lists(
    st.tuples(st.integers(0, 2**64 - 1), st.text(max_size=30).map(Failure)),
    max_size=5,
)


@given(FRAMES, st.lists(st.integers(1, 60), min_size=1))
@settings(derandomize=True, max_examples=300, deadline=None)
def test_frames_come_whole_however_the_stream_is_split(
    frames: list[tuple[int, Failure]], sizes: list[int]
) -> None:
    """Guards against a frame lost or mixed up at the end of a read."""
    data = b''.join([encode_frame(*frame) for frame in frames])
    decoder = FrameDecoder()
    read = []
    start = 0
    for size in sizes:
        read += decoder.feed(data[start : start + size])
        start += size
    if start < len(data):
        read += decoder.feed(data[start:])
    assert read == frames


@given(FRAMES)
@settings(derandomize=True, max_examples=50, deadline=None)
def test_frames_come_whole_one_by_one(
    frames: list[tuple[int, Failure]],
) -> None:
    """Guards against a read of one whole frame that is taken for another."""
    decoder = FrameDecoder()
    for frame in frames:
        assert list(decoder.feed(encode_frame(*frame))) == [frame]


def test_bad_frames_end_the_stream() -> None:
    """Guards against a frame that is believed without a check."""
    frame = encode_frame(1, Failure('x' * 100))
    with pytest.raises(FrameTooLargeError):
        list(FrameDecoder(max_frame_bytes=50).feed(frame))
    unknown = frame[:4] + b'\xff' + frame[5:]
    with pytest.raises(ProtocolError):
        list(FrameDecoder().feed(unknown))
    short = b'\0\0\0\x05' + frame[4:]
    with pytest.raises(ProtocolError):
        list(FrameDecoder().feed(short))
