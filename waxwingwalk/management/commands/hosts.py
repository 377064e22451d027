"""``waxwingwalk host ...`` and ``waxwingwalk backend-server list``."""

from waxwingwalk.management import base


class HostListCommand(base.RequestCommand):
    """Lists the entry processes that are known to one of them."""

    name = "host list"
    description = "List the entry processes."
    options = [
        base.RequestCommand.address_option,
        base.RequestCommand.token_option,
        base.BaseCommand.json_option,
    ]

    def handle(self) -> int:
        reply = self.request("GET", "/v1/hosts")
        if reply is None:
            return base.EXIT_USAGE
        if self.option("json"):
            self.print_json(reply)
        elif "hosts" in reply:
            columns = ["address", "zone", "region", "state", "incarnation"]
            rows = [[each[c] for c in columns] for each in reply["hosts"]]
            self.print_table(columns, rows)
        return self.print_errors(reply)


class HostDrainCommand(base.RequestCommand):
    """Shuts down an entry process gracefully."""

    name = "host drain"
    description = "Drain the entry process at --address."
    options = [
        base.RequestCommand.address_option,
        base.RequestCommand.token_option,
    ]

    def handle(self) -> int:
        if not self.option("address"):
            return self.fail("--address HOST:PORT is required")
        reply = self.request("POST", "/v1/drain")
        if reply is None:
            return base.EXIT_USAGE
        self.line(f"{self.address()} is draining")
        return self.print_errors(reply)


class BackendServerListCommand(base.RequestCommand):
    """Lists the backend servers that are known to an entry process."""

    name = "backend-server list"
    description = "List the backend servers."
    options = [
        base.RequestCommand.address_option,
        base.RequestCommand.token_option,
        base.BaseCommand.json_option,
    ]

    def handle(self) -> int:
        reply = self.request("GET", "/v1/backend-servers")
        if reply is None:
            return base.EXIT_USAGE
        if self.option("json"):
            self.print_json(reply)
        elif "backend_servers" in reply:
            columns = ["id", "zone", "rack", "state", "slots", "running"]
            rows = [
                [
                    *(str(each[column]) for column in columns),
                    "yes" if each["accepts_work"] else "no",
                    ", ".join(
                        f"{service} {factor:g}"
                        for service, factor in each["slowness"].items()
                    ),
                ]
                for each in reply["backend_servers"]
            ]
            self.print_table([*columns, "accepts work", "slowness"], rows)
        return self.print_errors(reply)
