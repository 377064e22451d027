"""Crowds of clients that keep connections, and read no answers."""

from tests.connections import crowd
from tests.connections import host_case

# More connections than the machine of the tests has descriptors for.
MANY = host_case.DESCRIPTORS
# Links of one host.
LINKS = 100


class ConnectionTests(host_case.HostCase):
    async def test_idle_connections_exhaust_no_descriptors(self):
        await self.check_crowd(crowd.idle, MANY)

    async def test_answers_that_nobody_reads_exhaust_no_memory(self):
        await self.check_crowd(crowd.unread_answers)

    async def test_requests_behind_a_waiting_one_exhaust_no_memory(self):
        await self.check_crowd(crowd.pipelined_heads)

    async def test_answered_requests_with_large_heads_are_not_kept(self):
        await self.check_crowd(crowd.answered_heads)

    async def test_clients_that_leave_amid_a_body_leave_nothing(self):
        await self.check_crowd(crowd.abandoned_bodies)

    async def test_clients_that_leave_before_their_answer_leave_nothing(self):
        await self.check_crowd(crowd.abandoned_jobs)

    async def test_job_is_served_beside_requests_without_a_pause(self):
        await self.check_beside_crowd(crowd.unread_answers)

    async def test_data_behind_an_upgrade_exhausts_no_memory(self):
        await self.check_crowd(crowd.upgrade)


class OtherListenerTests(host_case.HostCase):
    async def test_idle_connections_for_readiness_are_closed(self):
        await self.check_crowd(crowd.idle, MANY, self.host.readiness_address)

    async def test_heads_for_readiness_exhaust_no_memory(self):
        await self.check_crowd(
            crowd.endless_header, address=self.host.readiness_address
        )

    async def test_idle_connections_for_links_are_closed(self):
        await self.check_crowd(crowd.idle, MANY, self.host.peers_address)

    async def test_heads_for_links_exhaust_no_memory(self):
        await self.check_crowd(
            crowd.endless_header, address=self.host.peers_address
        )

    async def test_messages_of_links_without_end_exhaust_no_memory(self):
        await self.check_crowd(
            crowd.short_link_message, LINKS, self.host.peers_address
        )

    async def test_unread_metrics_exhaust_no_memory(self):
        address = f"{self.host.ip}:{host_case.METRICS_PORT}"
        await self.check_crowd(crowd.unread_metrics, address=address)

    async def test_idle_connections_for_metrics_are_closed(self):
        address = f"{self.host.ip}:{host_case.METRICS_PORT}"
        await self.check_crowd(crowd.idle, MANY, address)
