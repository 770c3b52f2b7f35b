"""Machines are lost for good and replaced; later the primary of a database
crashes and all processes are killed at the same moment."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "testbed"))
from testbed import Client, now, run_case  # noqa: E402

RECOVERY_S = 12  # recovery_s of the site
BACK_S = 2  # a new machine comes so long after the loss (replace_core, x)
BETWEEN_S = 4  # pause between two losses of single machines
KEPT_S = 18  # pause after the loss of all machines
DOWN_S = 1.5  # of the final fault
MEASURED_S = 25  # after RECOVERY_S
CLIENTS = 8


async def client(bed, outcomes):
    """Sends one request after the other, each on a session of its own."""
    while True:
        if bed.proxies:
            sent = now()
            served = False
            c = Client(bed, random.choice(bed.proxies),
                       random.choice("pbo") + "-db1")
            try:
                await asyncio.wait_for(c.open(), 2)
                text = random.choice(["READ k1", "WRITE k1 v"])
                if c.database.startswith("b-"):
                    text = "READ k1"
                served = (await c.query(text))[0] is None
            except (OSError, ConnectionError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError):
                pass
            c.close()
            outcomes.append((sent, served))
        await asyncio.sleep(0.1)


def share(outcomes, start, end):
    chosen = [served for sent, served in outcomes if start <= sent < end]
    return sum(chosen), len(chosen)


async def replace(bed, machines):
    """The machines are lost for good; new ones come at other addresses."""
    for p in machines:
        bed.remove_proxy(p)
    await asyncio.sleep(BACK_S)
    for p in machines:
        bed.numbers[p.zone] += 1
        await bed.add_proxy("front-%s-%d" % (p.zone, bed.numbers[p.zone]),
                            p.zone)


async def lose_machines(bed):
    """All machines at once, then three single ones."""
    await replace(bed, list(bed.proxies))
    await asyncio.sleep(KEPT_S)
    for zone in ("tanga-port", "bagamoyo-shore", "tanga-port"):
        await replace(bed, [p for p in bed.proxies if p.zone == zone])
        await asyncio.sleep(BETWEEN_S)


async def body(bed):
    await bed.start(groups=1, spare=8)
    bed.numbers = {z: bed.ZONES.count(z) for z in bed.ZONES}
    outcomes = []
    clients = [asyncio.ensure_future(client(bed, outcomes))
               for _ in range(CLIENTS)]
    await asyncio.sleep(4)
    if bed.trouble:
        await lose_machines(bed)
    await bed.await_ready(10)
    await asyncio.sleep(4)
    fault = now()
    before = share(outcomes, fault - 4, fault)
    rows = [k[1] for k in bed.store.rows if k[1].startswith("node/")]
    bed.record.line("registered proxies: %d, live: %d" %
                    (len(rows), len(bed.proxies)))
    crash = asyncio.ensure_future(bed.groups[0].primary.crash())
    for p in bed.proxies:
        p.end()
    bed.record.line("final fault: all processes are killed")
    await asyncio.sleep(DOWN_S)
    for p in bed.proxies:
        p.start()
    back = now()
    await asyncio.sleep(RECOVERY_S + MEASURED_S)
    after = share(outcomes, back + RECOVERY_S, now() - 2)
    for c in clients:
        c.cancel()
    await crash
    text = ("served before the final fault %d of %d, later than %d s after the "
            "machines were back %d of %d" % (before + (RECOVERY_S,) + after))
    bed.record.line(text)
    print(text)
    if before[0] * 4 >= before[1] > 0 and after[0] * 4 < after[1]:
        bed.record.violation("RECOVER", text)


run_case(os.path.dirname(os.path.abspath(__file__)), body)
