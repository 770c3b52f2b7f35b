"""One proxy is cut off while the others change the primary. Then the others are
killed while the store is down. They learn the view from the one that missed the
change, and all use the replaced primary."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "testbed-3"))
from testbed import (Bed, finish, late_commits, lost_commits,  # noqa: E402
                     now, record, record_traffic, run)

# 0: no disruption. "connected": all but the cut of the one proxy.
TROUBLE = os.environ.get("TROUBLE", "1")
START_S = 4.0
CUT_S = 3.5        # one of three proxies
DARK_S = 3.9       # the primary
STORE_DOWN_S = 4.5


async def disrupt(bed):
    holder, fence = bed.holder()
    if holder is None:
        return False
    record("holder is %s, fence %d" % (holder.name, fence))
    apart = next(p for p in bed.proxies if p is not holder)
    bed.group.set_dark(bed.group.primary, DARK_S)
    if TROUBLE != "connected":
        record("%s is cut off from the platform and the other proxies for "
               "%.1f s" % (apart.name, CUT_S))
        bed.network.cut.add(apart.index)
        for relay in bed.relays[apart.index]:
            relay.hold(CUT_S)
    while not bed.group.took_over:
        if now() > START_S + CUT_S:
            return False
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.4)
    bed.store.set_down(True)
    asyncio.get_running_loop().call_later(
        STORE_DOWN_S, bed.store.set_down, False)
    for p in bed.proxies:
        if p is not apart:
            bed.tasks.append(asyncio.create_task(p.kill_and_restart(0.3)))
    await asyncio.sleep(max(START_S + CUT_S - now(), 0))
    record("%s is connected again" % apart.name)
    bed.network.cut.clear()
    return True


async def main():
    async with Bed(3, partitions=True) as bed:
        callers = []
        for p in bed.proxies:
            callers.append(bed.call(p, "primary-db", 0.02, True))
            callers.append(bed.call(p, "primary-db", 0.02, False))
        await asyncio.sleep(START_S)
        ran = await disrupt(bed) if TROUBLE != "0" else True
        await asyncio.sleep(START_S + CUT_S + 7 - now())
        broken = late_commits(bed, callers)
        record("%d commits, %d acknowledged writes lost" %
               (len(bed.group.commits), len(lost_commits(bed, callers))))
        record_traffic(bed, callers)
    finish(HERE, broken, ran)


run(main)
