"""TCP relays between the processes of a cluster, to simulate partitions.

Each link, from one daemon to one address, has its own relay. A cut link keeps
its connections open and forwards nothing, as in a network partition; when it
is healed, those connections are closed.
"""

import asyncio
import ctypes
import socket
import struct
import threading

# Linux: attaches a socket filter, here one that drops all packets.
SO_ATTACH_FILTER = 26
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)


def drop_packets(connection):
    """Lets the kernel drop all packets that arrive for a connection.

    It acknowledges none, and new connections are not affected.
    """
    code = ctypes.create_string_buffer(DROP_ALL)
    connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER,
                          struct.pack("HxxxxxxP", 1, ctypes.addressof(code)))


class Link:
    """A relay that forwards connections to one port unless it is cut.

    The direction "forth" is towards the target, "back" from it.
    """

    def __init__(self, loop, target_port):
        self._loop = loop
        self._target_port = target_port
        self._writers = set()
        self._silent = set()
        self._cut = {"forth": False, "back": False}
        self._delay_s = 0
        self.port = None

    async def open(self):
        server = await asyncio.start_server(self._handle_connection,
                                            "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _handle_connection(self, reader, writer):
        self._writers.add(writer)
        target_writer = None
        try:
            while any(self._cut.values()):
                await asyncio.sleep(0.05)
                if writer.is_closing():
                    return
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port)
            self._writers.add(target_writer)
            await asyncio.gather(self._forward(reader, target_writer, "forth"),
                                 self._forward(target_reader, writer, "back"))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for each in (writer, target_writer):
                if each is not None:
                    self._writers.discard(each)
                    self._silent.discard(each)
                    each.close()

    async def _forward(self, reader, writer, direction):
        while True:
            data = await reader.read(65536)
            if not data:
                break
            if self._delay_s:
                await asyncio.sleep(self._delay_s)
            while self._cut[direction]:
                await asyncio.sleep(0.05)
                if writer.is_closing():
                    return
            if writer in self._silent:
                continue
            writer.write(data)
            await writer.drain()
        writer.close()

    def silence(self):
        """Makes open connections silent; new ones work."""
        self._loop.call_soon_threadsafe(self._silence)

    def _silence(self):
        for writer in self._writers - self._silent:
            connection = writer.get_extra_info("socket")
            if connection.fileno() >= 0:
                drop_packets(connection)
            self._silent.add(writer)

    def cut(self, directions=("forth", "back")):
        self._loop.call_soon_threadsafe(self._set_cut, directions, True)

    def heal(self):
        self._loop.call_soon_threadsafe(self._set_cut, ("forth", "back"),
                                        False)

    def delay(self, seconds):
        self._delay_s = seconds

    def _set_cut(self, directions, value):
        was_cut = any(self._cut.values())
        for direction in directions:
            self._cut[direction] = value
        if was_cut and not value:
            for writer in list(self._writers):
                writer.close()


class Network:
    """All links of a cluster, served by a background thread."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._links = {}
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def add_link(self, source, target_name, target_port):
        """Returns the port through which source reaches the target."""
        link = Link(self._loop, target_port)
        asyncio.run_coroutine_threadsafe(link.open(), self._loop).result()
        self._links.setdefault((source, target_name), []).append(link)
        return link.port

    def links_between(self, source, target):
        """Returns the links from source to target; None matches any."""
        return [link for (a, b), links in self._links.items()
                if source in (None, a) and target in (None, b)
                for link in links]

    def cut(self, source, target, directions=("forth", "back")):
        for link in self.links_between(source, target):
            link.cut(directions)

    def delay(self, source, target, seconds):
        for link in self.links_between(source, target):
            link.delay(seconds)

    def silence(self, source, target):
        for link in self.links_between(source, target):
            link.silence()

    def heal(self):
        for link in self.links_between(None, None):
            link.heal()
            link.delay(0)
