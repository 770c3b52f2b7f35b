"""The processes get SIGTERM in turn (a rolling restart) while clients are in
transactions of 12 statements with pauses. Nothing else happens."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin"))
import sim as S  # noqa: E402

ZONES = ["pasig", "caloocan", "makati", "antipolo"]
GRACE_S = 6
BOUNDS = {"grace_s": GRACE_S}
LOSS_SLACK_MS = 200
TERM_AT_S = 5.0
GAP_S = 2.0           # between two processes
RESTART_AFTER_S = 0.5
LENGTH_S = 24.0
SESSIONS_EACH = 6     # of each process at first
STATEMENTS = 12       # of a transaction, with its BEGIN and COMMIT
PAUSE_S = 0.3         # between two statements


def prepare(case):
    return S.Sim(case, 5, ZONES, BOUNDS)


async def play(sim):
    group = S.Group(sim.rec, "ledger7", sim.member_hosts(3),
                    sim.member_port, ZONES, slots=3, max_conns=21,
                    promote_ms=1000, read_ms=150)
    await sim.start(group, [
        {"name": "r1", "host": "trace9", "route_type": "bounded_staleness",
         "max_staleness_ms": 2500, "service": "ledger7", "timeout_ms": 2000,
         "priority": 1, "target_latency_ms": 400}])
    calls = []  # (sent, ended, text, outcome, qid, node)
    term_at = {}
    stopped = False

    async def ask(client, text):
        sent = S.now_ms()
        qid, outcome, _, state = await client.query(text)
        calls.append((sent, S.now_ms(), text, outcome, qid, client.node))
        return outcome, state

    async def session(who, target, start_s):
        client = S.Client(sim, who)
        await asyncio.sleep(start_s)
        while not stopped:
            try:
                if client.writer is None or client.reader.at_eof():
                    client.close()
                    if target in term_at:
                        target = random.choice(
                            [n for n in sim.nodes if await sim.is_ready(n)])
                    await client.connect(target, "trace9")
                texts = ["BEGIN READ"] + ["READ k%d" % random.randrange(50)
                                          for _ in range(STATEMENTS - 2)]
                for text in texts + ["COMMIT"]:
                    outcome, state = await ask(client, text)
                    if outcome != "ok":
                        break
                    await asyncio.sleep(PAUSE_S)
                if outcome in ("closed", "no answer"):
                    client.close()
                elif state == "E":
                    outcome, state = await ask(client, "ROLLBACK")
            except (ConnectionError, OSError, asyncio.TimeoutError):
                client.close()
            await asyncio.sleep(random.uniform(0.02, 0.1))
        client.close()

    async def restart(node):
        term_at[node] = S.now_ms()
        node.signal(signal.SIGTERM)
        while node.process.poll() is None:
            await asyncio.sleep(0.01)
        sim.rec.say("process %s ended with %d, %.0f ms after SIGTERM" % (
            node.name, node.process.returncode, S.now_ms() - term_at[node]))
        await asyncio.sleep(RESTART_AFTER_S)
        node.start()

    for node in sim.nodes:
        for i in range(SESSIONS_EACH):
            sim.spawn(session("t%d" % i, node, random.uniform(0, 4)))
    await asyncio.sleep(TERM_AT_S)
    if S.trouble():
        for node in sim.nodes:
            sim.spawn(restart(node))
            await asyncio.sleep(GAP_S)
    await asyncio.sleep(LENGTH_S - TERM_AT_S -
                        (GAP_S * len(sim.nodes) if S.trouble() else 0))
    stopped = True
    broken = []
    for sent, ended, text, outcome, qid, at in calls:
        if outcome not in ("closed", "no answer"):
            continue
        after = sent - term_at.get(at, sent)
        passed_on = qid in group.begun
        line = ("%s %s: sent to %s %.0f ms after its SIGTERM, %s %.0f ms "
                "later, %s" % (
                    qid, text, at.name, after, outcome, ended - sent,
                    "run by a member" if passed_on else "not passed on"))
        # Not counted: the request came no later than 3 s after SIGTERM and
        # the member was at work in the last sixth of the grace period.
        excused = after <= 3000 and after + ended - sent >= GRACE_S * 5000 / 6
        if (passed_on or ended - sent > LOSS_SLACK_MS) and not excused:
            broken.append("LOST: " + line)
        else:
            sim.rec.say("not counted: " + line)
    sim.rec.say("%d requests answered, %d broken off" % (
        sum(c[3] not in ("closed", "no answer") for c in calls), len(broken)))
    if len(calls) < 50:
        raise RuntimeError("too few requests")
    return broken


if __name__ == "__main__":
    S.main(sys.modules[__name__])
