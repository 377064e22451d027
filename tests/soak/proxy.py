"""Loopback proxy that can delay, stall, refuse and reset connections."""

import asyncio
import itertools

# Connections take the paths to the target by turns.
PATHS = 2
CHUNK_SIZE = 65_536
# Interval at which a stalled connection checks whether it may continue.
POLL_SECONDS = 0.01


class _Connection:
    """One proxied connection."""

    def __init__(self, client_writer, target_writer, path):
        self.writers = (client_writer, target_writer)
        self.path = path
        self.is_silent = False
        self.is_aborted = False
        # The entry of ``Proxy.sources`` that the first chunk contains;
        # empty if there is none, None before the first chunk.
        self.source = None

    def abort(self):
        """Reset both ends of the connection."""
        self.is_aborted = True
        for writer in self.writers:
            writer.transport.abort()


class Proxy:
    """Forwards connections to a target and injects faults on demand.

    Stalled data is delivered when the stall ends, even if its sender has
    closed the connection by then. This is how late orders come about.
    """

    def __init__(self, target, sources=()):
        self._target = target
        # Texts that identify the process that opened a connection.
        self.sources = sources
        self._connections = set()
        self._paths = itertools.cycle(range(PATHS))
        self._server = None
        self.address = ""
        self.delay = 0.0
        self.is_refusing = False
        self.stalls_upstream = False
        self.stalls_downstream = False
        self.stalled_path = None
        self.blocked_sources = set()

    async def start(self):
        """Start listening on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self):
        """Close the listener and all connections."""
        self._server.close()
        self.reset()
        while self._connections:
            await asyncio.sleep(POLL_SECONDS)

    def reset(self):
        """Reset all open connections."""
        for connection in list(self._connections):
            connection.abort()

    def silence_open_connections(self):
        """Stop delivering data on open connections, permanently.

        New connections are not affected.
        """
        for connection in self._connections:
            connection.is_silent = True

    def clear_faults(self):
        """End all faults, except that silent connections stay silent."""
        self.delay = 0.0
        self.is_refusing = self.stalls_upstream = self.stalls_downstream = (
            False
        )
        self.stalled_path = None
        self.blocked_sources.clear()

    async def _accept(self, client_reader, client_writer):
        if self.is_refusing:
            client_writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, port
            )
        except OSError:
            client_writer.transport.abort()
            return
        connection = _Connection(
            client_writer, target_writer, next(self._paths)
        )
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(
                    connection, client_reader, target_writer, is_upstream=True
                ),
                self._forward(
                    connection, target_reader, client_writer, is_upstream=False
                ),
            )
        finally:
            self._connections.discard(connection)
            connection.abort()

    async def _forward(self, connection, reader, writer, *, is_upstream):
        try:
            while chunk := await reader.read(CHUNK_SIZE):
                if is_upstream and connection.source is None:
                    connection.source = self._source(chunk)
                if self.delay:
                    await asyncio.sleep(self.delay)
                while self._is_stalled(connection, is_upstream):
                    await asyncio.sleep(POLL_SECONDS)
                writer.write(chunk)
                await writer.drain()
            writer.close()
        except OSError:
            # One end was reset; propagate the reset to the other end.
            connection.abort()

    def _source(self, chunk):
        for source in self.sources:
            if source.encode() in chunk:
                return source
        return ""

    def _is_stalled(self, connection, is_upstream):
        if connection.is_aborted:
            return False
        if connection.is_silent or connection.source in self.blocked_sources:
            return True
        if connection.path == self.stalled_path:
            return True
        return self.stalls_upstream if is_upstream else self.stalls_downstream
