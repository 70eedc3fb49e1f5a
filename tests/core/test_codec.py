"""Decoding of frames from a stream that is split at any byte."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from turmericrouter_core.codec import encode_frame
from turmericrouter_core.codec import FrameDecoder
from turmericrouter_core.errors import FrameTooLargeError
from turmericrouter_core.errors import ProtocolError
from turmericrouter_core.messages import FailureReply

FRAMES = st.lists(
    st.tuples(
        st.integers(0, 2**64 - 1), st.text(max_size=30).map(FailureReply)
    ),
    max_size=5,
)


@given(FRAMES, st.lists(st.integers(1, 60), min_size=1))
@settings(derandomize=True, max_examples=300, deadline=None)
def test_frames_are_decoded_for_any_split_of_the_stream(
    frames: list[tuple[int, FailureReply]], sizes: list[int]
) -> None:
    """Guards against lost or corrupted frames that span several reads."""
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
def test_single_whole_frames_are_decoded(
    frames: list[tuple[int, FailureReply]],
) -> None:
    """Guards against faults in the decoding without a copy.

    A read that returns exactly one frame bypasses the buffer.
    """
    decoder = FrameDecoder()
    for frame in frames:
        assert list(decoder.feed(encode_frame(*frame))) == [frame]


def test_invalid_frames_are_rejected() -> None:
    """Guards against frames that are accepted without validation.

    The frame is too long, of an unknown type, or shorter than its header.
    """
    frame = encode_frame(1, FailureReply('x' * 100))
    with pytest.raises(FrameTooLargeError):
        list(FrameDecoder(max_frame_bytes=50).feed(frame))
    unknown = frame[:4] + b'\xff' + frame[5:]
    with pytest.raises(ProtocolError):
        list(FrameDecoder().feed(unknown))
    short = b'\0\0\0\x05' + frame[4:]
    with pytest.raises(ProtocolError):
        list(FrameDecoder().feed(short))
