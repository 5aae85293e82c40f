"""Tests of the simulated fabric."""

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

    async def test_forwards_to_all_listed_entries(self) -> None:
        # Failover results are only valid if the fabric distributes datagrams
        # over all listed entries, also after the list has changed.
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "entries.txt"
        peers = [await self.open_peer() for _ in range(3)]
        addresses = [address for address, _ in peers]
        path.write_text("")
        simulated_fabric = fabric.Fabric(random.Random(1), path)
        await simulated_fabric.open(LOOPBACK, ())
        self.addCleanup(simulated_fabric.close)
        caller = model.Endpoint("10.9.0.1", 40000)
        for listed in (addresses, addresses[:1], addresses[1:]):
            path.write_text("\n".join(map(str, listed)))
            simulated_fabric.load_entries()
            for _ in range(PACKETS):
                simulated_fabric.forward(SERVICE, b"data", caller)
            while sum(len(received) for _, received in peers) < PACKETS:
                await asyncio.sleep(0)
            chosen = {address for address, received in peers if received}
            self.assertEqual(chosen, set(listed))
            flow = wire.FlowKey(caller, SERVICE)
            for _, received in peers:
                decoded = {proxy.decode(data, "") for data in received}
                self.assertLessEqual(decoded, {(flow, b"data")})
                received.clear()
        # A partially written file must not stop the fabric: it keeps the
        # previous list.
        path.write_text("127.0.0.1:")
        simulated_fabric.load_entries()
        simulated_fabric.forward(SERVICE, b"data", caller)
        while not any(received for _, received in peers[1:]):
            await asyncio.sleep(0)


if __name__ == "__main__":
    unittest.main()
