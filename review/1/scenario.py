"""The primary goes dark for a moment, the holder orders a promotion, the
primary answers again, and the holder is stopped by SIGTERM (a rolling restart)
before the promotion takes effect."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin"))
import sim as S  # noqa: E402

ZONES = ["pasig", "caloocan", "makati", "antipolo"]
BOUNDS = {"grace_s": 6}
DARK_AT_S = 4.0
BACK_AFTER_ORDER_S = 0.3
TERM_AFTER_ORDER_S = 0.4
RESTART_AFTER_S = 0.3
LENGTH_S = 14.0
WRITERS = 12
THAW_SLACK_MS = 300


def prepare(case):
    return S.Sim(case, 5, ZONES, BOUNDS)


async def play(sim):
    group = S.Group(sim.rec, "ledger7", sim.member_hosts(3),
                    sim.member_port, ZONES, slots=3, max_conns=21,
                    promote_ms=1000)
    await sim.start(group, [
        {"name": "r1", "host": "intake4", "route_type": "primary",
         "max_staleness_ms": 0, "service": "ledger7", "timeout_ms": 1000,
         "priority": 1, "target_latency_ms": 200}])
    acked = {}
    stopped = False
    n = 0

    async def writer(who):
        nonlocal n
        client = S.Client(sim, who)
        while not stopped:
            try:
                if client.writer is None:
                    await client.connect(random.choice(sim.nodes), "intake4")
                n += 1
                node = client.node
                sent_at = S.now_ms()
                qid, outcome, _, state = await client.query(
                    "WRITE k%d v%d" % (random.randrange(50), n))
                if outcome == "ok":
                    acked[qid] = (sent_at, S.now_ms(), node)
                if outcome in ("closed", "no answer") or state != "I":
                    client.close()
            except (ConnectionError, OSError, asyncio.TimeoutError):
                client.close()
                await asyncio.sleep(0.1)
            await asyncio.sleep(random.uniform(0.02, 0.08))
        client.close()

    for i in range(WRITERS):
        sim.spawn(writer("w%d" % i))
    first = group.members[0]
    commits = []
    real_commit = group.commit

    def commit(m, items, ids):
        e = real_commit(m, items, ids)
        commits.append(e)
        return e

    group.commit = commit
    term = None

    async def after_order(holder):
        await asyncio.sleep(BACK_AFTER_ORDER_S)
        first.return_from_dark()
        await asyncio.sleep(TERM_AFTER_ORDER_S - BACK_AFTER_ORDER_S)
        node = sim.node_named(holder)
        node.signal(signal.SIGTERM)
        while node.process.poll() is None:
            await asyncio.sleep(0.05)
        sim.rec.say("process %s ended with %d" %
                    (node.name, node.process.returncode))
        await asyncio.sleep(RESTART_AFTER_S)
        node.start()

    def on_order(holder, m):
        nonlocal term
        if term is None:
            term = sim.spawn(after_order(holder))

    await asyncio.sleep(DARK_AT_S)
    if S.trouble():
        group.on_order = on_order
        first.go_dark()
    await asyncio.sleep(LENGTH_S - DARK_AT_S)
    stopped = True
    broken = []
    for e in commits:
        for at, m, t, log in group.promotions:
            if t <= e.term or e.at <= at:
                continue
            for q in e.ids:
                if q in acked and q not in {x for c in m.log for x in c.ids}:
                    sent, done, node = acked[q]
                    broken.append(
                        "ONE: write %s was committed at the old primary %s "
                        "as %d.%d, %.0f ms after %s was promoted to term %d, "
                        "and acknowledged by %s; it is not in the log of %s" %
                        (q, e.member.id, e.term, e.number, e.at - at, m.id, t,
                         node.name, m.id))
    sim.rec.say("%d writes acknowledged, %d promotions" %
                (len(acked), len(group.promotions)))
    if len(acked) < 50:
        raise RuntimeError("too few writes")
    if S.trouble() and not group.promotions:
        raise RuntimeError("no promotion was ordered")
    return broken


if __name__ == "__main__":
    S.main(sys.modules[__name__])
