"""The stand-in of the fabric sprays over the entries that are listed."""

import asyncio
import pathlib
import random
import tempfile
import unittest

from egretfork.entry import proxy
from egretfork import model
from egretfork.standins import fabric
from egretfork import wire

LOOPBACK = model.Endpoint("127.0.0.1", 0)
SERVICE = model.Endpoint("127.0.0.1", 5683)
PACKETS = 60


class FabricTest(unittest.IsolatedAsyncioTestCase):
    async def open_peer(self) -> tuple[model.Endpoint, list[bytes]]:
        received: list[bytes] = []
        transport = await fabric.open_socket(
            LOOPBACK, lambda data, _: received.append(data)
        )
        self.addCleanup(transport.close)
        return model.Endpoint(*transport.get_extra_info("sockname")), received

    async def test_entries_come_and_go_while_it_runs(self) -> None:
        # Guards against failover results of a fabric that did not spray.
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "entries.txt"
        peers = [await self.open_peer() for _ in range(3)]
        addresses = [address for address, _ in peers]
        path.write_text("")
        stand_in = fabric.Fabric(random.Random(1), path)
        await stand_in.open(LOOPBACK, ())
        self.addCleanup(stand_in.close)
        caller = model.Endpoint("10.9.0.1", 40000)
        for listed in (addresses, addresses[:1], addresses[1:]):
            path.write_text("\n".join(map(str, listed)))
            stand_in.read_entries()
            for _ in range(PACKETS):
                stand_in.spray(SERVICE, b"data", caller)
            while sum(len(received) for _, received in peers) < PACKETS:
                await asyncio.sleep(0)
            chosen = {address for address, received in peers if received}
            self.assertEqual(chosen, set(listed))
            flow = wire.FlowKey(caller, SERVICE)
            for _, received in peers:
                decoded = {proxy.decode(data, "") for data in received}
                self.assertLessEqual(decoded, {(flow, b"data")})
                received.clear()
        # A file that is being written must not stop the stand-in.
        path.write_text("127.0.0.1:")
        stand_in.read_entries()
        stand_in.spray(SERVICE, b"data", caller)
        while not any(received for _, received in peers[1:]):
            await asyncio.sleep(0)


if __name__ == "__main__":
    unittest.main()
