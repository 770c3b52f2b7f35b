"""Stand-ins for the platform's store, the promotion API, the members of one
database service and its clients, and the control of real galenastep-platform
processes on loopback. The protocols follow PROTOCOL.md of the users' pages."""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))


def now_ms():
    return time.monotonic() * 1000.0


class Record:
    """Writes record.txt: one line for each thing sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now_ms()

    def line(self, text):
        self.file.write("%9.1f %s\n" % (now_ms() - self.start, text))

    def say(self, text):
        self.line(text)
        print("%9.1f %s" % (now_ms() - self.start, text), flush=True)

    def close(self):
        self.file.flush()
        self.file.close()


class Store:
    """The platform's metadata store: rows, conditional transactions, feeds."""

    TX_MS = 8
    READ_MS = 4

    def __init__(self, rec):
        self.rec = rec
        self.rows = {}
        self.version = 0
        self.history = []
        self.changed = asyncio.Event()
        self.silent = False   # an outage: calls get no answer
        self.calls = []       # (time, target) of the last feed calls

    def put(self, table, key, value):
        self.version += 1
        name = (table, "", key)
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, self.version)
        self.history.append((self.version, name, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def put_text(self, table, key, text):
        self.put(table, key, base64.b64encode(text.encode()).decode())

    def row(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2],
                "value": value, "row_version": version}

    async def handle(self, method, target, headers, body):
        """A call during an outage is never answered, nor is one whose answer
        would come during it; its connection delivers nothing further."""
        if "rows-feed" in target:
            self.calls = self.calls[-200:] + [(now_ms(), target)]
        if not self.silent:
            answer = await self.answer(method, target, headers, body)
            if not self.silent:
                return answer
        await asyncio.Event().wait()

    async def answer(self, method, target, headers, body):
        url = urlsplit(target)
        q = {k: v[0] for k, v in
             parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/galenastep/rows-get":
            await asyncio.sleep(self.READ_MS / 1000)
            names = sorted(n for n in self.rows
                           if n[0] == q["table"] and n[1] == q.get("part", "")
                           and n[2] >= q.get("from", "")
                           and ("target" not in q or n[2] < q["target"]))
            limit = min(int(q.get("limit", 500)), 500)
            return 200, {"rows": [self.row(n) for n in names[:limit]],
                         "has_more": len(names) > limit,
                         "row_version": self.version, "now_ms": int(now_ms())}
        if url.path == "/galenastep/rows-feed":
            return await self.feed(q)
        if url.path == "/galenastep/rows-tx":
            await asyncio.sleep(self.TX_MS / 1000)
            return self.transaction(json.loads(body))
        return 404, {}

    async def feed(self, q):
        await asyncio.sleep(self.READ_MS / 1000)
        after = int(q["after"])
        end = now_ms() + min(int(q["wait_ms"]), 30000)
        while True:
            seen = {}
            for version, name, value in self.history:
                if version > after and name[0] == q["table"]:
                    seen[name] = (version, value)
            if seen or now_ms() >= end:
                rows = []
                for name, (version, value) in sorted(
                        seen.items(), key=lambda i: i[1][0]):
                    r = {"table": name[0], "part": name[1], "key": name[2],
                         "row_version": version}
                    if value is None:
                        r["deleted"] = True
                    else:
                        r["value"] = value
                    rows.append(r)
                return 200, {"rows": rows, "row_version": self.version,
                             "now_ms": int(now_ms())}
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       max(end - now_ms(), 1) / 1000)
            except asyncio.TimeoutError:
                pass

    def transaction(self, tx):
        checks = tx.get("expected_rev", [])
        for c in checks:
            name = (c["table"], c["part"], c["key"])
            have = self.rows[name][1] if name in self.rows else 0
            if have != c["row_version"]:
                rows = []
                for k in checks:
                    n = (k["table"], k["part"], k["key"])
                    if n in self.rows:
                        rows.append(self.row(n))
                return 412, {"rows": rows, "row_version": self.version,
                             "now_ms": int(now_ms())}
        for w in tx.get("writes", []) + tx.get("deletes", []):
            if w["table"] in ("op", "servers"):
                return 403, {}
        for w in tx.get("writes", []):
            self.put(w["table"], w["key"], w["value"])
            if w["key"] == "view":
                view = base64.b64decode(w["value"]).decode()
                self.rec.line("store view written: " +
                              view.strip().replace("\n", " | "))
        for w in tx.get("deletes", []):
            self.put(w["table"], w["key"], None)
        return 200, {"row_version": self.version, "now_ms": int(now_ms())}


async def serve_http(host, port, handle):
    """Serves HTTP/1.1 with keep-alive; handle returns a status and a JSON
    value."""

    async def on_client(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        k, v = line.split(":", 1)
                        headers[k.strip().lower()] = v.strip()
                n = int(headers.get("content-length", 0))
                body = await reader.readexactly(n) if n else b""
                status, value = await handle(method, target, headers, body)
                text = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_client, host, port, limit=1 << 23,
                                      backlog=256)


class Commit:
    """One entry of a log."""

    def __init__(self, term, number, items, ids, member):
        self.term = term
        self.number = number
        self.items = items
        self.ids = ids        # of the statements
        self.member = member  # that committed it
        self.at = now_ms()

    def position(self):
        return (self.term, self.number)


class Member:
    """One member of the service."""

    QUEUE_MAX = 16
    HANDSHAKE_MS = 12

    def __init__(self, group, member_id, host, port, zone, role):
        self.group = group
        self.id = member_id
        self.host = host
        self.port = port
        self.zone = zone
        self.role = role
        self.term = 1
        self.log = []
        self.state = "ready"
        self.deaf = False
        self.lag_x = 1        # how many times as late it receives
        self.up = asyncio.Event()
        self.up.set()
        self.crashed = False
        self.busy_slots = 0
        self.waiting = []
        self.connections = 0
        self.writers = set()
        self.reaches_new_primary_since = None
        self.seq = 0
        self.listed = True
        self.hidden = False   # not started yet: writes no entry
        self.leads_at = None

    def position(self):
        return self.log[-1].position() if self.log else (self.term, 0)

    def position_text(self):
        return "%d.%d" % self.position()

    async def take_slot(self):
        """Waits for a slot; returns False if the queue is full."""
        if self.busy_slots < self.group.slots:
            self.busy_slots += 1
            return True
        if len(self.waiting) >= self.QUEUE_MAX:
            return False
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self.waiting:
                self.waiting.remove(turn)
            elif turn.done():
                self.free_slot()
            raise
        return True

    def free_slot(self):
        while self.waiting:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self.busy_slots -= 1

    def go_dark(self):
        self.up.clear()
        self.group.rec.say("member %s goes dark" % self.id)

    def return_from_dark(self):
        self.up.set()
        self.group.rec.say("member %s answers again as %s" %
                           (self.id, self.role))

    def crash(self):
        """The process ends: connections are reset, new ones refused."""
        self.crashed = True
        self.up.clear()
        for w in list(self.writers):
            w.transport.abort()
        self.server.close()
        self.group.rec.say("member %s (%s) crashes, log %s" %
                           (self.id, self.role, self.position_text()))

    async def listen(self):
        self.server = await asyncio.start_server(self.on_client, self.host,
                                                 self.port, limit=1 << 21,
                                                 backlog=256)

    async def on_client(self, reader, writer):
        self.writers.add(writer)
        session = MemberSession(self, reader, writer)
        try:
            await session.run()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            if session.counted:
                self.connections -= 1
            writer.close()


class MemberSession:
    """A connection to a member."""

    def __init__(self, member, reader, writer):
        self.m = member
        self.reader = reader
        self.writer = writer
        self.counted = False
        self.state = "I"
        self.plain = False
        self.wrote = []
        self.ids = []
        self.prepared = {}
        self.values = {}  # of this connection, set by SET

    async def line(self):
        raw = await self.reader.readuntil(b"\r\n")
        await self.m.up.wait()
        return raw[:-2].decode()

    async def send(self, text):
        await self.m.up.wait()
        self.writer.write(text.encode())
        await self.writer.drain()

    def ready(self):
        return "READY %s %s\r\n" % (self.state, self.m.position_text())

    async def error(self, code, text="-"):
        if self.state == "T":
            self.state = "E"
        await self.send("ERROR %s %s\r\n%s" % (code, text, self.ready()))

    async def run(self):
        m = self.m
        words = (await self.line()).split(" ")
        if words[0] != "STARTUP" or words[1] != m.group.service or \
                (len(words) > 3 and words[3] != m.id):
            await self.send("ERROR WRONGNODE %s\r\n" % m.id)
            return
        if m.connections >= m.group.max_conns:
            await self.send("ERROR CONNLIMIT -\r\n")
            return
        m.connections += 1
        self.counted = True
        if not await m.take_slot():
            await self.send("ERROR BUSY -\r\n")
            return
        try:
            await asyncio.sleep(m.HANDSHAKE_MS / 1000)
        finally:
            m.free_slot()
        await self.send(self.ready())
        while True:
            line = await self.line()
            if line == "TERMINATE":
                return
            word, rest = line.split(" ", 1)
            if word != "QUERY":
                return
            qid, text = rest.split(" ", 1)
            await self.query(qid, text)

    async def query(self, qid, text):
        m = self.m
        arrived = now_ms()
        after = None
        sent_text = text
        if text.startswith("AFTER "):
            _, pos, text = text.split(" ", 2)
            after = tuple(int(x) for x in pos.split("."))
        words = text.split(" ")
        verb = words[0]
        if verb == "STATUS" or verb == "DEMOTE":
            await self.status(words)
            return
        if verb == "RESET":
            self.prepared = {}
            self.values = {}
            await self.send("COMPLETE -\r\n" + self.ready())
            return
        if verb == "SET":
            self.values[words[1]] = " ".join(words[2:])
            await self.send("COMPLETE -\r\n" + self.ready())
            return
        if verb == "PREPARE":
            self.prepared[words[1]] = words[2]
            await self.send("COMPLETE -\r\n" + self.ready())
            return
        if verb == "ROLLBACK":
            self.state = "I"
            self.wrote = []
            self.ids = []
            await self.send("COMPLETE -\r\n" + self.ready())
            return
        if self.state == "E" and verb != "COMMIT":
            await self.error("MALFORMED")
            return
        if verb == "BEGIN":
            self.plain = len(words) == 1
            if self.plain and m.role != "primary":
                await self.error("READONLY", m.id)
                return
            if after is not None and after > m.position():
                await self.error("LAGGING", m.id)
                return
            self.state = "T"
            self.wrote = []
            self.ids = []
            await self.send("COMPLETE -\r\n" + self.ready())
            return
        if verb == "COMMIT" and self.state == "E":
            self.state = "I"
            await self.error("ABORTED")
            return
        if verb == "EXECUTE":
            if words[1] not in self.prepared:
                await self.error("NOSTMT")
                return
            verb = self.prepared[words[1]]
            words = [verb] + words[2:]
        writes = verb == "WRITE"
        if not await m.take_slot():
            await self.error("BUSY")
            return
        m.group.begun.add(qid)
        m.group.values_at_run[qid] = dict(self.values)
        try:
            await asyncio.sleep(m.group.work_ms(verb) / 1000)
            await m.up.wait()
            lost_lead = m.role != "primary"
            if lost_lead and (writes or (self.state == "T" and self.plain and
                                         not (verb == "COMMIT" and
                                              not self.wrote))):
                if verb == "COMMIT":
                    self.state = "I"
                    self.wrote = []
                await self.error("READONLY", m.id)
                return
            if after is not None and after > m.position():
                await self.error("LAGGING", m.id)
                return
            entry = None
            if verb == "READ":
                m.group.reads[qid] = (arrived, m, m.position())
            elif writes and self.state == "T":
                self.wrote.append((words[1], words[2]))
                self.ids.append(qid)
            elif writes:
                entry = m.group.commit(m, [(words[1], words[2])], [qid])
            elif verb == "COMMIT":
                if self.wrote:
                    entry = m.group.commit(m, self.wrote, self.ids + [qid])
                self.state = "I"
                self.wrote = []
        finally:
            m.free_slot()
        if entry is not None and m.group.sync_replicas > 0:
            await m.group.wait_for_replica(m, entry)
        m.group.rec.line("run %s at %s: %s%s" % (
            qid, m.id, sent_text,
            " -> %d.%d" % entry.position() if entry else ""))
        rows = ""
        if verb == "READ":
            rows = "DATAROW %s\r\n" % m.group.value_at(m, words[1])
        await self.send("%sCOMPLETE %s\r\n%s" % (
            rows, m.group.signature(m, qid), self.ready()))

    async def status(self, words):
        m = self.m
        if m.busy_slots >= m.group.slots:
            m.group.rec.line("status at %s: BUSY" % m.id)
            await self.error("BUSY")
            return
        if words[0] == "DEMOTE" and m.role == "primary" and \
                m.term < int(words[1]):
            m.group.set_role(m, "replica")
        m.busy_slots += 1
        await asyncio.sleep(0.0005)
        m.free_slot()
        row = "%s %d %s %d 0 %d %d" % (
            m.role, m.term, m.position_text(), m.position()[1], m.busy_slots,
            m.connections)
        m.group.rec.line("status at %s: %s" % (m.id, row))
        await self.send("DATAROW %s\r\nCOMPLETE -\r\n%s" % (row, self.ready()))


class Group:
    """The members of one service, their replication and promotions."""

    def __init__(self, rec, service, hosts, port, zones, sync_replicas=0,
                 slots=2, max_conns=16, promote_ms=300, lag_ms=8,
                 read_ms=19, write_ms=4, read_max_ms=200):
        self.rec = rec
        self.service = service
        self.sync_replicas = sync_replicas
        self.slots = slots
        self.max_conns = max_conns
        self.promote_ms = promote_ms
        self.lag_ms = lag_ms
        self.read_ms = read_ms
        self.write_ms = write_ms
        self.read_max_ms = read_max_ms
        self.members = []
        self.received = asyncio.Event()
        self.top_term = 1
        self.orders = []      # (time, holder, fence, member, status)
        self.promotions = []  # (time, member, term, log it took over)
        self.reads = {}  # statement -> (arrival, member, position)
        self.begun = set()  # statements that a member has begun to run
        self.values_at_run = {}  # values of the connection, by statement
        for i, host in enumerate(hosts):
            self.members.append(Member(
                self, "i-%08x" % random.getrandbits(32), host, port,
                zones[i % len(zones)], "primary" if i == 0 else "replica"))

    def work_ms(self, verb):
        if verb == "READ":
            return min(random.expovariate(1 / self.read_ms) / 2 +
                       self.read_ms / 2, self.read_max_ms)
        return self.write_ms

    def signature(self, m, qid):
        return "%d.%s.%08x" % (m.term, m.id[2:6], hash(qid) & 0xffffffff)

    def value_at(self, m, item):
        for e in reversed(m.log):
            for k, v in e.items:
                if k == item:
                    return v
        return "-"

    def commit(self, m, items, ids):
        number = m.position()[1] + 1
        e = Commit(m.term, number, list(items), list(ids), m)
        m.log.append(e)
        return e

    async def wait_for_replica(self, m, entry):
        while True:
            for r in self.members:
                if r is not m and len(r.log) and entry in r.log[-400:]:
                    return
            event = self.received
            await event.wait()
            await m.up.wait()

    def set_role(self, m, role):
        if m.role != role:
            self.rec.say("member %s is now %s, term %d, log %s" %
                         (m.id, role, m.term, m.position_text()))
            m.role = role
            self.write_entry(m)

    def leader(self):
        best = None
        for m in self.members:
            if m.role == "primary" and (best is None or m.term > best.term):
                best = m
        return best

    def reachable(self, m):
        return m.up.is_set() and not m.crashed

    async def replicate(self):
        """Replicas receive the log of the newest primary that they reach;
        a primary that reaches a newer one steps down after a second."""
        while True:
            await asyncio.sleep(self.lag_ms / 1000)
            lead = self.leader()
            if lead is None or not self.reachable(lead):
                continue
            got = False
            for m in self.members:
                if m is lead or not self.reachable(m):
                    m.reaches_new_primary_since = None
                    continue
                if m.role == "primary":
                    if m.reaches_new_primary_since is None:
                        m.reaches_new_primary_since = now_ms()
                    if now_ms() - m.reaches_new_primary_since >= 1000:
                        self.set_role(m, "replica")
                    continue
                if m.deaf:
                    continue
                n = len(m.log)
                if m.term != lead.term or n > len(lead.log) or \
                        (n and lead.log[n - 1] is not m.log[n - 1]):
                    keep = 0
                    while keep < min(n, len(lead.log)) and \
                            m.log[keep] is lead.log[keep]:
                        keep += 1
                    if keep < n:
                        self.rec.say("member %s rolls back %d entries" %
                                     (m.id, n - keep))
                    m.log = m.log[:keep]
                    m.term = lead.term
                due = now_ms() - self.lag_ms * (m.lag_x - 1)
                end = len(m.log)
                while end < len(lead.log) and lead.log[end].at <= due:
                    end += 1
                if end > len(m.log):
                    m.log = m.log + lead.log[len(m.log):end]
                    got = True
            if got:
                self.received.set()
                self.received = asyncio.Event()

    def write_entry(self, m):
        m.seq += 1
        if not m.listed:
            return
        self.store.put_text("servers", m.id, json.dumps({
            "service": self.service, "addr": "%s:%d" % (m.host, m.port),
            "zone": m.zone, "version": "7", "slots": self.slots,
            "state": m.state, "cold_left_ms": 0, "db_role": m.role,
            "seq": m.seq, "born": self.born}))

    async def heartbeat(self, interval_ms=1200):
        """A silent member is removed after three intervals. An entry changes
        only when more than its seq does."""
        silent = {}
        while True:
            for m in self.members:
                if m.hidden:
                    continue
                if self.reachable(m):
                    silent[m.id] = 0
                    if not m.listed:
                        m.listed = True
                        self.write_entry(m)
                else:
                    silent[m.id] = silent.get(m.id, 0) + 1
                    if silent[m.id] == 4 and m.listed:
                        m.listed = False
                        self.store.put("servers", m.id, None)
            await asyncio.sleep(interval_ms / 1000)

    async def promotion(self, method, target, headers, body):
        """POST /promotion: the named member leads after promote_ms."""
        if (method, target) != ("POST", "/promotion"):
            return 404, {}
        b = json.loads(body)
        holder = headers.get("x-duty-holder")
        fence = int(headers.get("x-fence-token", 0))
        m = next((x for x in self.members if x.id == b["id"]), None)
        status = 200
        if m is None or m.crashed:
            status = 409
        self.orders.append((now_ms(), holder, fence, b["id"], status))
        self.rec.say("order: holder %s fence %d names %s -> %d" %
                     (holder, fence, b["id"], status))
        if status == 200 and m is not self.leader():
            asyncio.get_running_loop().create_task(self.promote(m))
        self.on_order(holder, m)
        await asyncio.sleep(0.004)
        return status, {}

    def on_order(self, holder, m):
        pass

    async def promote(self, m):
        await asyncio.sleep(self.promote_ms / 1000)
        if m.crashed or m is self.leader():
            return
        self.top_term += 1
        m.term = self.top_term
        m.leads_at = now_ms()
        self.promotions.append((m.leads_at, m, m.term, list(m.log)))
        self.rec.say("promotion of %s takes effect, term %d, log %s" %
                     (m.id, m.term, m.position_text()))
        self.set_role(m, "primary")

    async def start(self, store):
        self.store = store
        self.born = int(time.time() * 1000)
        for m in self.members:
            await m.listen()
            if not m.hidden:
                self.write_entry(m)
        loop = asyncio.get_running_loop()
        return [loop.create_task(self.replicate()),
                loop.create_task(self.heartbeat())]


class Node:
    """One galenastep-platform process."""

    def __init__(self, sim, index, name, host, zone):
        self.sim = sim
        self.index = index
        self.name = name
        self.host = host
        self.zone = zone
        self.process = None
        self.started = []
        self.log = open(os.path.join(sim.folder, name + ".log"), "ab")

    def start(self):
        env = {"PATH": os.environ.get("PATH", ""),
               "HOME": os.environ.get("HOME", "/"), "LANG": "C.UTF-8",
               "GALENASTEP_SETTINGS": self.settings}
        self.process = subprocess.Popen(
            self.sim.command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=subprocess.STDOUT)
        self.started.append(self.process)
        self.sim.rec.say("process %s started" % self.name)

    def signal(self, number):
        self.sim.rec.say("process %s gets %s" %
                         (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def stop(self):
        for p in self.started:
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
                p.wait()


def render(template, fields):
    """Fills in the placeholders {{a.b}} of the settings template. One without
    a value renders as nothing, and so does a section {{#a.b}}...{{/a.b}}
    without one."""

    def find(path):
        v = fields
        for part in path.split("."):
            if isinstance(v, list):
                v = v[int(part)] if int(part) < len(v) else None
            else:
                v = v.get(part)
            if v is None:
                return None
        return v

    def value(match):
        v = find(match.group(1))
        return "" if v is None else str(v)

    template = re.sub(r"\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/\1\}\}",
                      lambda m: "" if find(m.group(1)) is None else m.group(2),
                      template, flags=re.S)
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, template)


def free_ports(host, n):
    socks = []
    for _ in range(n):
        s = socket.socket()
        s.bind((host, 0))
        socks.append(s)
    ports = [s.getsockname()[1] for s in socks]
    for s in socks:
        s.close()
    return ports


class Client:
    """A client's session: one connection, one request at a time."""

    def __init__(self, sim, who):
        self.sim = sim
        self.who = who
        self.reader = None
        self.writer = None
        self.node = None
        self.n = 0

    async def connect(self, node, database):
        self.node = node
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(node.host, self.sim.front_port,
                                    limit=1 << 21), 2)
        self.writer.write(("STARTUP %s %s\r\n" % (database, self.who))
                          .encode())
        line = await asyncio.wait_for(self.reader.readline(), 2)
        if not line.startswith(b"READY"):
            raise ConnectionError(line.decode().strip())

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    async def query(self, text, timeout_s=6.0):
        """Returns (qid, outcome, rows, state). The outcome is "ok", a code,
        "closed" or "no answer"."""
        self.n += 1
        qid = "%016x" % random.getrandbits(64)
        rec = self.sim.rec
        rec.line("sent %s by %s to %s: %s" % (qid, self.who, self.node.name,
                                              text))
        rows = []
        outcome = None
        try:
            self.writer.write(("QUERY %s %s\r\n" % (qid, text)).encode())
            while True:
                raw = await asyncio.wait_for(self.reader.readline(),
                                             timeout_s)
                if not raw.endswith(b"\r\n"):
                    rec.line("answer %s: connection closed" % qid)
                    return qid, "closed", rows, None
                line = raw[:-2].decode()
                if line.startswith("DATAROW "):
                    rows.append(line[8:])
                elif line.startswith("COMPLETE "):
                    outcome = "ok"
                elif line.startswith("ERROR "):
                    outcome = line.split(" ")[1]
                    detail = line
                elif line.startswith("READY "):
                    state = line.split(" ")[1]
                    rec.line("answer %s: %s %s" % (
                        qid, outcome if outcome == "ok" else detail, line))
                    return qid, outcome, rows, state
        except asyncio.TimeoutError:
            rec.line("answer %s: none in %.0f s" % (qid, timeout_s))
            return qid, "no answer", rows, None
        except (ConnectionError, OSError) as e:
            rec.line("answer %s: connection closed (%s)" % (qid, e))
            return qid, "closed", rows, None


class Sim:
    """A deployment: store, promotion API, members, processes."""

    def __init__(self, case, nodes, zones, bounds):
        self.case = case
        self.rec = Record(os.path.join(case, "record.txt"))
        self.temp = tempfile.TemporaryDirectory(prefix="galenastep-review-")
        self.folder = self.temp.name
        self.net = "127.%d.%d" % (20 + os.getpid() % 200,
                                  random.randrange(1, 250))
        self.tasks = []
        self.servers = []
        self.zones = zones
        self.bounds = bounds
        ports = free_ports(self.net + ".1", 7)
        (self.store_port, self.cloud_port, self.member_port, self.front_port,
         self.ready_port, self.peer_port, self.metrics_port) = ports
        with open(os.path.join(ROOT, "deploy", "system.toml"),
                  encoding="utf-8") as f:
            deploy = f.read()
        run = re.search(r'^run = "(.*)"$', deploy, re.M).group(1)
        template = re.search(r'^template = "(.*)"$', deploy, re.M).group(1)
        self.command = run.split(" ")
        with open(os.path.join(ROOT, template), encoding="utf-8") as f:
            self.template = f.read()
        self.nodes = [Node(self, i, "front-%s-%d" % (zones[i % len(zones)], i),
                           "%s.%d" % (self.net, 101 + i),
                           zones[i % len(zones)]) for i in range(nodes)]
        self.store = None
        self.group = None

    def write_settings(self, node):
        fields = {
            "node_name": node.name, "role": "proxy",
            "machine_class": "front", "ip": node.host, "zone": node.zone,
            "port_range": [self.peer_port, self.metrics_port],
            "listen": {"front": "%s:%d" % (node.host, self.front_port),
                       "ready": "%s:%d" % (node.host, self.ready_port)},
            "bounds": self.bounds,
            "platform": {"addr": "%s.1:%d" % (self.net, self.store_port)},
            "cloud_api": {"addr": "%s.1:%d" % (self.net, self.cloud_port)},
        }
        node.settings = os.path.join(self.folder, node.name + ".ini")
        with open(node.settings, "w", encoding="utf-8") as f:
            f.write(render(self.template, fields))

    def write_config(self, version, routes, limits=None):
        self.store.put_text("op", "config", json.dumps({
            "version": version,
            "routes": routes,
            "services": [{"name": self.group.service,
                          "max_conns": self.group.max_conns,
                          "sync_replicas": self.group.sync_replicas}],
            "limits": limits or {"tx_idle_ms": 3000}}))

    def member_hosts(self, n):
        return ["%s.%d" % (self.net, 11 + i) for i in range(n)]

    async def start(self, group, routes):
        self.group = group
        self.store = Store(self.rec)
        self.servers.append(await serve_http(
            self.net + ".1", self.store_port, self.store.handle))
        self.servers.append(await serve_http(
            self.net + ".1", self.cloud_port, group.promotion))
        self.tasks += await group.start(self.store)
        self.write_config(7, routes)
        for node in self.nodes:
            self.write_settings(node)
            node.start()
        await self.wait_ready()

    async def wait_ready(self, timeout_s=15):
        end = now_ms() + timeout_s * 1000
        for node in self.nodes:
            while not await self.is_ready(node):
                if now_ms() > end:
                    raise RuntimeError("%s is not ready" % node.name)
                await asyncio.sleep(0.2)
        self.rec.say("all processes are ready")

    async def is_ready(self, node):
        try:
            reader, writer = await asyncio.open_connection(node.host,
                                                           self.ready_port)
            writer.write(b"GET /galenastep/readiness HTTP/1.1\r\n"
                         b"Host: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def node_named(self, name):
        return next(n for n in self.nodes if n.name == name)

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    def end(self):
        for t in self.tasks:
            t.cancel()
        for n in self.nodes:
            n.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for n in self.nodes:
                subprocess.run(["cp", os.path.join(self.folder,
                                                   n.name + ".log"), keep],
                               check=False)
        self.rec.close()
        self.temp.cleanup()


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(scenario):
    """Runs a scenario, which returns the list of violations, and exits with 1
    if there are any, 0 if there are none, 2 if it could not run."""
    case = os.path.dirname(os.path.abspath(sys.argv[0]))
    sim = None
    code = 2

    async def run():
        nonlocal sim, code
        try:
            sim = scenario.prepare(case)
            broken = await asyncio.wait_for(scenario.play(sim), 110)
            for line in broken[:20]:
                sim.rec.say("VIOLATION " + line)
            sim.rec.say("%d violations" % len(broken))
            code = 1 if broken else 0
        except Exception as e:  # the case could not run
            (sim.rec.say if sim else print)("could not run: %r" % e)
            code = 2
        finally:
            if sim is not None:
                sim.end()
        sys.stdout.flush()
        os._exit(code)

    asyncio.run(run())
