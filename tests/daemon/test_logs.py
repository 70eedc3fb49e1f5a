"""Log lines: format, buffering, reopening, and no waiting for the file."""

import os
import pathlib
import threading

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest
from structlog.processors import LogfmtRenderer

from turmericrouter_daemon import logs
from turmericrouter_daemon.logs import LineRenderer
from turmericrouter_daemon.logs import LogWriter
from turmericrouter_daemon.logs import open_log
from turmericrouter_daemon.settings import LogSettings


def test_lines_are_pairs_and_level_is_kept(tmp_path: pathlib.Path) -> None:
    """Guards against lost lines at the end and lines below the level."""
    path = tmp_path / 'daemon.log'
    writer = LogWriter(str(path))
    log = open_log(LogSettings(level='info'), writer=writer, host='h')
    log.debug('hidden')
    log.info('config_applied', offset=3, text='two words')
    log.error('tls_reload_failed')
    writer.close()
    first, second = path.read_text().splitlines()
    assert 'level=info event=config_applied host=h offset=3' in first
    assert first.endswith('text="two words"')
    assert 'level=error event=tls_reload_failed' in second


@given(
    st.dictionaries(
        st.sampled_from(['timestamp', 'level', 'event', 'a', 'b']),
        st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    )
)
@settings(derandomize=True, max_examples=200, deadline=None)
def test_lines_are_those_of_structlog(pairs: dict[str, object]) -> None:
    """Guards against a value that breaks a line or reads as two pairs."""
    keys = ['timestamp', 'level', 'event']
    pairs = dict.fromkeys(keys, 'x') | pairs
    library = LogfmtRenderer(key_order=keys, bool_as_flag=False)
    wanted = library(None, '', dict(pairs))
    assert LineRenderer()(None, '', dict(pairs)) == wanted


def test_reopened_file_gets_the_next_lines(tmp_path: pathlib.Path) -> None:
    """Guards against writes to a file that was rotated."""
    path = tmp_path / 'daemon.log'
    writer = LogWriter(str(path))
    writer.write('one')
    path.rename(tmp_path / 'old.log')
    writer.reopen()
    writer.write('two')
    writer.close()
    assert path.read_text().splitlines()[-1] == 'two'
    kept = (tmp_path / 'old.log').read_text() + path.read_text()
    assert kept.splitlines() == ['one', 'two']


def test_full_pipe_never_blocks_the_caller(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stalled log reader that blocks the event loop."""
    monkeypatch.setattr(logs, 'MAX_BUFFERED_LINES', 10)
    monkeypatch.setattr(logs, 'FLUSH_PERIOD_S', 0.01)
    path = tmp_path / 'pipe'
    os.mkfifo(path)
    reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    writer = LogWriter(str(path))
    line = 'x' * 100_000
    # More than a pipe holds, so the thread blocks while this one goes on.
    for _ in range(50):
        writer.write(line, urgent=True)
    assert len(writer._lines) <= 10
    stopped = threading.Event()
    received = bytearray()

    def drain() -> None:
        while not stopped.is_set():
            try:
                received.extend(os.read(reader, 1 << 20))
            except BlockingIOError:
                stopped.wait(0.01)

    thread = threading.Thread(target=drain)
    thread.start()
    writer.close()
    stopped.set()
    thread.join()
    os.close(reader)
    assert len(received) >= len(line)
