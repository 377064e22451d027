"""A crowd of clients that do not behave, as a program.

``python -m tests.connections.crowd ADDRESS KIND COUNT`` opens connections,
sends on each what the kind says, and reads nothing. A connection that the
server closes is opened again a few times. The program prints a line when
nothing more can be sent, and keeps the connections open until its standard
input is closed.
"""

import asyncio
import contextlib
import functools
import gzip
import itertools
import socket
import sys

# The limits of the configuration that the tests use, in bytes.
HEADER_MAX = 16384
BODY_MAX = 262144
# What an endless part of a request is cut off at, in bytes.
ENDLESS = 2**20
PIECE = 32768
# Stand for a connection that is closed and opened again, and for a pause.
RECONNECT, PAUSE = object(), object()
PAUSE_SECONDS = 0.02
ABANDONED = 10
# A body far below the limit of entry processes, in bytes.
ENTRY_BODY = 4 * 2**20
RECONNECTIONS = 1
# A connection on which nothing can be sent for so long counts as done.
STALL_SECONDS = 3.0
HEAD = (
    b"POST /refund/%016x HTTP/1.1\r\nHost: shop.example\r\n"
    b"Content-Type: application/json\r\nDeadline-Ms: 60000\r\n"
)
TASK = b'{"cpu":1,"mem_mb":1,"est_ms":1}'


def _pieces(content):
    for start in range(0, len(content), PIECE):
        yield content[start : start + PIECE]


def _repeated(content, size=ENDLESS):
    """Return pieces that repeat some bytes until they have a size."""
    piece = content * max(1, PIECE // len(content))
    return itertools.repeat(piece, size // len(piece))


def job(size=BODY_MAX, steps=1):
    """Return a job that fills a body of some size."""
    content = (
        b'{"spec":"text","best_effort":true,"steps":['
        + b",".join([TASK] * steps)
        + b"]"
    )
    padding = size - len(content) - len(b',"padding":""}')
    return content + b',"padding":"' + b"x" * padding + b'"}'


def endless_header(number):
    """Send one header field after the other, each of a legal size."""
    yield HEAD % number
    line = b"x" * 8000
    for index in range(ENDLESS // len(line)):
        yield b"x-%d: %s\r\n" % (index, line)


def small_headers(number):
    """Send header fields of a few bytes without end."""
    yield HEAD % number
    yield from _repeated(b"a:b\r\n")


def endless_field(number):
    """Send one header field without end."""
    yield HEAD % number + b"x: "
    yield from _repeated(b"x")


def endless_path(number):
    """Send a request line without end."""
    yield b"GET /"
    yield from _repeated(b"x")


def unended_heads(number):
    """Stop just short of the end of a head of legal size."""
    head = HEAD % number
    yield head + b"x: y\r\n" * ((HEADER_MAX - len(head)) // 6 - 1)


def empty_lines(number):
    """Send empty lines before a request without end."""
    yield from _repeated(b"\r\n", 8 * ENDLESS)


def whole_body(number):
    """Send a job in a body of legal size."""
    yield HEAD % number + b"Content-Length: %d\r\n\r\n" % BODY_MAX
    yield from _pieces(job())


def short_body(number):
    """Stop just short of the end of a body of legal size."""
    yield HEAD % number + b"Content-Length: %d\r\n\r\n" % BODY_MAX
    yield from _pieces(job()[:-1])


def large_body(number):
    """Send a body far over the limit."""
    yield HEAD % number + b"Content-Length: %d\r\n\r\n" % (100 * BODY_MAX)
    yield from _repeated(b" ", 8 * ENDLESS)


def chunked_body(number):
    """Stop just short of the end of a chunked body of legal size."""
    yield HEAD % number + b"Transfer-Encoding: chunked\r\n\r\n"
    for piece in _pieces(job()[:-1]):
        yield b"%x\r\n%s\r\n" % (len(piece), piece)


def small_chunks(number):
    """Send a body of legal size, one byte a chunk, without its end."""
    yield HEAD % number + b"Transfer-Encoding: chunked\r\n\r\n"
    yield from _repeated(b"1\r\n \r\n", 6 * (BODY_MAX - PIECE))


def chunk_extensions(number):
    """Send an extension of a chunk without end."""
    yield HEAD % number + b"Transfer-Encoding: chunked\r\n\r\n1;x="
    yield from _repeated(b"x", 8 * ENDLESS)


def trailers(number):
    """Send fields behind a chunked body without end."""
    yield HEAD % number + b"Transfer-Encoding: chunked\r\n\r\n"
    yield b"1\r\n \r\n0\r\n"
    for index in range(ENDLESS // 8000):
        yield b"x-%d: %s\r\n" % (index, b"x" * 8000)


@functools.cache
def _compressed():
    return gzip.compress(bytes(200 * BODY_MAX))[: BODY_MAX - 1]


def compressed_body(number):
    """Send a small body that inflates to two hundred times the limit."""
    content = _compressed()
    yield (
        HEAD % number
        + b"Content-Encoding: gzip\r\n"
        + b"Content-Length: %d\r\n\r\n" % (len(content) + 1)
    )
    yield from _pieces(content)


def large_job(number):
    """Send a job with the greatest number of tasks."""
    content = job(steps=5000)
    yield HEAD % number + b"Content-Length: %d\r\n\r\n" % len(content)
    yield from _pieces(content)


def wide_job(number):
    """Send a job whose body is an array of as many steps as fit."""
    content = b'{"spec":"","steps":[' + b"{}," * (BODY_MAX // 3 - 10) + b"{}]}"
    yield HEAD % number + b"Content-Length: %d\r\n\r\n" % len(content)
    yield from _pieces(content)


def unread_answers(number):
    """Send requests one after the other, and read no answer."""
    request = b"GET /refund/ HTTP/1.1\r\nHost: shop.example\r\n\r\n"
    yield from _repeated(request, 4 * ENDLESS)


def pipelined_heads(number):
    """Send requests behind one that waits for its answer."""
    content = job(size=300)
    yield HEAD % number + b"Content-Length: %d\r\n\r\n" % len(content)
    yield content
    request = b"GET /refund/ HTTP/1.1\r\nHost: shop.example\r\n%s\r\n"
    yield from _repeated(request % (b"a:b\r\n" * 100))


def answered_heads(number):
    """Send whole requests with heads of legal size in turn, and stay."""
    yield from itertools.repeat(PAUSE, number)
    start = b"GET /refund/ HTTP/1.1\r\nHost: shop.example\r\n"
    count = (HEADER_MAX - len(start) - len(b"\r\n")) // len(b"a1000:1000\r\n")
    fields = (
        b"a%d:%d\r\n" % (each, each) for each in range(1000, 1000 + count)
    )
    yield start + b"".join(fields) + b"\r\n"


def abandoned_bodies(number):
    """Send most of a body again and again, and leave each time."""
    for _ in range(ABANDONED):
        yield from short_body(number)
        yield RECONNECT


def abandoned_jobs(number):
    """Submit a job again and again, and do not wait for its answer."""
    content = job(size=500)
    for index in range(ABANDONED):
        yield HEAD % (number * ABANDONED + index)
        yield b"Content-Length: %d\r\n\r\n" % len(content) + content
        yield RECONNECT


def refused_upload(number):
    """Send a body without end to a path that is refused at once."""
    yield b"POST /unknown HTTP/1.1\r\nHost: shop.example\r\n"
    yield b"Transfer-Encoding: chunked\r\n\r\n"
    yield from _repeated(b"8\r\n        \r\n", 8 * ENDLESS)


def upgrade(number):
    """Ask for another protocol, and go on without end."""
    yield b"GET /refund/ HTTP/1.1\r\nHost: shop.example\r\n"
    yield b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
    yield from _repeated(b"x")


def unread_metrics(number):
    """Ask for metrics again and again, and read no answer."""
    yield from _repeated(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", 65536)


def short_link_message(number):
    """Open a link between hosts, and send a large message in part."""
    host = b'{"address":"127.0.0.1:%d","incarnation":"1","zone":"north"}'
    yield (
        b"GET /v1/dispatch/link HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\n"
        b"Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
        b"Sec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n"
        b"X-Waxwingwalk-Host: " + host % (1 + number) + b"\r\n\r\n"
    )
    # The header of a masked text frame of 8 MB.
    yield b"\x81\xff" + (8 * 2**20).to_bytes(8) + bytes(4)
    yield from _repeated(b" ", 2 * ENDLESS)


def _entry_body(size):
    yield b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\n"
    yield b"Content-Length: %d\r\n\r\n" % ENTRY_BODY
    task = b'{"payload":{"run_seconds":0.02,"value":1},"run_time_seconds":30}'
    content = b'{"service":"refunds","team":"shops","tasks":[%s]}' % task
    yield content
    yield from _repeated(b" ", size - len(content) - PIECE)
    yield b" " * ((size - len(content)) % PIECE + PIECE)


def short_entry_body(number):
    """Stop just short of the end of a job for an entry process."""
    yield from _entry_body(ENTRY_BODY - 1)


def whole_entry_body(number):
    """Send a large job to an entry process."""
    yield from _entry_body(ENTRY_BODY)


def idle(number):
    """Send nothing."""
    yield b""


KINDS = {
    each.__name__: each
    for each in (
        *(endless_header, small_headers, endless_field, endless_path),
        *(unended_heads, empty_lines, whole_body, short_body, large_body),
        *(chunked_body, small_chunks, chunk_extensions, trailers),
        *(compressed_body, large_job, wide_job, unread_answers),
        *(answered_heads, abandoned_bodies, abandoned_jobs),
        *(pipelined_heads, refused_upload, upgrade, unread_metrics),
        *(short_link_message, idle, short_entry_body, whole_entry_body),
    )
}


async def _open(address):
    connection = socket.socket()
    connection.setblocking(False)
    try:
        async with asyncio.timeout(STALL_SECONDS):
            loop = asyncio.get_running_loop()
            await loop.sock_connect(connection, address)
    except OSError:
        connection.close()
        raise
    return connection


async def _send(address, pieces):
    """Open a connection and send on it; return it if it is still open."""
    loop = asyncio.get_running_loop()
    connection = None
    try:
        connection = await _open(address)
        for piece in pieces:
            if piece is PAUSE:
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            if piece is RECONNECT:
                connection.close()
                connection = await _open(address)
                continue
            async with asyncio.timeout(STALL_SECONDS):
                await loop.sock_sendall(connection, piece)
    except TimeoutError:
        return connection
    except OSError:
        if connection is not None:
            connection.close()
        return None
    return connection


async def _misbehave(address, kind, number):
    for _ in range(1 + RECONNECTIONS):
        connection = await _send(address, kind(number))
        if connection is not None:
            return connection
    return None


async def main(address, kind, count):
    """Send what the kind says on some connections, and keep them open."""
    host, _, port = address.rpartition(":")
    connections = await asyncio.gather(
        *(
            _misbehave((host, int(port)), KINDS[kind], number)
            for number in range(int(count))
        )
    )
    print("sent", flush=True)
    await asyncio.to_thread(sys.stdin.read)
    for connection in connections:
        if connection is not None:
            with contextlib.suppress(OSError):
                connection.close()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
