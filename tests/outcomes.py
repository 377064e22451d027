"""A nose2 plugin that records the outcome of each test."""

import nose2.events


class OutcomeCounter(nose2.events.Plugin):
    """Records the id of each test and of each failing subtest by outcome."""

    alwaysOn = True
    outcomes = {"passed": [], "failed": [], "skipped": []}

    def testOutcome(self, event):
        """Record the outcome of a test, or of a failing subtest."""
        if event.outcome == "subtest":
            if event.exc_info is None:
                return
            kind = "failed"
        elif event.outcome == "skipped":
            kind = "skipped"
        else:
            kind = "passed" if event.expected else "failed"
        name = event.test.id() if event.test else "load error"
        self.outcomes[kind].append(name)
