"""A member refuses part of its requests while sessions change their settings
and use prepared statements inside transactions."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "testbed"))
from testbed import Client, run_case  # noqa: E402

REFUSED_PART = 0.4  # largest share that the pages name is 0.45
REFUSED_S = 6.5
RUN_S = 20
SESSIONS = 10
ATTEMPTS = 3


async def transaction(client, value):
    """One attempt. Returns true if it committed."""
    statements = ["BEGIN", "READ k1", "SET region " + value, "READ k2",
                  "EXECUTE s1 k3", "WRITE k4 " + value, "COMMIT"]
    for text in statements:
        error, _, state = await client.query(text)
        if error is not None:
            if state != "I":
                await client.query("ROLLBACK")
            return False
    return True


async def session(bed, end, loop):
    """A long session that runs one transaction after the other."""
    number = 0
    while loop.time() < end:
        client = Client(bed, random.choice(bed.proxies), "p-db1")
        await client.open()
        shape = "q%s" % client.name
        if (await client.query("PREPARE s1 READ " + shape))[0] is None:
            for _ in range(20):
                number += 1
                for _ in range(ATTEMPTS):
                    if await transaction(client, "%s-%d" %
                                         (client.name, number)):
                        break
                    await asyncio.sleep(0.05)
                if loop.time() >= end:
                    break
                await asyncio.sleep(random.uniform(0.01, 0.1))
        client.close()


def add_checks(bed):
    def on_run(member, connection, query_id, verb, shape):
        want = bed.sent.get(query_id)
        if want is None:
            bed.record.violation("UNASKED", "id=%s" % query_id)
            return
        if connection.settings != want["settings"]:
            bed.record.violation(
                "PINNED", "id=%s %r ran at %s with settings %s, acknowledged "
                "were %s" % (query_id, want["text"], member.id,
                             connection.settings, want["settings"]))
        if shape != want["shape"]:
            bed.record.violation("PINNED", "id=%s ran shape %s for %s" %
                                 (query_id, shape, want["shape"]))

    def on_answer(client, query_id, text, error, rows):
        if error is not None and error.startswith("NOSTMT"):
            bed.record.violation(
                "PINNED", "id=%s %r: %s, though PREPARE was acknowledged" %
                (query_id, text, error))

    bed.checks.append(on_run)
    bed.answer_checks.append(on_answer)


async def body(bed):
    await bed.start()
    add_checks(bed)
    loop = asyncio.get_running_loop()
    primary = bed.groups[0].primary

    async def disrupt():
        await asyncio.sleep(2)
        if bed.trouble:
            bed.record.line("disruption: %s refuses %g of its requests" %
                            (primary.id, REFUSED_PART))
            primary.refuse_part = REFUSED_PART
            await asyncio.sleep(REFUSED_S)
            primary.refuse_part = 0.0
            bed.record.line("disruption ends")

    end = loop.time() + RUN_S
    await asyncio.gather(disrupt(), *(session(bed, end, loop)
                                      for _ in range(SESSIONS)))


run_case(os.path.dirname(os.path.abspath(__file__)), body)
