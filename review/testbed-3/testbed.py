"""Stand-ins for a small deployment on loopback: the platform's store, its
promotion service, one database group of three members, callers, and relays
that delay what one proxy sends. All run in one asyncio loop; the proxies are
real processes of target/platform/galenastep-platform."""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/platform/galenastep-platform")
SERVICE = "svc1"
T0 = time.monotonic()
records = []
started = []  # processes
folders = []


def now():
    return time.monotonic() - T0


def record(text):
    records.append("%8.3f %s" % (now(), text))


def free_ports(host, n, kind=socket.SOCK_STREAM):
    socks = []
    for _ in range(n):
        s = socket.socket(socket.AF_INET, kind)
        s.bind((host, 0))
        socks.append(s)
    ports = [s.getsockname()[1] for s in socks]
    for s in socks:
        s.close()
    return ports


class Store:
    """The platform's table store over HTTP/1.1 (PROTOCOL.md)."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.history = []
        self.changed = asyncio.Event()
        self.answer_s = 0.004
        self.tx_s = 0.008
        self.down = False      # answers 503
        self.rewrite = None    # (asker, key, value) -> value

    def put(self, table, key, value):
        """Writes a row (bytes) or, with None, deletes it."""
        self.version += 1
        self._set(table, key, value)
        self._notify()

    def _set(self, table, key, value):
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (value, self.version)
        self.history.append((self.version, table, key, value))

    def set_down(self, down):
        self.down = down
        record("store: %s" % ("down, answers 503" if down else "back"))
        self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, who, table, key, value, version, deleted=False):
        if self.rewrite is not None and not deleted:
            value = self.rewrite(who, key, value)
        r = {"table": table, "part": "", "key": key, "row_version": version}
        if deleted:
            r["deleted"] = True
        else:
            r["value"] = base64.b64encode(value).decode()
        return r

    def _body(self, **kw):
        kw["row_version"] = self.version
        kw["now_ms"] = int(now() * 1000)
        return kw

    def for_asker(self, who):
        async def handle(method, path, body, _fields):
            return await self.handle(method, path, body, who)
        return handle

    async def handle(self, method, path, body, who):
        if self.down:
            return 503, {}
        url = urllib.parse.urlsplit(path)
        q = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/galenastep/rows-get":
            await asyncio.sleep(self.answer_s)
            keys = sorted(k for t, k in self.rows if t == q["table"]
                          and k >= q.get("from", ""))
            rows = [self._row(who, q["table"], k, *self.rows[(q["table"], k)])
                    for k in keys]
            return 200, self._body(rows=rows, has_more=False)
        if url.path == "/galenastep/rows-feed":
            after = int(q["after"])
            end = now() + int(q["wait_ms"]) / 1000
            while True:
                last = {}
                for v, t, k, value in self.history:
                    if t == q["table"] and v > after:
                        last[k] = (v, value)
                left = end - now()
                if self.down:
                    return 503, {}
                if last or left <= 0:
                    rows = [self._row(who, q["table"], k, value, v, value is None)
                            for k, (v, value) in
                            sorted(last.items(), key=lambda x: x[1][0])]
                    return 200, self._body(rows=rows)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if url.path == "/galenastep/rows-tx":
            await asyncio.sleep(self.tx_s)
            r = json.loads(body)
            for e in r.get("expected_rev", []):
                have = self.rows.get((e["table"], e["key"]), (b"", 0))[1]
                if have != e["row_version"]:
                    return 412, self._body(rows=[])
            self.version += 1
            for e in r.get("writes", []):
                self._set(e["table"], e["key"], base64.b64decode(e["value"]))
            for e in r.get("deletes", []):
                self._set(e["table"], e["key"], None)
            self._notify()
            return 200, self._body()
        return 404, {}


async def serve_http(handle, host, port, who):
    """Serves HTTP/1.1 with keep-alive; handle() gives status and JSON."""

    async def on_client(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                fields = {}
                for line in lines[1:]:
                    if ":" in line:
                        k, v = line.split(":", 1)
                        fields[k.strip().lower()] = v.strip()
                n = int(fields.get("content-length", "0"))
                body = await reader.readexactly(n) if n else b""
                status, out = await handle(method, path, body, fields)
                data = json.dumps(out).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_client, host, port)


class Member:
    def __init__(self, group, index, port):
        self.group = group
        self.index = index
        self.id = "i-%d" % index
        self.port = port
        self.role = "replica"
        self.term = 1
        self.log = []          # of (term, number, statement id)
        self.follows = None
        self.down = False
        self.deaf = False      # receives nothing from the primary
        self.reachable = asyncio.Event()  # cleared while it is dark (silent)
        self.reachable.set()
        self.full_until = 0.0  # answers STATUS with BUSY: no slot is free
        self.writers = set()
        self.conns = 0
        self.seq = 0
        self.born = int(time.time() * 1000) - 60000

    def position(self):
        return self.log[-1][:2] if self.log else (1, 0)

    def entry(self):
        self.seq += 1
        return json.dumps({
            "service": SERVICE, "addr": "127.0.0.1:%d" % self.port,
            "zone": "z%d" % self.index, "version": "v1", "slots": 2,
            "state": "ready", "cold_left_ms": 0, "db_role": self.role,
            "seq": self.seq, "born": self.born}).encode()


class Group:
    """Members with an asynchronous log (sync_replicas 0)."""

    def __init__(self, store, ports):
        self.store = store
        self.members = [Member(self, i, p) for i, p in enumerate(ports)]
        self.lag_s = 0.008
        self.work_s = 0.004
        self.promote_s = 0.3
        self.max_conns = 28
        self.term = 1
        self.primary = self.members[0]
        self.primary.role = "primary"
        self.took_over = []    # (time, term, member id)
        self.commits = []      # (time, term, number, member id, statement id)
        self.reads = []        # (time, member id, position, statement id)

    def by_id(self, mid):
        return next((m for m in self.members if m.id == mid), None)

    def set_dark(self, m, seconds):
        """Nothing reaches the member or leaves it; it goes on running."""
        m.reachable.clear()
        record("member %s: dark for %.1f s" % (m.id, seconds))

        def back():
            record("member %s: reachable again, %s of term %d" %
                   (m.id, m.role, m.term))
            m.reachable.set()
            if m is not self.primary:
                # It can reach the new primary from now on.
                asyncio.get_running_loop().call_later(
                    1.0, self._step_down, m, self.term)
        asyncio.get_running_loop().call_later(seconds, back)

    async def heartbeat(self):
        while True:
            for m in self.members:
                if not m.down and m.reachable.is_set() and \
                        not self.store.down:
                    self.store.put("servers", m.id, m.entry())
            await asyncio.sleep(1.2)

    def publish(self, m):
        if not m.down and m.reachable.is_set() and not self.store.down:
            self.store.put("servers", m.id, m.entry())

    def promote_later(self, member):
        asyncio.get_running_loop().call_later(
            self.promote_s, self._promote, member)

    def _promote(self, m):
        if m.down or not m.reachable.is_set() or (m.role == "primary" and m is self.primary):
            return
        old = self.primary
        self.term += 1
        m.role = "primary"
        m.term = self.term
        self.primary = m
        self.took_over.append((now(), self.term, m.id))
        record("platform: %s leads term %d with %d.%d" %
               ((m.id, self.term) + m.position()))
        self.publish(m)
        loop = asyncio.get_running_loop()
        for o in self.members:
            if o is not m and o is not old and not o.down:
                self._follow(o, m)
        if old is not m:
            # It continues until DEMOTE, or a second after it can reach the
            # new primary.
            if old.reachable.is_set():
                loop.call_later(1.0, self._step_down, old, self.term)

    def _step_down(self, m, below):
        if m.role == "primary" and m.term < below:
            m.role = "replica"
            m.term = self.term
            record("member %s: steps down, follows %s" %
                   (m.id, self.primary.id))
            self._follow(m, self.primary)
            self.publish(m)

    def _follow(self, m, primary):
        m.term = primary.term
        n = 0
        while (n < len(m.log) and n < len(primary.log) and
               m.log[n] == primary.log[n]):
            n += 1
        if n < len(m.log):
            record("member %s: %d commits rolled back" %
                   (m.id, len(m.log) - n))
        m.log = m.log[:n]
        self._send(m)

    def _send(self, m):
        asyncio.get_running_loop().call_later(self.lag_s, self._receive, m)

    def _receive(self, m):
        p = self.primary
        if (not m.down and not m.deaf and m.role == "replica" and
                m.reachable.is_set() and p.reachable.is_set()):
            if p.log[:len(m.log)] == m.log:
                m.log = list(p.log)

    def commit(self, m, sid):
        n = m.log[-1][1] + 1 if m.log else 1
        m.log.append((m.term, n, sid))
        self.commits.append((now(), m.term, n, m.id, sid))
        if m is self.primary:
            for o in self.members:
                if o is not m:
                    self._send(o)

    def set_down(self, m, down):
        m.down = down
        record("member %s: %s" % (m.id, "crashes" if down else "is back"))
        if down:
            for w in list(m.writers):
                w.transport.abort()
            self.store.put("servers", m.id, None)
        else:
            if m is not self.primary:
                m.role = "replica"
                self._follow(m, self.primary)
            self.publish(m)

    async def on_client(self, m, reader, writer):
        if m.down:
            writer.transport.abort()
            return
        m.writers.add(writer)
        state, begun = "I", None
        names = {}
        wrote = []

        def ready():
            writer.write(b"READY %s %d.%d\r\n" %
                         ((state.encode(),) + m.position()))

        def error(code, text=""):
            writer.write(("ERROR %s %s\r\n" % (code, text)).encode())
            ready()

        try:
            line = (await reader.readline()).decode().strip()
            await m.reachable.wait()
            w = line.split(" ")
            if (len(w) < 3 or w[0] != "STARTUP" or w[1] != SERVICE or
                    (len(w) > 3 and w[3] != m.id)):
                writer.write(b"ERROR WRONGNODE -\r\n")
                return
            if len(m.writers) > self.max_conns:
                writer.write(b"ERROR CONNLIMIT -\r\n")
                return
            await asyncio.sleep(0.012)
            ready()
            while True:
                await writer.drain()
                line = await reader.readline()
                await m.reachable.wait()
                if not line.endswith(b"\r\n"):
                    return
                text = line[:-2].decode()
                if not text.startswith("QUERY "):
                    return
                _, sid, query = text.split(" ", 2)
                after = None
                if query.startswith("AFTER "):
                    _, pos, query = query.split(" ", 2)
                    after = tuple(int(x) for x in pos.split("."))
                w = query.split(" ")
                verb = w[0]
                if verb == "STATUS" and now() < m.full_until:
                    error("BUSY")
                    continue
                if verb == "STATUS" or verb == "DEMOTE":
                    if verb == "DEMOTE" and m.role == "primary" and \
                            int(w[1]) > m.term:
                        m.role = "replica"
                        record("member %s: demoted" % m.id)
                        self.publish(m)
                    p = m.position()
                    writer.write(("DATAROW %s %d %d.%d 0 0 0 %d\r\n"
                                  "COMPLETE -\r\n" % (
                                      m.role, m.term, p[0], p[1],
                                      len(m.writers))).encode())
                    ready()
                    continue
                if verb in ("SET", "RESET"):
                    writer.write(b"COMPLETE -\r\n")
                    ready()
                    continue
                if verb == "PREPARE":
                    names[w[1]] = w[2]
                    writer.write(b"COMPLETE -\r\n")
                    ready()
                    continue
                if verb == "ROLLBACK":
                    state, begun, wrote = "I", None, []
                    writer.write(b"COMPLETE -\r\n")
                    ready()
                    continue
                if after is not None and m.position() < after:
                    error("LAGGING")
                    continue
                if verb == "BEGIN":
                    if len(w) == 1 and m.role != "primary":
                        error("READONLY", m.id)
                        continue
                    state, begun, wrote = "T", m.term, []
                    writer.write(b"COMPLETE -\r\n")
                    ready()
                    continue
                await asyncio.sleep(self.work_s)
                if verb == "EXECUTE":
                    if w[1] not in names:
                        error("NOSTMT")
                        continue
                    verb = names[w[1]]
                if verb == "WRITE" or (verb == "COMMIT" and wrote):
                    if m.role != "primary":
                        if state == "T":
                            state = "E"
                        error("READONLY", m.id)
                        continue
                if verb == "READ":
                    self.reads.append((now(), m.id, m.position(), sid))
                    writer.write(b"DATAROW x\r\n")
                elif verb == "WRITE":
                    if state == "T":
                        wrote.append(sid)
                    else:
                        self.commit(m, sid)
                elif verb == "COMMIT":
                    if wrote:
                        self.commit(m, sid)
                    state, begun, wrote = "I", None, []
                writer.write(("COMPLETE sig.%s\r\n" % sid).encode())
                ready()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            m.writers.discard(writer)
            writer.close()


class PeerNetwork:
    """The network between the proxies, for datagrams and for copies (TCP).
    Each proxy sees every other one at an address of its own, where a relay
    listens; the store hands out these addresses. A cut proxy exchanges nothing
    with the others."""

    def __init__(self, bed):
        self.bed = bed
        self.cut = set()
        self.sockets = {}

    def address(self, seen_by, i):
        return "127.0.2.%d" % (seen_by * 16 + i + 1)

    def rewrite(self, who, key, value):
        if not key.startswith("node/") or who is None:
            return value
        for p in self.bed.proxies:
            if key == "node/" + p.name and p.index != who:
                return value.replace(p.host.encode() + b":",
                                     self.address(who, p.index).encode() +
                                     b":")
        return value

    def is_cut(self, i, k):
        return i in self.cut or k in self.cut

    async def start(self, n, port):
        loop = asyncio.get_running_loop()
        net = self

        def protocol(i, k):
            class Relay(asyncio.DatagramProtocol):
                def datagram_received(self, data, _addr):
                    if not net.is_cut(i, k):
                        net.sockets[(k, i)].sendto(
                            data, (net.bed.proxies[k].host, port))
            return Relay

        for i in range(n):
            for k in range(n):
                if i == k:
                    continue
                at = (self.address(i, k), port)
                transport, _ = await loop.create_datagram_endpoint(
                    protocol(i, k), local_addr=at)
                self.sockets[(i, k)] = transport
                await asyncio.start_server(
                    lambda r, w, i=i, k=k: self.on_copy(r, w, i, k), *at)

    async def on_copy(self, reader, writer, i, k):
        if self.is_cut(i, k):
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(
                self.bed.proxies[k].host, self.bed.peer)
        except OSError:
            writer.transport.abort()
            return

        async def pump(src, dst):
            try:
                while True:
                    data = await src.read(65536)
                    if not data or self.is_cut(i, k):
                        break
                    dst.write(data)
                    await dst.drain()
            except ConnectionError:
                pass
            finally:
                dst.close()
        await asyncio.gather(pump(reader, up_writer),
                             pump(up_reader, writer))


class Orders:
    """POST /promotion; fences are recorded and not checked."""

    def __init__(self, group):
        self.group = group
        self.seen = []         # (time, holder, fence, member)

    async def handle(self, method, path, body, fields):
        r = json.loads(body)
        holder = fields.get("x-duty-holder", "-")
        fence = int(fields.get("x-fence-token", "0"))
        self.seen.append((now(), holder, fence, r["id"]))
        record("promotion service: receives %s for %s, holder %s fence %d" %
               (r["id"], r["service"], holder, fence))
        m = self.group.by_id(r["id"])
        if m is None or m.down:
            return 409, {}
        self.group.promote_later(m)
        return 200, {}


class Relay:
    """A TCP relay in front of a service. While held, what both sides send is
    delivered later, as when packets are lost on the way and sent again."""

    def __init__(self, to_port):
        self.to_port = to_port
        self.gate = asyncio.Event()
        self.gate.set()
        self.writers = set()
        self.on_request = None

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.on_client, host, port)

    def hold(self, seconds):
        """A cut. The proxy's keep-alive probes end a connection that is silent
        for 3 s (1 s and two probes), so after a longer cut nothing of before is
        delivered."""
        self.gate.clear()
        loop = asyncio.get_running_loop()
        if seconds > 3:
            loop.call_later(seconds - 0.01, self.abort)
        loop.call_later(seconds, self.gate.set)

    def abort(self):
        for w in self.writers:
            w.transport.abort()
        self.writers.clear()

    async def on_client(self, reader, writer):
        up_reader, up_writer = await asyncio.open_connection(
            "127.0.0.1", self.to_port)
        self.writers |= {writer, up_writer}

        async def pump(src, dst, up):
            try:
                while True:
                    data = await src.read(65536)
                    if not data:
                        break
                    if up and self.on_request is not None:
                        self.on_request(data)
                    await self.gate.wait()
                    dst.write(data)
                    await dst.drain()
            except ConnectionError:
                pass
            finally:
                try:
                    await self.gate.wait()
                    dst.close()
                except ConnectionError:
                    pass

        await asyncio.gather(pump(reader, up_writer, True),
                             pump(up_reader, writer, False))


SETTINGS = """[proxy]
name = %(name)s
failure_domain = %(zone)s
host = %(host)s
listen = %(host)s:%(listen)d
ready_listen = %(host)s:%(ready)d
peer_port = %(peer)d
metrics_port = %(metrics)d
limits_port =

[peers]
key = galenastep-proxies-of-this-platform

[store]
address = 127.0.0.1:%(store)d

[orders]
address = 127.0.0.1:%(orders)d

[limits]
grace_s = 6

[accounts]
strict_revocation =
revocation_ms =
rate_window_s =
rate_excess =
rate_slack =
"""


class Proxy:
    def __init__(self, bed, index, peer_port):
        self.index = index
        self.name = "front-%d" % index
        self.host = "127.0.1.%d" % (index + 1)
        self.listen, self.ready, self.metrics = free_ports(self.host, 3)
        self.peer = peer_port
        self.bed = bed
        self.process = None

    async def start(self, store, orders):
        path = os.path.join(self.bed.folder, self.name + ".ini")
        with open(path, "w") as f:
            f.write(SETTINGS % dict(
                name=self.name, zone="z%d" % self.index, host=self.host,
                listen=self.listen, ready=self.ready, peer=self.peer,
                metrics=self.metrics, store=store, orders=orders))
        self.log = open(os.path.join(self.bed.folder, self.name + ".log"),
                        "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, stdout=self.log, stderr=self.log, cwd=ROOT,
            env={"GALENASTEP_SETTINGS": path, "PATH": os.environ["PATH"]})
        started.append(self.process)
        record("%s: started" % self.name)

    async def kill_and_restart(self, pause_s):
        """SIGKILL, and a new start with the same settings."""
        self.signal(signal.SIGKILL)
        await self.process.wait()
        await asyncio.sleep(pause_s)
        await self.start(*self.ports)

    def signal(self, sig):
        if self.process.returncode is None:
            record("%s: gets %s" % (self.name, signal.Signals(sig).name))
            self.process.send_signal(sig)


class Caller:
    """A sound caller: one operation after another, at an interval."""

    def __init__(self, bed, proxy, database, interval, write):
        self.bed, self.proxy, self.database = bed, proxy, database
        self.interval, self.write = interval, write
        self.n = 0
        self.answers = []      # (sent, answered, id, code)

    async def run(self):
        while True:
            try:
                await self.session()
            except (ConnectionError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError, OSError):
                pass
            await asyncio.sleep(0.05)

    async def session(self):
        reader, writer = await asyncio.open_connection(
            self.proxy.host, self.proxy.listen)
        try:
            writer.write(b"STARTUP %s u1\r\n" % self.database.encode())
            line = await asyncio.wait_for(reader.readline(), 2)
            if not line.startswith(b"READY"):
                return
            while True:
                self.n += 1
                self.bed.ids += 1
                sid = "%s%06d" % ("w" if self.write else "r", self.bed.ids)
                text = ("WRITE k%d v%d" % (self.n % 50, self.n)
                        if self.write else "READ k%d" % (self.n % 50))
                sent = now()
                writer.write(("QUERY %s %s\r\n" % (sid, text)).encode())
                code = None
                while True:
                    line = await asyncio.wait_for(reader.readline(), 3)
                    if not line:
                        self.answers.append((sent, now(), sid, "CLOSED"))
                        return
                    if line.startswith(b"COMPLETE"):
                        code = "OK"
                    elif line.startswith(b"ERROR"):
                        code = line.split()[1].decode()
                    elif line.startswith(b"READY"):
                        break
                self.answers.append((sent, now(), sid, code))
                await asyncio.sleep(self.interval)
        finally:
            writer.close()


class Bed:
    """The deployment; use with 'async with'."""

    def __init__(self, proxies, partitions=False):
        self.n = proxies
        self.partitions = partitions
        self.folder = tempfile.mkdtemp(prefix="galenastep-")
        folders.append(self.folder)
        self.ids = 0
        self.tasks = []

    async def __aenter__(self):
        self.store = Store()
        ports = free_ports("127.0.0.1", 5 + 2 * self.n)
        self.orders_port = ports[1]
        self.group = Group(self.store, ports[2:5])
        self.orders = Orders(self.group)
        self.servers = [
            await serve_http(self.orders.handle, "127.0.0.1", ports[1], None)]
        for m in self.group.members:
            self.servers.append(await asyncio.start_server(
                lambda r, w, m=m: self.group.on_client(m, r, w),
                "127.0.0.1", m.port))
        routes = [("primary-db", "primary", 800, 120, 1, None),
                  ("bounded-db", "bounded_staleness", 1500, 400, 2, 1500),
                  ("own-db", "read_your_writes", 800, 200, 2, 2500)]
        self.store.put("op", "config", json.dumps({
            "version": 7,
            "routes": [dict(name="r-" + d, host=d, path_prefix="/",
                            route_type=t, timeout_ms=timeout,
                            target_latency_ms=target, priority=prio,
                            service=SERVICE, max_attempts=2,
                            **({"max_staleness_ms": stale} if stale else {}))
                       for d, t, timeout, target, prio, stale in routes],
            "services": [{"name": SERVICE, "health_path": "/health",
                          "max_conns": 28, "protocol": "h1", "tls": False,
                          "sync_replicas": 0}],
            "limits": {"tx_idle_ms": 3000}}).encode())
        self.tasks.append(asyncio.create_task(self.group.heartbeat()))
        peer = free_ports("127.0.0.1", 1, socket.SOCK_DGRAM)[0]
        self.peer = peer
        self.relays = []
        self.proxies = []
        self.network = PeerNetwork(self)
        if self.partitions:
            await self.network.start(self.n, peer)
            self.store.rewrite = self.network.rewrite
        for i in range(self.n):
            port = free_ports("127.0.0.1", 1)[0]
            self.servers.append(await serve_http(
                self.store.for_asker(i), "127.0.0.1", port, None))
            store = Relay(port)
            orders = Relay(self.orders_port)
            await store.start("127.0.0.1", ports[5 + 2 * i])
            await orders.start("127.0.0.1", ports[6 + 2 * i])
            self.relays.append((store, orders))
            p = Proxy(self, i, peer)
            self.proxies.append(p)
            p.ports = ports[5 + 2 * i], ports[6 + 2 * i]
            await p.start(*p.ports)
        return self

    def call(self, proxy, database, interval, write):
        c = Caller(self, proxy, database, interval, write)
        self.tasks.append(asyncio.create_task(c.run()))
        return c

    def holder(self):
        """Returns the proxy that the view names as holder, and its fence."""
        row = self.store.rows.get(("galenastep", "view"))
        if row is None:
            return None, 0
        w = row[0].decode().split("\n")[0].split(" ")
        return next((p for p in self.proxies if p.name == w[3]), None), \
            int(w[2])

    async def __aexit__(self, *_):
        for t in self.tasks:
            t.cancel()
        for p in self.proxies:
            if p.process is not None and p.process.returncode is None:
                p.process.kill()
                await p.process.wait()
        for s in self.servers:
            s.close()
        clean_up()


def late_commits(bed, callers):
    """Returns what breaks ONE: commits at an old primary after another member
    had taken over, acknowledged to the caller."""
    acked = {sid: at for c in callers for _, at, sid, code in c.answers
             if code == "OK"}
    broken = []
    for at, term, number, member, sid in bed.group.commits:
        newer = [t for t in bed.group.took_over if t[1] > term and t[0] < at]
        if newer and sid in acked:
            broken.append("ONE: %s commits %d.%d (%s) at %.3f s, acknowledged "
                          "at %.3f s, but %s took over at %.3f s" % (
                              member, term, number, sid, at, acked[sid],
                              newer[0][2], newer[0][0]))
    return broken


def lost_commits(bed, callers):
    """Returns the acknowledged commits that the primary does not hold."""
    held = {sid for _, _, sid in bed.group.primary.log}
    return [sid for c in callers for _, _, sid, code in c.answers
            if code == "OK" and c.write and sid not in held]


def record_traffic(bed, callers):
    """Adds to the record what was sent, answered and run."""
    for c in callers:
        for sent, at, sid, code in c.answers:
            records.append("%8.3f caller at %s: sends %s to %s, %s at %.3f" %
                           (sent, c.proxy.name, sid, c.database, code, at))
    for at, term, number, member, sid in bed.group.commits:
        records.append("%8.3f member %s: commits %s as %d.%d" %
                       (at, member, sid, term, number))
    for at, member, pos, sid in bed.group.reads:
        records.append("%8.3f member %s: reads %s at %d.%d" %
                       (at, member, sid, pos[0], pos[1]))
    records.sort(key=lambda line: float(line[:8]))


def clean_up():
    """Ends the proxies and removes the temporary folders."""
    for p in started:
        if p.returncode is None:
            try:
                p.kill()
            except ProcessLookupError:
                pass
    for folder in folders:
        shutil.rmtree(folder, ignore_errors=True)


def run(main):
    """Runs a case. If it cannot run, or is stopped, ends the proxies and exits
    with 2."""
    def give_up(why):
        clean_up()
        print("could not run: %s" % why)
        sys.stdout.flush()
        os._exit(2)

    async def guarded():
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, give_up, "stopped")
        await main()

    try:
        if not os.access(PROGRAM, os.X_OK):
            give_up("%s is not built" % os.path.relpath(PROGRAM, ROOT))
        asyncio.run(guarded())
    except Exception as e:  # a fault of the stand-ins is no verdict
        give_up(repr(e))
    give_up("no verdict")


def finish(folder, broken, ran):
    """Writes record.txt and ends the process with the verdict."""
    for b in broken:
        record("BROKEN " + b)
    with open(os.path.join(folder, "record.txt"), "w") as f:
        f.write("\n".join(records) + "\n")
    clean_up()
    print("\n".join(broken[:5]) if broken else
          ("held" if ran else "could not run"))
    sys.stdout.flush()
    os._exit(1 if broken else 0 if ran else 2)
