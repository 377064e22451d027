"""Dispatch hosts as processes, with the faults that affect processes."""

import asyncio
import contextlib
import pathlib
import signal
import sys

import yaml

from tests.soak import proxy

CALLERS_PORT = 8161
READINESS_PORT = 8167
PEERS_PORT = 8166
GRACE_SECONDS = 6
# A process that ignores SIGTERM is killed this long after its grace period.
GRACE_MARGIN_SECONDS = 1.0


class HostProcess:
    """A dispatch host: its process and its proxies for links and the store.

    ``incarnation`` counts the starts of the process.
    """

    def __init__(
        self, name, ip, zone, folder, dispatch_settings="", limits=None
    ):
        self.name = name
        self.limits = limits or {}
        self.zone = zone
        self.ip = ip
        self.folder = pathlib.Path(folder)
        self._dispatch_settings = dispatch_settings
        self.incarnation = 0
        self.is_in_rotation = False
        # Whether a fault that stops or freezes the process is in progress; no
        # other such fault may be injected.
        self.is_busy = False
        self.sigterm_timeouts = 0
        self.link_proxy = proxy.Proxy(f"{ip}:{PEERS_PORT}")
        self.store_proxy = None
        self._process = None

    @property
    def callers_address(self):
        """The address that serves callers."""
        return f"{self.ip}:{CALLERS_PORT}"

    @property
    def readiness_address(self):
        """The address that serves readiness checks."""
        return f"{self.ip}:{READINESS_PORT}"

    @property
    def process_id(self):
        """The id of the process that was started last."""
        return self._process.pid

    @property
    def is_running(self):
        """Whether the process is running."""
        return self._process is not None and self._process.returncode is None

    @property
    def peers_address(self):
        """The address that serves links of peers."""
        return f"{self.ip}:{PEERS_PORT}"

    async def listen(self, store_address):
        """Start the proxies in front of the host and of the store."""
        await self.link_proxy.start()
        self.store_proxy = proxy.Proxy(store_address)
        await self.store_proxy.start()

    def set_peer_addresses(self, addresses):
        """Set the addresses by which the link proxy identifies peers."""
        self.link_proxy.sources = addresses

    async def start(self, seeds):
        """Start the process."""
        settings = {
            "node": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "listen": {
                "front": self.callers_address,
                "ready": self.readiness_address,
                "control": f"{self.ip}:{PEERS_PORT}",
                "control_advertised": self.link_proxy.address,
            },
            "seeds": seeds,
            "limits": self.limits,
            "bounds": {"grace_s": GRACE_SECONDS},
            "platform": {"address": self.store_proxy.address},
        }
        path = self.folder / f"{self.name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        self.incarnation += 1
        with self.log_path.open(
            "wb" if self.incarnation == 1 else "ab"
        ) as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "waxwingwalk.platform",
                env={
                    "WAXWINGWALK_BOOT": str(path),
                    "WAXWINGWALK_DISPATCH": self._dispatch_settings,
                },
                stdout=log,
                stderr=log,
            )

    @property
    def log_path(self):
        """The path of the log file."""
        return self.folder / f"{self.name}.log"

    def signal(self, number):
        """Send a signal to the process, if it is running."""
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    def pause(self):
        """Freeze the process."""
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Resume a frozen process."""
        self.signal(signal.SIGCONT)

    async def kill(self):
        """Kill the process."""
        if self._process is not None:
            self.signal(signal.SIGKILL)
            await self._process.wait()

    async def wait(self):
        """Return the exit status of the process once it has ended."""
        return await self._process.wait()

    async def terminate(self):
        """Stop the process as the platform does.

        It gets SIGTERM, and SIGKILL after the grace period.
        """
        self.resume()
        self.signal(signal.SIGTERM)
        limit = GRACE_SECONDS + GRACE_MARGIN_SECONDS
        try:
            async with asyncio.timeout(limit):
                await self._process.wait()
        except TimeoutError:
            self.sigterm_timeouts += 1
            await self.kill()

    async def stop(self):
        """Kill the process and stop the proxies."""
        await self.kill()
        await self.link_proxy.stop()
        await self.store_proxy.stop()

    def errors(self):
        """Return the log lines that show internal errors."""
        if not self.log_path.exists():
            return []
        return [
            line
            for line in self.log_path.read_text().splitlines()
            if "internal.error" in line or line.startswith("Traceback")
        ]
