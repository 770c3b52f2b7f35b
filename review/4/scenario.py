"""The platform's store gives no answer for a second, shortly after a new
member has been listed. Five seconds later a member reports draining."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin"))
import sim as S  # noqa: E402

ZONES = ["pasig", "caloocan", "makati", "antipolo"]
BOUNDS = {"grace_s": 6}
DRAIN_MS = 7000
OUTAGE_AFTER_S = 0.2   # after the new member is listed
OUTAGE_S = 1.0
DRAIN_AFTER_S = 5.2    # more than contact_ms (4 s) after the outage
SERVE_S = 9.5          # the member serves for drain_ms and longer
SESSIONS = 10


def prepare(case):
    return S.Sim(case, 5, ZONES, BOUNDS)


async def play(sim):
    group = S.Group(sim.rec, "ledger7", sim.member_hosts(4),
                    sim.member_port, ZONES, slots=3, max_conns=21,
                    promote_ms=1000)
    first, second, third, fourth = group.members
    fourth.hidden = True
    await sim.start(group, [
        {"name": "r1", "host": "trace9", "route_type": "bounded_staleness",
         "max_staleness_ms": 1500, "service": "ledger7", "timeout_ms": 2000,
         "priority": 2, "target_latency_ms": 1200}])
    sent = {}
    stopped = False

    async def session(who):
        client = S.Client(sim, who)
        while not stopped:
            try:
                if client.writer is None:
                    await client.connect(random.choice(sim.nodes), "trace9")
                at = S.now_ms()
                qid, outcome, _, state = await client.query(
                    "READ k%d" % random.randrange(50))
                sent[qid] = at
                if outcome in ("closed", "no answer") or state != "I":
                    client.close()
            except (ConnectionError, OSError, asyncio.TimeoutError):
                client.close()
                await asyncio.sleep(0.1)
            await asyncio.sleep(random.uniform(0.02, 0.06))
        client.close()

    for i in range(SESSIONS):
        sim.spawn(session("s%d" % i))
    await asyncio.sleep(2.0)
    # Waits until the processes have just asked the feed of their own table
    # again, so that its answers do not fall into the outage.
    for _ in range(300):
        recent = [t for t, target in sim.store.calls
                  if "table=galenastep" in target and S.now_ms() - t < 200]
        if len(recent) >= len(sim.nodes):
            break
        await asyncio.sleep(0.02)
    fourth.hidden = False
    group.write_entry(fourth)
    sim.rec.say("member %s is listed" % fourth.id)
    await asyncio.sleep(OUTAGE_AFTER_S)
    if S.trouble():
        sim.store.silent = True
        sim.rec.say("the store gives no answer")
    await asyncio.sleep(OUTAGE_S)
    sim.store.silent = False
    sim.rec.say("the store answers")
    await asyncio.sleep(DRAIN_AFTER_S)
    second.state = "draining"
    group.write_entry(second)
    drained_at = S.now_ms()
    sim.rec.say("member %s reports draining" % second.id)
    await asyncio.sleep(SERVE_S)
    stopped = True
    broken = []
    for qid, (at, m, position) in group.reads.items():
        if m is second and at - drained_at > DRAIN_MS:
            broken.append("DRAIN: request %s reached %s %.0f ms after the "
                          "store had its report" % (qid, m.id,
                                                    at - drained_at))
    late = [at - drained_at for at, m, _ in group.reads.values()
            if m is second and at > drained_at]
    sim.rec.say("%d requests reached the draining member, the last one after "
                "%.0f ms" % (len(late), max(late, default=0)))
    if len(sent) < 200:
        raise RuntimeError("too few requests")
    return broken


if __name__ == "__main__":
    S.main(sys.modules[__name__])
