"""A table service in memory that passes the client's contract tests."""

from returns import result

from waxwingwalk.store import base
from waxwingwalk.testing import platform

Fault = platform.PlatformFault
FAILURES = {
    Fault.DOWN: base.PlatformFailure.REFUSED,
    Fault.LOSE_REQUEST: base.PlatformFailure.LOST,
    Fault.LOSE_REPLY: base.PlatformFailure.LOST,
}


class FakeTable:
    """A table service whose faults are set by the test.

    ``fault`` applies to every call. ``faults`` lists the faults of the next
    writes, which replace it. ``before_write`` is called once before the next
    write, to simulate a race.
    """

    def __init__(self):
        self.fault = Fault.NONE
        self.faults = []
        self.rows = {}
        self.before_write = None

    async def write(self, writes, *, is_atomic):
        """Write rows."""
        if self.before_write is not None:
            race, self.before_write = self.before_write, None
            await race()
        fault = self.faults.pop(0) if self.faults else self.fault
        if fault in (Fault.DOWN, Fault.LOSE_REQUEST):
            return result.Failure(FAILURES[fault])
        are_met = [self.version(each) == each.if_version for each in writes]
        outcomes = []
        for each, is_met in zip(writes, are_met, strict=True):
            is_written = is_met and (all(are_met) or not is_atomic)
            if is_written:
                row = base.Row(each.if_version + 1, each.value)
                self.rows[each.table, each.key] = row
            row = self.rows.get((each.table, each.key))
            outcomes.append(base.WriteResult(is_written, row))
        if fault is Fault.LOSE_REPLY:
            return result.Failure(FAILURES[fault])
        return result.Success(outcomes)

    def version(self, write):
        """Return the version of a row, 0 if it does not exist."""
        row = self.rows.get((write.table, write.key))
        return 0 if row is None else row.version

    async def read(self, keys):
        """Read rows."""
        if self.fault in FAILURES:
            return result.Failure(FAILURES[self.fault])
        return result.Success([self.rows.get(key) for key in keys])
