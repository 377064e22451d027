"""Crowds of clients whose heads are too large, or do not end."""

from tests.connections import crowd
from tests.connections import host_case


class HeadTests(host_case.HostCase):
    async def test_header_fields_without_end_exhaust_no_memory(self):
        await self.check_crowd(crowd.endless_header)

    async def test_small_header_fields_without_end_exhaust_no_memory(self):
        await self.check_crowd(crowd.small_headers)

    async def test_a_header_field_without_end_exhausts_no_memory(self):
        await self.check_crowd(crowd.endless_field)

    async def test_a_request_line_without_end_exhausts_no_memory(self):
        await self.check_crowd(crowd.endless_path)

    async def test_legal_heads_without_their_end_exhaust_no_memory(self):
        await self.check_crowd(crowd.unended_heads)

    async def test_empty_lines_without_end_do_not_keep_a_connection(self):
        process = await self.start_crowd(crowd.empty_lines)
        self.assertEqual(await process.stdout.readline(), b"sent\n")
        await self.check_host()
        self.assertLess(self.usage.count_descriptors(), host_case.CROWD // 2)
