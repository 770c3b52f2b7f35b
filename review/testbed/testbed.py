"""Stand-ins for the platform, the database members and the clients, and the
start of galenastep-platform processes, for the scripts of this review.

Everything runs in one event loop on loopback addresses. Times are those of the
real clock. The stand-ins follow PROTOCOL.md; a comment says where a case may
make one fail, and which sentence of the pages allows it.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

REPOSITORY = os.path.abspath(
    os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(REPOSITORY, "target/platform/galenastep-platform")
CLIENT_SILENCE_S = 20  # a client gives up an answer after this time
HEARTBEAT_S = 1.2
LAG_S = 0.008  # a replica applies a commit so long after it received it
PROMOTE_S = 0.3
START = time.monotonic()


class CannotRun(Exception):
    """The case could not run; the script exits with 2."""


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Writes record.txt: one line for each thing sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="ascii")
        self.broken = []

    def line(self, text):
        self.file.write("%9.4f %s\n" % (now(), text))

    def violation(self, rule, text):
        self.broken.append((rule, text))
        self.line("BROKEN %s: %s" % (rule, text))

    def close(self):
        self.file.close()


def free_ports(hosts, count):
    """Returns ports that are free for TCP and UDP on all of the hosts."""
    found = []
    for _ in range(2000):
        port = random.randrange(20000, 32000)
        if port in found:
            continue
        taken = []
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    s = socket.socket(socket.AF_INET, kind)
                    taken.append(s)
                    s.bind((host, port))
            found.append(port)
        except OSError:
            pass
        finally:
            for s in taken:
                s.close()
        if len(found) == count:
            return found
    raise CannotRun("no free ports")


class Store:
    """The platform's store. Each proxy gets a listener of its own, so that the
    store can treat machines differently: mode[name] is "ok", "busy" (503),
    "reset" or "silent"."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.deleted = {}
        self.version = 0
        self.changed = asyncio.Condition()
        self.mode = {}
        self.on_promotion = None
        self.servers = []

    async def listen(self, name, host, port):
        self.mode[name] = "ok"

        async def serve(reader, writer):
            await self.serve(name, reader, writer)

        self.servers.append(await asyncio.start_server(serve, host, port))

    async def put(self, table, key, text):
        """A write by the operator or a member; text None deletes the row."""
        async with self.changed:
            self._apply(table, key,
                        None if text is None else base64.b64encode(
                            text.encode()).decode(), self.version + 1)
            self.version += 1
            self.changed.notify_all()

    def _apply(self, table, key, value, version):
        k = (table, key)
        if value is None:
            if k in self.rows:
                del self.rows[k]
                self.deleted[k] = version
            return
        self.deleted.pop(k, None)
        self.rows[k] = (value, version)

    def _row(self, k):
        value, version = self.rows[k]
        return {"table": k[0], "part": "", "key": k[1], "value": value,
                "row_version": version}

    async def serve(self, name, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for item in lines[1:]:
                    if ":" in item:
                        a, b = item.split(":", 1)
                        headers[a.strip().lower()] = b.strip()
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                mode = self.mode[name]
                if mode == "silent":
                    await asyncio.sleep(3600)
                if mode == "reset":
                    writer.transport.abort()
                    return
                if mode == "busy":
                    status, answer = 503, {}
                else:
                    status, answer = await self.call(method, target, headers,
                                                     body)
                text = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, headers, body):
        url = urlsplit(target)
        query = {a: b[0] for a, b in
                 parse_qs(url.query, keep_blank_values=True).items()}
        await asyncio.sleep(0.004)
        if url.path == "/promotion":
            return self.on_promotion(json.loads(body), headers)
        if url.path == "/galenastep/rows-get":
            return 200, self.get(query)
        if url.path == "/galenastep/rows-feed":
            return await self.feed(query)
        if url.path == "/galenastep/rows-tx":
            return await self.transaction(json.loads(body))
        return 404, {}

    def _about(self, answer):
        answer["row_version"] = self.version
        answer["now_ms"] = int(now() * 1000)
        return answer

    def get(self, query):
        keys = sorted(k for k in self.rows
                      if k[0] == query["table"] and k[1] >= query.get("from", "")
                      and ("target" not in query or k[1] < query["target"]))
        return self._about({"rows": [self._row(k) for k in keys[:500]],
                            "has_more": len(keys) > 500})

    def _changes(self, table, after):
        found = [self._row(k) for k, v in self.rows.items()
                 if k[0] == table and v[1] > after]
        found += [{"table": table, "part": "", "key": k[1], "deleted": True,
                   "row_version": v} for k, v in self.deleted.items()
                  if k[0] == table and v > after]
        return sorted(found, key=lambda r: r["row_version"])

    async def feed(self, query):
        end = now() + min(int(query["wait_ms"]), 30000) / 1000
        after = int(query["after"])
        async with self.changed:
            while True:
                rows = self._changes(query["table"], after)
                left = end - now()
                if rows or left <= 0:
                    return 200, self._about({"rows": rows})
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transaction(self, body):
        await asyncio.sleep(0.008)
        async with self.changed:
            conditions = body.get("expected_rev", [])
            for r in conditions:
                k = (r["table"], r["key"])
                if self.rows.get(k, ("", 0))[1] != r["row_version"]:
                    rows = [self._row((c["table"], c["key"]))
                            for c in conditions
                            if (c["table"], c["key"]) in self.rows]
                    return 412, self._about({"rows": rows})
            for r in body.get("writes", []) + body.get("deletes", []):
                if r["table"] in ("op", "servers"):
                    return 403, {}
            self.version += 1
            for r in body.get("writes", []):
                self._apply(r["table"], r["key"], r["value"], self.version)
            for r in body.get("deletes", []):
                self._apply(r["table"], r["key"], None, self.version)
            self.changed.notify_all()
            return 200, self._about({})


class Connection:
    """State of one connection to a member."""

    count = 0

    def __init__(self, writer):
        Connection.count += 1
        self.number = Connection.count
        self.writer = writer
        self.settings = {}
        self.prepared = {}
        self.clear()

    def clear(self):
        self.state = "I"
        self.read_only = False
        self.writes = []
        self.client = None  # id of the first statement of the transaction


class Member:
    """One member of a database group."""

    count = 0

    def __init__(self, group, zone, host, port):
        Member.count += 1
        self.id = "i-m%d" % Member.count
        self.group = group
        self.zone = zone
        self.host = host
        self.port = port
        self.role = "replica"
        self.term = 1
        self.log = []  # of (term, number, item, data)
        self.applied = 0
        self.data = {}
        self.seq = 0
        self.slots = asyncio.Semaphore(2)
        self.connections = set()
        self.work_s = 0.004
        self.refuse_part = 0.0  # share of requests answered with BUSY, unrun
        self.refuse_verbs = None  # None: all
        self.down = False
        self.deaf = False  # receives nothing from the primary
        self.born = 1700000000000
        self.server = None
        self.beat = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host,
                                                 self.port)
        self.beat = asyncio.ensure_future(self.report())

    async def crash(self):
        """Ends for good. The platform removes the entry after three missed
        heartbeats."""
        self.group.bed.record.line("member %s crashes for good" % self.id)
        self.beat.cancel()
        self.server.close()
        for c in list(self.connections):
            c.writer.transport.abort()
        self.role = "gone"
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.group.bed.store.put("servers", self.id, None)

    async def stop(self):
        """Goes dark."""
        self.group.bed.record.line("member %s goes dark" % self.id)
        self.down = True
        self.beat.cancel()
        self.server.close()
        for c in list(self.connections):
            c.writer.transport.abort()

    async def start_again(self, empty):
        """Comes back with its log, or empty under the same id. Is a replica if
        another member was promoted meanwhile."""
        self.group.bed.record.line("member %s starts again%s" %
                                   (self.id, ", empty" if empty else ""))
        if empty:
            self.log, self.applied, self.data = [], 0, {}
            self.term, self.seq = 0, 0
            self.born += 100000
            self.role = "replica"
        if self is not self.group.primary:
            self.role = "replica"
        self.down = False
        self.group.replicate(self.group.primary)
        await self.start()

    async def report(self):
        """Writes the heartbeat."""
        while True:
            await self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def write_entry(self):
        self.seq += 1
        await self.group.bed.store.put("servers", self.id, json.dumps({
            "service": self.group.name,
            "addr": "%s:%d" % (self.host, self.port), "zone": self.zone,
            "version": "v1", "slots": 2, "state": "ready", "cold_left_ms": 0,
            "db_role": self.role, "seq": self.seq, "born": self.born}))

    def position(self):
        """The position that the member has applied."""
        if self.applied == 0:
            return "1.0"
        return "%d.%d" % self.log[self.applied - 1][:2]

    def received(self):
        if not self.log and self.term == 0:
            return "-"
        return "%d.%d" % (self.log[-1][:2] if self.log else (1, 0))

    def apply_to(self, count):
        for entry in self.log[self.applied:count]:
            self.data[entry[2]] = entry[3]
        self.applied = max(self.applied, count)

    def commit(self, writes):
        """Appends one entry for each write of a commit, all with one number."""
        number = (self.log[-1][1] if self.log else 0) + 1
        for item, data in writes:
            self.log.append((self.term, number, item, data))
        self.apply_to(len(self.log))
        self.group.replicate(self)

    async def serve(self, reader, writer):
        c = Connection(writer)
        self.connections.add(c)
        try:
            line = (await reader.readuntil(b"\r\n"))[:-2].decode()
            words = line.split(" ")
            if (words[0] != "STARTUP" or words[1] != self.group.name or
                    (len(words) > 3 and words[3] != self.id)):
                writer.write(b"ERROR WRONGNODE %s\r\n" % self.id.encode())
                return
            if len(self.connections) > 16:
                writer.write(b"ERROR CONNLIMIT %s\r\n" % self.id.encode())
                return
            async with self.slots:
                await asyncio.sleep(0.012)
            writer.write(b"READY I %s\r\n" % self.position().encode())
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                if line == "TERMINATE":
                    return
                _, query_id, text = line.split(" ", 2)
                await self.query(c, query_id, text)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.connections.discard(c)
            writer.close()

    def answer(self, c, query_id, text, rows=None, error=None, signature="-"):
        out = "".join("DATAROW %s\r\n" % r for r in rows or [])
        out += "ERROR %s\r\n" % error if error else "COMPLETE %s\r\n" % signature
        out += "READY %s %s\r\n" % (c.state, self.position())
        self.group.bed.record.line(
            "member %s connection=%d id=%s text=%r settings=%s answer=%r" %
            (self.id, c.number, query_id, text,
             json.dumps(c.settings, sort_keys=True), out))
        c.writer.write(out.encode())

    def lacks(self, words):
        """Returns true if the log lacks the position of an AFTER prefix."""
        term, number = (int(x) for x in words[1].split("."))
        have = tuple(int(x) for x in self.position().split("."))
        return have < (term, number)

    async def query(self, c, query_id, text):
        words = text.split(" ")
        lagging = False
        if words[0] == "AFTER":
            lagging = self.lacks(words)
            words = words[2:]
        verb = words[0]
        if (verb not in ("STATUS", "DEMOTE", "ROLLBACK", "RESET") and
                (self.refuse_verbs is None or verb in self.refuse_verbs) and
                random.random() < self.refuse_part):
            # A member that fails part of its requests (srv_grey, "busy").
            self.answer(c, query_id, text, error="BUSY " + self.id)
            return
        if verb in ("STATUS", "DEMOTE"):
            if (verb == "DEMOTE" and self.role == "primary" and
                    int(words[1]) > self.term):
                self.role = "replica"
            self.answer(c, query_id, text, rows=[
                "%s %d %s 0 8 0 %d" % (self.role, self.term, self.received(),
                                       len(self.connections))])
            return
        if verb == "RESET":
            c.settings, c.prepared = {}, {}
            self.answer(c, query_id, text)
            return
        if verb == "ROLLBACK":
            c.clear()
            self.answer(c, query_id, text)
            return
        if c.state == "E":
            if verb == "COMMIT":
                c.clear()
                self.answer(c, query_id, text, error="ABORTED " + self.id)
                return
            self.answer(c, query_id, text, error="MALFORMED " + self.id)
            return
        plain = c.state == "T" and not c.read_only
        if plain and self.role != "primary" and verb != "COMMIT":
            c.state = "E"
            self.answer(c, query_id, text, error="READONLY " + self.id)
            return
        if verb == "SET":
            c.settings[words[1]] = " ".join(words[2:])
            self.answer(c, query_id, text)
        elif verb == "PREPARE":
            c.prepared[words[1]] = " ".join(words[2:])
            self.answer(c, query_id, text)
        elif verb == "BEGIN":
            await self.begin(c, query_id, text, words, lagging)
        else:
            await self.run(c, query_id, text, words, lagging)

    async def begin(self, c, query_id, text, words, lagging):
        if lagging:
            self.answer(c, query_id, text, error="LAGGING " + self.id)
            return
        if len(words) == 1 and self.role != "primary":
            self.answer(c, query_id, text, error="READONLY " + self.id)
            return
        c.state = "T"
        c.read_only = len(words) > 1
        self.answer(c, query_id, text)

    async def run(self, c, query_id, text, words, lagging):
        """Runs a read, write or commit."""
        verb = words[0]
        shape = None
        if verb == "EXECUTE":
            if words[1] not in c.prepared:
                if c.state == "T":
                    c.state = "E"
                self.answer(c, query_id, text, error="NOSTMT " + self.id)
                return
            kind, shape = c.prepared[words[1]].split(" ", 1)
            args = words[2:]
        else:
            kind, args = verb, words[1:]
        if lagging:
            self.answer(c, query_id, text, error="LAGGING " + self.id)
            return
        if kind == "WRITE" and self.role != "primary":
            self.answer(c, query_id, text, error="READONLY " + self.id)
            return
        async with self.slots:
            await asyncio.sleep(self.work_s)
        self.group.bed.on_run(self, c, query_id, verb, shape)
        signature = "s%s.%d" % (query_id, len(self.log))
        rows = []
        if kind == "READ":
            rows = [self.data.get(args[0], "none")]
        elif kind == "WRITE":
            write = (args[0], args[1] if len(args) > 1 else "")
            if c.state == "T":
                c.writes.append(write)
            else:
                self.commit([write])
                await self.group.received(self, len(self.log))
        elif kind == "COMMIT":
            if c.writes:
                self.commit(c.writes)
                await self.group.received(self, len(self.log))
            c.clear()
        self.answer(c, query_id, text, rows=rows, signature=signature)


class Group:
    """One database group: three members, the first is the primary."""

    def __init__(self, bed, name, zones, addresses):
        self.bed = bed
        self.name = name
        self.members = [Member(self, z, *a) for z, a in zip(zones, addresses)]
        self.members[0].role = "primary"
        self.primary = self.members[0]

    async def start(self):
        for m in self.members:
            await m.start()

    def order(self, member_id):
        """Takes a promotion order. Returns the status of the answer."""
        for m in self.members:
            if m.id == member_id and m.role != "gone" and not m.down:
                if m is not self.primary:
                    asyncio.get_running_loop().call_later(PROMOTE_S,
                                                          self.promote, m)
                return 200
        return 409

    def promote(self, member):
        if member.role == "gone" or member.down or member is self.primary:
            return
        self.bed.on_promotion(member)
        term = 1 + max(m.term for m in self.members)
        self.bed.record.line("member %s leads in term %d" % (member.id, term))
        self.primary = member
        member.role = "primary"
        member.term = term
        member.apply_to(len(member.log))
        asyncio.ensure_future(member.write_entry())
        for m in self.members:
            if m is not member and m.role == "replica" and not m.down:
                common = min(len(m.log), len(member.log))
                if m.log[:common] != member.log[:common] or common < len(m.log):
                    m.applied, m.data = 0, {}
                m.log = list(member.log)
                m.term = term
                m.apply_to(len(m.log))

    def replicate(self, primary):
        """Sends the primary's log to the replicas, which apply it later."""
        if primary is not self.primary or primary.down:
            return
        count = len(primary.log)
        for m in self.members:
            if (m is not primary and m.role == "replica" and not m.down and
                    not m.deaf):
                m.log = list(primary.log)
                m.term = primary.term
                asyncio.get_running_loop().call_later(
                    LAG_S, m.apply_to, count)


    async def received(self, primary, count):
        """Waits until a replica has received a commit, with sync_replicas."""
        while self.bed.sync_replicas > 0:
            if any(m is not primary and not m.down and
                   m.log[:count] == primary.log[:count] for m in self.members):
                return
            await asyncio.sleep(0.005)
            self.replicate(primary)


class Client:
    """One client session on a proxy. Requests are answered one by one."""

    count = 0

    def __init__(self, bed, proxy, database):
        Client.count += 1
        self.name = "c%d" % Client.count
        self.bed = bed
        self.proxy = proxy
        self.database = database
        self.settings = {}  # acknowledged
        self.prepared = {}  # acknowledged: name -> "READ shape"
        self.reader = self.writer = None
        self.numbers = 0

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.proxy.host, self.bed.front_port)
        self.writer.write(b"STARTUP %s u1\r\n" % self.database.encode())
        line = await self.line()
        if not line.startswith("READY"):
            raise ConnectionError("startup: " + line)

    async def line(self):
        text = await asyncio.wait_for(self.reader.readuntil(b"\r\n"),
                                      CLIENT_SILENCE_S)
        return text[:-2].decode()

    def expected(self, text):
        """What the bed may compare a run of this statement with."""
        words = text.split(" ")
        shape = None
        if words[0] == "EXECUTE":
            shape = self.prepared[words[1]].split(" ", 1)[1]
        return {"client": self, "text": text, "shape": shape,
                "settings": dict(self.settings), "sent": now()}

    async def query(self, text):
        """Sends one statement. Returns (error or None, rows, state)."""
        self.numbers += 1
        query_id = "%s.%d" % (self.name, self.numbers)
        record = self.bed.record
        self.bed.sent[query_id] = self.expected(text)
        record.line("client %s proxy=%s id=%s sends %r" %
                    (self.name, self.proxy.name, query_id, text))
        self.writer.write(("QUERY %s %s\r\n" % (query_id, text)).encode())
        rows, error, signature = [], None, None
        while True:
            line = await self.line()
            word, _, rest = line.partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                signature = rest
            elif word == "ERROR":
                error = rest
            elif word == "READY":
                record.line("client %s id=%s gets rows=%r signature=%s "
                            "error=%s state=%s" %
                            (self.name, query_id, rows, signature, error, rest))
                if error is None:
                    self.acknowledged(text)
                self.bed.on_answer(self, query_id, text, error, rows)
                return error, rows, rest.split(" ")[0]

    def acknowledged(self, text):
        words = text.split(" ")
        if words[0] == "SET":
            self.settings[words[1]] = " ".join(words[2:])
        elif words[0] == "PREPARE":
            self.prepared[words[1]] = " ".join(words[2:])

    def close(self):
        if self.writer is not None:
            self.writer.write(b"TERMINATE\r\n")
            self.writer.close()


class Proxy:
    """One galenastep-platform process, started with the deploy file's command
    from the root of the repository."""

    def __init__(self, bed, name, zone, host):
        self.bed = bed
        self.name = name
        self.zone = zone
        self.host = host
        self.process = None
        self.store_port = None

    def settings(self):
        bed = self.bed
        with open(os.path.join(REPOSITORY, "platform/settings.ini.in"),
                  encoding="utf-8") as f:
            text = f.read()
        values = {
            "node_name": self.name, "zone": self.zone, "ip": self.host,
            "listen.front": "%s:%d" % (self.host, bed.front_port),
            "listen.ready": "%s:%d" % (self.host, bed.ready_port),
            "port_range.0": str(bed.peer_port),
            "port_range.1": str(bed.metrics_port),
            "platform.addr": "127.0.0.1:%d" % self.store_port,
            "cloud_api.addr": "127.0.0.1:%d" % self.store_port,
            "bounds.grace_s": "6",
        }
        start = text.find("{{#bounds.quota_window_s}}")
        end = text.find("{{/bounds.quota_window_s}}")
        text = text[:start] + text[end + len("{{/bounds.quota_window_s}}"):]
        while "{{" in text:
            a = text.index("{{")
            b = text.index("}}")
            text = text[:a] + values.get(text[a + 2:b], "") + text[b + 2:]
        return text

    def start(self):
        path = os.path.join(self.bed.folder, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as f:
            f.write(self.settings())
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
                       if k in os.environ}
        environment["GALENASTEP_SETTINGS"] = path
        log = open(os.path.join(self.bed.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM], cwd=REPOSITORY, env=environment,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.bed.record.line("proxy %s starts" % self.name)

    def signal(self, number):
        self.bed.record.line("proxy %s gets %s" %
                             (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.bed.ready_port)
            writer.write(b"GET /galenastep/readiness HTTP/1.1\r\n"
                         b"Host: x\r\n\r\n")
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1)
            writer.close()
            return b" 200 " in head.split(b"\r\n")[0]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Bed:
    """A small deployment: five proxies in four zones, three groups of three
    members, the store and the configuration."""

    ZONES = ["dar-harbour", "dar-harbour", "tanga-port", "mtwara-quay",
             "bagamoyo-shore"]

    def __init__(self, folder_of_case):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("build the deploy file first: " + PROGRAM)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="galenastep-review-")
        self.sent = {}
        self.proxies = []
        self.groups = []
        self.store = None
        self.front_port = self.ready_port = 0
        self.peer_port = self.metrics_port = 0
        self.config_version = 1
        self.sync_replicas = 0
        self.promotion_checks = []
        self.checks = []
        self.answer_checks = []

    def on_run(self, member, connection, query_id, verb, shape):
        for check in self.checks:
            check(member, connection, query_id, verb, shape)

    def on_promotion(self, member):
        for check in self.promotion_checks:
            check(member)

    def on_answer(self, client, query_id, text, error, rows):
        for check in self.answer_checks:
            check(client, query_id, text, error, rows)

    def configuration(self):
        routes = []
        for g in self.groups:
            for kind, name, target, timeout, stale in (
                    ("primary", "p", 120, 800, None),
                    ("bounded_staleness", "b", 400, 1500, 1500),
                    ("read_your_writes", "o", 200, 800, 2500)):
                route = {"name": "r-%s-%s" % (name, g.name),
                         "host": "%s-%s" % (name, g.name), "path_prefix": "/",
                         "route_type": kind, "timeout_ms": timeout,
                         "target_latency_ms": target, "priority": 1,
                         "service": g.name, "max_attempts": 2}
                if stale is not None:
                    route["max_staleness_ms"] = stale
                routes.append(route)
        return {"version": self.config_version, "routes": routes,
                "services": [{"name": g.name, "max_conns": 16,
                              "sync_replicas": self.sync_replicas}
                             for g in self.groups],
                "limits": {"tx_idle_ms": 3000}}

    def promotion(self, body, headers):
        status = 409
        for g in self.groups:
            if g.name == body["service"]:
                status = g.order(body["id"])
        self.record.line("promotion of %s by %s fence=%s: %d" %
                         (body["id"], headers.get("x-duty-holder"),
                          headers.get("x-fence-token"), status))
        return status, {}

    async def add_proxy(self, name, zone):
        """Starts a process on a machine with a new name and address."""
        p = Proxy(self, name, zone, self.hosts.pop(0))
        p.store_port = self.ports.pop()
        await self.store.listen(p.name, "127.0.0.1", p.store_port)
        self.proxies.append(p)
        p.start()
        return p

    def remove_proxy(self, p):
        """A machine is lost for good."""
        self.record.line("machine %s is lost for good" % p.name)
        p.end()
        self.proxies.remove(p)

    async def await_ready(self, limit_s):
        end = now() + limit_s
        while not all([await p.is_ready() for p in self.proxies]):
            if now() > end:
                return False
            await asyncio.sleep(0.1)
        self.record.line("all %d proxies are ready" % len(self.proxies))
        return True

    async def start(self, proxies=5, groups=3, spare=0):
        hosts = ["127.0.0.%d" % (11 + i) for i in range(proxies + spare)]
        (self.front_port, self.ready_port, self.peer_port,
         self.metrics_port) = free_ports(hosts, 4)
        ports = free_ports(["127.0.0.1"], proxies + spare + 3 * groups)
        self.store = Store(self.record)
        self.store.on_promotion = self.promotion
        for i in range(groups):
            addresses = [("127.0.0.1", ports.pop()) for _ in range(3)]
            self.groups.append(Group(self, "db%d" % (i + 1), self.ZONES[1:4],
                                     addresses))
        self.hosts = hosts
        self.ports = ports
        await self.store.put("op", "config", json.dumps(self.configuration()))
        for g in self.groups:
            await g.start()
        numbers = {}
        for zone in self.ZONES[:proxies]:
            numbers[zone] = numbers.get(zone, 0) + 1
            await self.add_proxy("front-%s-%d" % (zone, numbers[zone]), zone)
        if not await self.await_ready(15):
            raise CannotRun("the proxies are not ready after 15 s")

    def check_processes(self):
        """A process that ended by itself is a fault, except one that the case
        killed, whose process is replaced or set to None."""
        for p in self.proxies:
            if p.process is not None and p.process.poll() is not None:
                self.record.violation("Fault", "%s ended by itself with %d" %
                                      (p.name, p.process.returncode))

    def stop(self):
        for p in self.proxies:
            p.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for p in self.proxies:
                shutil.copy(os.path.join(self.folder, p.name + ".log"), keep)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, body, limit_s=110):
    """Runs the coroutine body(bed). Exits with 1 if a rule was broken, 0 if
    all held and 2 if the case could not run."""

    async def main():
        bed = None
        status = 2
        try:
            bed = Bed(folder)
            await asyncio.wait_for(body(bed), limit_s)
            bed.check_processes()
            status = 1 if bed.record.broken else 0
        except (CannotRun, OSError, asyncio.TimeoutError) as e:
            print("could not run: %s %s" % (type(e).__name__, e))
        finally:
            if bed is not None:
                bed.stop()
                for rule, text in bed.record.broken[:5]:
                    print("%s: %s" % (rule, text))
                print("%d violations, trouble=%d" %
                      (len(bed.record.broken), bed.trouble))
                bed.record.close()
        sys.stdout.flush()
        # Connections may still be open; nothing of the loop is needed.
        os._exit(status)

    asyncio.run(main())
