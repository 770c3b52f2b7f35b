"""sync_replicas is 1. One replica is about to be replaced (it is draining) and
has every acknowledged commit; the other one falls behind, and the primary
crashes meanwhile."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin"))
import sim as S  # noqa: E402

ZONES = ["pasig", "caloocan", "makati", "antipolo"]
BOUNDS = {"grace_s": 6}
DRAIN_AT_S = 2.0   # the draining replica serves for 7 s and more
LAG_AT_S = 3.0
LAG_X = 60         # times the usual 8 ms
CRASH_AT_S = 5.0
LENGTH_S = 10.0
READERS = 6
WRITERS = 6


def prepare(case):
    return S.Sim(case, 5, ZONES, BOUNDS)


class Traffic:
    def __init__(self, sim):
        self.sim = sim
        self.acked = {}  # qid -> (time, item, value)
        self.stopped = False

    async def session(self, who, database, make, pause_s):
        sim = self.sim
        client = S.Client(sim, who)
        while not self.stopped:
            try:
                if client.writer is None:
                    await client.connect(random.choice(sim.nodes), database)
                text = make()
                qid, outcome, _, state = await client.query(text)
                if outcome == "ok" and text.startswith("WRITE"):
                    _, item, value = text.split(" ")
                    self.acked[qid] = (S.now_ms(), item, value)
                if outcome in ("closed", "no answer") or state != "I":
                    client.close()
                if outcome != "ok":
                    await asyncio.sleep(0.05)
            except (ConnectionError, OSError, asyncio.TimeoutError):
                client.close()
                await asyncio.sleep(0.1)
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
        client.close()


async def play(sim):
    group = S.Group(sim.rec, "ledger7", sim.member_hosts(3),
                    sim.member_port, ZONES, sync_replicas=1, slots=3,
                    max_conns=21, promote_ms=1000, read_ms=20)
    common = {"service": "ledger7", "timeout_ms": 1000, "priority": 1,
              "target_latency_ms": 200}
    await sim.start(group, [
        dict(common, name="r1", host="intake4", route_type="primary",
             max_staleness_ms=0),
        dict(common, name="r2", host="trace9", max_staleness_ms=2500,
             route_type="bounded_staleness", priority=2)])
    t = Traffic(sim)
    n = 0

    def write():
        nonlocal n
        n += 1
        return "WRITE k%d v%d" % (random.randrange(50), n)

    def read():
        return "READ k%d" % random.randrange(50)

    for i in range(WRITERS):
        sim.spawn(t.session("w%d" % i, "intake4", write, 0.03))
    for i in range(READERS):
        sim.spawn(t.session("r%d" % i, "trace9", read, 0.05))
    first, second, third = group.members
    await asyncio.sleep(DRAIN_AT_S)
    if S.trouble():
        second.state = "draining"
        group.write_entry(second)
        sim.rec.say("member %s reports draining" % second.id)
    await asyncio.sleep(LAG_AT_S - DRAIN_AT_S)
    if S.trouble():
        third.lag_x = LAG_X
        sim.rec.say("member %s falls behind by %d ms" %
                    (third.id, LAG_X * group.lag_ms))
    await asyncio.sleep(CRASH_AT_S - LAG_AT_S)
    if S.trouble():
        first.crash()
        sim.rec.say("logs: " + ", ".join("%s %s %s" % (
            m.id, m.state, m.position_text()) for m in group.members))
    await asyncio.sleep(LENGTH_S - CRASH_AT_S)
    t.stopped = True
    sim.rec.say("%d writes acknowledged, %d promotions" %
                (len(t.acked), len(group.promotions)))
    sim.rec.say("logs: " + ", ".join("%s %s %s" % (
        m.id, m.role, m.position_text()) for m in group.members))
    broken = []
    for at, m, term, log in group.promotions:
        present = set()
        for e in log:
            present.update(e.ids)
        lost = [q for q, (acked_at, _, _) in t.acked.items()
                if acked_at < at and q not in present]
        for q in lost:
            broken.append("LOST: write %s (%s %s) was acknowledged %.0f ms "
                          "before %s was promoted, whose log lacks it" % (
                              q, t.acked[q][1], t.acked[q][2],
                              at - t.acked[q][0], m.id))
        sim.rec.say("promotion of %s: %d acknowledged writes are not in its "
                    "log" % (m.id, len(lost)))
    if len(t.acked) < 50:
        raise RuntimeError("too few writes")
    return broken


if __name__ == "__main__":
    S.main(sys.modules[__name__])
