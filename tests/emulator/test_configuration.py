"""Distribution of the configuration over links of limited bandwidth."""

import datetime
import unittest

from waxwingwalk.dispatch import model
from waxwingwalk.emulator import fleet as emulated_fleet

CAPACITY = model.Resources(processors=32_000, memory=65_536)
TASK_RESOURCES = model.Resources(processors=16_000, memory=64)
ZONES = ("north", "south", "west")
HOSTS_PER_ZONE = 10
BACKENDS_PER_ZONE = 4
# Half of the slowest link of the platform, as it is run.
UPLINK_BITS_PER_SECOND = 10e6
# The sizes of the operators' document today and in two years.
SIZES = (300_000, 3_000_000)
JOB_INTERVAL_MS = 10
WORK_MS = 50
# The bound on hosts that reach the store.
IN_FORCE_MS = 2000


def milliseconds(count):
    return datetime.timedelta(milliseconds=count)


class ConfigurationTestCase(unittest.TestCase):
    """A fleet of three zones under load."""

    def setUp(self):
        self.fleet = emulated_fleet.Fleet(seed=1)
        self.fleet.do_callers_repeat = False
        self.callers = []
        for zone in ZONES:
            for number in range(HOSTS_PER_ZONE):
                self.fleet.add_host(f"{zone}-{number}", zone)
            for number in range(BACKENDS_PER_ZONE):
                self.fleet.add_backend(f"{zone}-b{number}", zone, CAPACITY)
        self.hosts = list(self.fleet.hosts.values())
        self.fleet.run(milliseconds(3000))
        self.fleet.uplink_bits_per_second = UPLINK_BITS_PER_SECOND

    def run_load(self, duration_ms):
        """Submit a job every few milliseconds, each at the next host."""
        for _ in range(duration_ms // JOB_INTERVAL_MS):
            number = len(self.callers)
            up = [each for each in self.hosts if each.is_up]
            caller = self.fleet.submit(
                f"job-{number}",
                up[number % len(up)],
                1,
                milliseconds(WORK_MS),
                TASK_RESOURCES,
                timeout=milliseconds(1500),
            )
            self.callers.append(caller)
            self.fleet.run(milliseconds(JOB_INTERVAL_MS))

    def count_unanswered(self):
        """Return how many jobs did not run to their end in time."""
        return sum(
            caller.answer is None
            or caller.answer.outcome is not model.JobOutcome.DONE
            for caller in self.callers
        )

    def versions(self, hosts=None):
        """Return the versions in force on hosts, 0 for none."""
        return {
            0 if each.reducer.catalog is None else each.reducer.catalog.version
            for each in (hosts or self.hosts)
        }


class GrownDocumentTests(ConfigurationTestCase):
    """A large version is written while every host reaches the store."""

    def test_document_is_not_sent_over_links(self):
        # Pushing 300 KB to every linked host, again at each status that the
        # host had sent before it processed the document, delayed keep-alives
        # beyond 0.6 s, and each link that was opened again got the document.
        for version, size in enumerate(SIZES, start=2):
            with self.subTest(size=size):
                self.fleet.write_catalog(version, size)
                closed = self.fleet.closed_links
                self.run_load(IN_FORCE_MS)
                self.assertEqual(self.versions(), {version})
                self.run_load(3000)
                self.assertEqual(self.fleet.closed_links, closed)
        self.fleet.run(milliseconds(1500))
        self.assertEqual(self.fleet.sent_bytes["share_catalog"], 0)
        self.assertEqual(self.fleet.sent_bytes["catalog_part"], 0)
        self.assertEqual(self.count_unanswered(), 0)
