"""Single requests at the limits, while nobody else is there."""

import asyncio

from tests.connections import crowd
from tests.connections import host_case

SMALL_BODY = crowd.job(size=300)
PATH = b"POST /refund/%016x HTTP/1.1\r\nHost: shop.example\r\n"


def head(number, field, size=crowd.HEADER_MAX):
    """Return a head of a size, filled with repetitions of a field."""
    start = PATH % number + b"Content-Length: %d\r\n" % len(SMALL_BODY)
    left = size - len(start) - len(b"\r\n")
    count, rest = divmod(left, len(field))
    last = b"z:" + b"z" * (rest + len(field) - 4) + b"\r\n"
    return start + field * (count - 1) + last + b"\r\n"


class CalmTests(host_case.HostCase):
    async def exchange(self, pieces):
        """Send a request in pieces; return the status of its answer."""
        host, _, port = self.host.callers_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                # The stand-ins are served by this event loop, too.
                await asyncio.sleep(0)
            async with asyncio.timeout(host_case.ANSWER_SECONDS):
                return int((await reader.readline()).split()[1])
        finally:
            writer.close()

    async def test_heads_of_legal_size_are_served(self):
        whole = b"z:" + b"z" * (crowd.HEADER_MAX // 2) + b"\r\n"
        for number, field in enumerate((b"zz:z\r\n", b"z" * 78 + b":\r\n")):
            with self.subTest(field=field):
                content = head(number, field)
                self.assertEqual(len(content), crowd.HEADER_MAX)
                status = await self.exchange([content, SMALL_BODY])
                self.assertEqual(status, 200)
        content = head(2, whole)
        self.assertEqual(await self.exchange([content, SMALL_BODY]), 200)

    async def test_head_over_the_limit_is_refused(self):
        content = head(0, b"z" * 78 + b":\r\n", crowd.HEADER_MAX + 1)
        self.assertEqual(await self.exchange([content, SMALL_BODY]), 431)

    async def test_body_of_legal_size_is_served(self):
        pieces = [*crowd.whole_body(1)]
        self.assertEqual(await self.exchange(pieces), 200)

    async def test_body_over_the_limit_is_refused(self):
        content = crowd.job(size=crowd.BODY_MAX + 1)
        self.assertEqual(await self.submit(1, json=None, data=content), 413)

    async def test_caller_goes_on_after_a_body_over_the_limit(self):
        content = crowd.job(size=crowd.BODY_MAX + 1)
        for number in range(3):
            self.assertEqual(
                await self.submit(number, json=None, data=content), 413
            )
            self.assertEqual(await self.submit(number), 200)

    async def test_chunks_of_one_byte_are_served(self):
        body = b"".join(b"1\r\n%c\r\n" % each for each in crowd.job())
        start = crowd.HEAD % 1 + b"Transfer-Encoding: chunked\r\n\r\n"
        self.assertEqual(await self.exchange([start, body, b"0\r\n\r\n"]), 200)

    async def test_segments_of_one_byte_are_served(self):
        body = crowd.job(size=20000)
        start = crowd.HEAD % 1 + b"Content-Length: %d\r\n\r\n" % len(body)
        pieces = (b"%c" % each for each in start + body)
        self.assertEqual(await self.exchange(pieces), 200)

    async def test_compressed_body_is_served(self):
        status = await self.submit(
            1, json=None, data=SMALL_BODY, compress="gzip"
        )
        self.assertEqual(status, 200)
