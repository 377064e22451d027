"""How often a scheduler announces its free capacity to others."""

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows
from waxwingwalk.dispatch import reducer as dispatch_reducer

SECONDS = 2
STEP_MS = 5


class AnnouncementTests(reducer_case.ReducerTestCase):
    def link_to_schedulers(self, count):
        """Link this host with the schedulers of other pools."""
        for number in range(count):
            zone = f"zone-{number}"
            record = model.HostRecord(f"s-{number}", "1", zone)
            out, inbound = 10 + number, 50 + number
            self.apply(events.LinkOpened(out, record, True), 0)
            self.apply(events.LinkOpened(inbound, record, False), 0)
            fence = pool_rows.fence(1, 0)
            load = messages.PoolLoad(zone, fence, builders.SERVICE, [], 0.0)
            status = messages.HostStatus([load], False, 0, [])
            self.receive(status, 1, link=out)

    def count_announcements(self, schedulers):
        """Return the announcements a second while the load changes often."""
        self.schedule_here()
        self.link_to_schedulers(schedulers)
        sent = 0
        for at in range(STEP_MS, 1000 * SECONDS, STEP_MS):
            self.reducer.run_tracker.changes += 1
            done = self.reducer.apply(events.Ticked(), builders.at(at))
            sent += sum(
                isinstance(each.message, messages.HostStatus)
                and each.link >= 50
                for each in builders.of_type(done, effects.Send)
            )
        return sent / SECONDS

    def test_few_schedulers_learn_of_each_change_soon(self):
        interval = dispatch_reducer.LOAD_ANNOUNCEMENT_INTERVAL
        self.assertGreater(
            self.count_announcements(3),
            0.9 * 3000 * model.MILLISECOND / interval,
        )

    def test_announcements_are_bounded_as_schedulers_grow(self):
        limit = dispatch_reducer.MAX_ANNOUNCEMENTS_PER_SECOND
        # Keep-alives of busy links are sent in any case, five times a second.
        self.assertLessEqual(self.count_announcements(20), limit + 20 * 5)
