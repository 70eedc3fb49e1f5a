"""Small HTTP/1.1 helpers on asyncio streams, for stand-ins and clients."""

import asyncio
import dataclasses
import time

MAX_BODY_BYTES = 128 * 1024 * 1024


@dataclasses.dataclass
class Message:
    """A request or an answer: first line, headers (lower case) and body."""

    first: str
    headers: dict[str, str]
    body: bytes


async def read_message(
    reader: asyncio.StreamReader, *, is_answer: bool = False
) -> Message | None:
    """Read one message; None if the connection ends before it is whole."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')[:-2]
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
        if is_answer and lines[0].split(' ')[1] == '100':
            return await read_message(reader, is_answer=True)
        body = b''
        if 'content-length' in headers:
            body = await reader.readexactly(int(headers['content-length']))
        elif 'chunked' in headers.get('transfer-encoding', ''):
            while True:
                size = int((await reader.readline()).split(b';')[0], 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    break
                body += part[:-2]
        return Message(lines[0], headers, body)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def encode_answer(
    status: int, headers: dict[str, str] | None = None, body: bytes = b''
) -> bytes:
    """Return an answer with its length."""
    lines = [f'HTTP/1.1 {status} S']
    lines += [f'{name}: {value}' for name, value in (headers or {}).items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


@dataclasses.dataclass
class Reply:
    """What a caller saw of one request.

    `status` is 0 if no whole answer came; `why` then tells what came.
    """

    status: int
    why: str
    sent_at: float
    ended_at: float
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''

    @property
    def took_s(self) -> float:
        """Return the time from sending to the answer or the end."""
        return self.ended_at - self.sent_at


async def call(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b'',
    *,
    timeout_s: float,
) -> Reply:
    """Send one request on a new connection, and wait for its answer."""
    sent_at = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', port, limit=MAX_BODY_BYTES
            )
            lines = [f'{method} {path} HTTP/1.1']
            lines += [f'{name}: {value}' for name, value in headers.items()]
            if body or method in ('POST', 'PUT'):
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            await writer.drain()
            answer = await read_message(reader, is_answer=True)
    except TimeoutError:
        return Reply(0, 'no answer', sent_at, time.monotonic())
    except OSError as error:
        return Reply(0, repr(error), sent_at, time.monotonic())
    finally:
        if writer is not None:
            writer.close()
    ended_at = time.monotonic()
    if answer is None:
        return Reply(0, 'connection ended', sent_at, ended_at)
    status = int(answer.first.split(' ')[1])
    return Reply(status, '', sent_at, ended_at, answer.headers, answer.body)
