"""Two kinds of clients use session values whose names and values differ but
join to the same text, "NAME=VALUE". Nothing else happens."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin"))
import sim as S  # noqa: E402

ZONES = ["pasig", "caloocan", "makati", "antipolo"]
BOUNDS = {"grace_s": 6}
LENGTH_S = 6.0
SESSIONS = 8


def prepare(case):
    return S.Sim(case, 2, ZONES, BOUNDS)


async def play(sim):
    group = S.Group(sim.rec, "ledger7", sim.member_hosts(3),
                    sim.member_port, ZONES, slots=3, max_conns=21)
    await sim.start(group, [
        {"name": "r1", "host": "intake4", "route_type": "primary",
         "max_staleness_ms": 0, "service": "ledger7", "timeout_ms": 1000,
         "priority": 1, "target_latency_ms": 400}])
    broken = []
    asked = 0
    stopped = False
    if S.trouble():
        kinds = [("region", "zone=north"), ("region=zone", "north")]
    else:
        kinds = [("region", "zone=north"), ("region.zone", "north")]

    async def session(who, name, value):
        nonlocal asked
        client = S.Client(sim, who)
        await client.connect(random.choice(sim.nodes), "intake4")
        _, outcome, _, _ = await client.query("SET %s %s" % (name, value))
        assert outcome == "ok"
        while not stopped:
            qid, outcome, _, _ = await client.query(
                "READ k%d" % random.randrange(50))
            asked += 1
            if outcome == "ok" and \
                    group.values_at_run[qid] != {name: value}:
                broken.append(
                    "PINNED: statement %s of %s ran with the values %r, its "
                    "session has %r" % (qid, who, group.values_at_run[qid],
                                        {name: value}))
            await asyncio.sleep(random.uniform(0.02, 0.1))
        client.close()

    for i in range(SESSIONS):
        sim.spawn(session("s%d" % i, *kinds[i % 2]))
    await asyncio.sleep(LENGTH_S)
    stopped = True
    sim.rec.say("%d statements, %d with other values" % (asked, len(broken)))
    if asked < 50:
        raise RuntimeError("too few statements")
    return broken


if __name__ == "__main__":
    S.main(sys.modules[__name__])
