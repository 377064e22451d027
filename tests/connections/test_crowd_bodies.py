"""Crowds of clients with large bodies."""

from tests.connections import crowd
from tests.connections import host_case


class BodyTests(host_case.HostCase):
    async def test_whole_bodies_of_legal_size_exhaust_no_memory(self):
        await self.check_crowd(crowd.whole_body)

    async def test_bodies_that_stop_just_short_exhaust_no_memory(self):
        await self.check_crowd(crowd.short_body)

    async def test_bodies_over_the_limit_exhaust_no_memory(self):
        await self.check_crowd(crowd.large_body)

    async def test_chunked_bodies_that_stop_short_exhaust_no_memory(self):
        await self.check_crowd(crowd.chunked_body)

    async def test_compressed_bodies_exhaust_no_memory(self):
        await self.check_crowd(crowd.compressed_body)

    async def test_trailers_without_end_exhaust_no_memory(self):
        await self.check_crowd(crowd.trailers)

    async def test_jobs_with_the_most_tasks_exhaust_no_memory(self):
        await self.check_crowd(crowd.large_job)

    async def test_arrays_of_empty_steps_exhaust_no_memory(self):
        await self.check_crowd(crowd.wide_job)


class ProcessorTimeTests(host_case.HostCase):
    async def test_job_is_served_beside_chunks_of_one_byte(self):
        await self.check_beside_crowd(crowd.small_chunks)

    async def test_job_is_served_beside_a_chunk_extension_without_end(self):
        await self.check_beside_crowd(crowd.chunk_extensions)

    async def test_job_is_served_beside_compressed_bodies(self):
        await self.check_beside_crowd(crowd.compressed_body)

    async def test_job_is_served_beside_bodies_of_refused_requests(self):
        await self.check_beside_crowd(crowd.refused_upload)
