"""A primary is partitioned and replaced. The new primary goes dark, and the
old one can be reached again. The other replica has received nothing all the
while."""

import asyncio
import base64
import bisect
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin"))
import sim as S  # noqa: E402

ZONES = ["pasig", "caloocan", "makati", "antipolo"]
BOUNDS = {"grace_s": 6}
DEAF_AT_S = 4.0
DEAF_S = 6.0
CUT_AT_S = 4.5
DARK_AFTER_S = 0.5     # after the promotion has taken effect
CUT_END_AFTER_S = 0.1  # after the holder has claimed the second change
DARK_S = 3.0
LENGTH_S = 14.0
WRITERS = 8
READERS = 6


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
    sent = {}    # qid -> when
    acked = {}   # write -> when
    reads = {}   # answered read -> when it was sent
    commits = []
    position = {}
    stopped = False
    n = 0
    real_commit = group.commit

    def commit(m, items, ids):
        e = real_commit(m, items, ids)
        commits.append((S.now_ms(), e))
        return e

    group.commit = commit

    def on_run(m, qid):
        position[qid] = (m, m.position())
        return real_signature(m, qid)

    real_signature = group.signature
    group.signature = on_run

    async def session(who, writes):
        nonlocal n
        client = S.Client(sim, who)
        while not stopped:
            try:
                if client.writer is None:
                    await client.connect(random.choice(sim.nodes), "intake4")
                n += 1
                item = "k%d" % random.randrange(50)
                at = S.now_ms()
                qid, outcome, _, state = await client.query(
                    "WRITE %s v%d" % (item, n) if writes else "READ " + item)
                sent[qid] = at
                if outcome == "ok" and writes:
                    acked[qid] = S.now_ms()
                elif outcome == "ok":
                    reads[qid] = at
                if outcome in ("closed", "no answer") or state != "I":
                    client.close()
            except (ConnectionError, OSError, asyncio.TimeoutError):
                client.close()
                await asyncio.sleep(0.1)
            await asyncio.sleep(random.uniform(0.02, 0.08))
        client.close()

    for i in range(WRITERS):
        sim.spawn(session("w%d" % i, True))
    for i in range(READERS):
        sim.spawn(session("r%d" % i, False))
    first, second, third = group.members
    await asyncio.sleep(DEAF_AT_S)
    if S.trouble():
        third.deaf = True
        sim.rec.say("member %s receives nothing from now on" % third.id)
    await asyncio.sleep(CUT_AT_S - DEAF_AT_S)
    if S.trouble():
        first.go_dark()
        for _ in range(500):
            await asyncio.sleep(0.01)
            if group.promotions:
                break
        if not group.promotions:
            raise RuntimeError("no promotion")
        new = group.promotions[0][1]
        await asyncio.sleep(DARK_AFTER_S)
        new.go_dark()
        dark_at = S.now_ms()
        # The view's line "lead SERVICE EPOCH TERM CHANGING PRIMARY" shows
        # when the holder has begun to replace the new primary.
        while S.now_ms() - dark_at < 2000:
            value, _ = sim.store.rows[("galenastep", "", "view")]
            view = base64.b64decode(value).decode()
            if " 1 " + new.id in view:
                break
            await asyncio.sleep(0.01)
        await asyncio.sleep(CUT_END_AFTER_S)
        first.return_from_dark()
        await asyncio.sleep(DARK_S - (S.now_ms() - dark_at) / 1000)
        new.return_from_dark()
        third.deaf = False
        sim.rec.say("member %s receives again" % third.id)
    await asyncio.sleep(4.0 if S.trouble() else LENGTH_S - CUT_AT_S)
    stopped = True
    final = group.leader().log
    kept = sorted((acked[q], e.position(), q) for _, e in commits
                  for q in e.ids if q in acked and e.number <= len(final)
                  and final[e.number - 1] is e)
    times = [k[0] for k in kept]
    newest = []
    for k in kept:
        newest.append(max(newest[-1] if newest else (0, 0), k[1]))
    broken = []
    # Commits that a promotion rolled back don't count: only kept ones do.
    for q, at in reads.items():
        m, pos = position[q]
        i = bisect.bisect_left(times, at) - 1
        if i >= 0 and pos < newest[i]:
            broken.append(
                "STALE: read %s ran at %s, whose log stood at %d.%d and "
                "lacked %d.%d, acknowledged before the read was sent" % (
                    (q, m.id) + pos + newest[i]))
    sim.rec.say("%d reads lacked an acknowledged commit" % len(broken))
    lost = 0
    for at, e in commits:
        for effect, m, term, log in group.promotions:
            if term > e.term and at > effect and \
                    any(q in acked for q in e.ids):
                lost += 1
                broken.append(
                    "ONE: write %s was committed at the old primary %s as "
                    "%d.%d, %.0f ms after %s was promoted to term %d, and "
                    "acknowledged" % (e.ids[-1], e.member.id, e.term, e.number,
                                      at - effect, m.id, term))
                break
    sim.rec.say("%d writes were acknowledged by an old primary" % lost)
    sim.rec.say("%d writes acknowledged, %d reads answered, %d promotions" % (
        len(acked), len(reads), len(group.promotions)))
    if len(acked) < 50 or len(reads) < 50:
        raise RuntimeError("too little traffic")
    return broken


if __name__ == "__main__":
    S.main(sys.modules[__name__])
