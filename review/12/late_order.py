"""A holder is cut off from the platform for a moment just as it orders a
promotion, and is stopped as planned. Its order arrives after that of the next
holder. The member that it has ordered has no free slot for STATUS for 0.8 s, so
the next holder orders another one."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "testbed-3"))
from testbed import (Bed, finish, late_commits, lost_commits,  # noqa: E402
                     now, record, record_traffic, run)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CUT_S = 1.2
FULL_S = 0.8


async def main():
    ordered = asyncio.Event()
    async with Bed(3) as bed:
        callers = []
        for p in bed.proxies:
            callers.append(bed.call(p, "primary-db", 0.02, True))
            callers.append(bed.call(p, "primary-db", 0.02, False))
        await asyncio.sleep(4)
        holder, fence = bed.holder()
        if holder is None:
            finish(HERE, [], False)
        record("holder is %s, fence %d" % (holder.name, fence))

        def on_request(data):
            if b"POST /promotion" not in data or ordered.is_set():
                return
            ordered.set()
            record("%s sends its order" % holder.name)
            for m in bed.group.members:
                if b'"id":"%s"' % m.id.encode() in data:
                    m.full_until = now() + FULL_S
                    record("member %s: no free slot for %.1f s" %
                           (m.id, FULL_S))
            if TROUBLE:
                record("%s is cut off from the platform for %.1f s" %
                       (holder.name, CUT_S))
                for relay in bed.relays[holder.index]:
                    relay.hold(CUT_S)
            asyncio.get_running_loop().call_later(
                0.05, holder.signal, signal.SIGTERM)

        bed.relays[holder.index][1].on_request = on_request
        bed.group.set_down(bed.group.primary, True)
        await asyncio.sleep(7)
        broken = []
        seen = 0
        for at, name, f, member in bed.orders.seen:
            if f < seen:
                broken.append("ONE: the promotion service gets fence %d from "
                              "%s at %.3f s, after it has seen %d" %
                              (f, name, at, seen))
            seen = max(seen, f)
        broken += late_commits(bed, callers)
        record("%d commits, %d orders, %d acknowledged writes lost" %
               (len(bed.group.commits), len(bed.orders.seen),
                len(lost_commits(bed, callers))))
        record_traffic(bed, callers)
        ran = ordered.is_set() and len(bed.orders.seen) >= 1
    finish(HERE, broken, ran)


run(main)
