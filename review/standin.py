"""Stand-ins of the platform for the cases of this review: its store, its workers, its callers.

They follow PROTOCOL.md: the store is linearizable, loses nothing and answers at once; the workers are
sound, enforce fencing tokens and leases, and stop a run in `stop_ms`. Every address is on 127.0.0.1.
Only the standard library is used.
"""

import base64
import bisect
import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
START = time.monotonic()
# The bounds of the site gai-bulrush, in the words of the platform's settings.
BOUNDS = {
    "revokeMs": 5000, "drainMs": 2000, "maxHoldMs": 6000, "stopTimeoutMs": 900,
    "gangTimeoutMs": 3000, "graceS": 6, "status_s": 120, "remotePenalty": 3, "reclaimMs": 3400,
}
HEARTBEAT_S = 1.5
FINISH_S = 14.0


def now_ms():
    return int((time.monotonic() - START) * 1000)


class Record:
    """Writes `record.txt`: what was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            line = f"{time.monotonic() - START:8.3f} {text}"
            self.file.write(line + "\n")
            self.file.flush()


class HttpServer:
    """Minimal HTTP/1.1 server with kept-alive connections; one thread for each connection."""

    def __init__(self, handler, port=0):
        self.handler = handler
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(256)
        self.port = self.listener.getsockname()[1]
        self.conns = set()
        self.lock = threading.Lock()
        self.open = True
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while self.open:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if not self.open:
                    conn.close()
                    return
                self.conns.add(conn)
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        buffer = b""
        try:
            while True:
                while b"\r\n\r\n" not in buffer:
                    data = conn.recv(65536)
                    if not data:
                        return
                    buffer += data
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                while len(buffer) < length:
                    data = conn.recv(65536)
                    if not data:
                        return
                    buffer += data
                body, buffer = buffer[:length], buffer[length:]
                status, answer = self.handler(method, target, headers, body)
                if status is None:
                    return
                payload = json.dumps(answer).encode()
                conn.sendall(
                    f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload
                )
        except (OSError, ValueError):
            return
        finally:
            with self.lock:
                self.conns.discard(conn)
            conn.close()

    def close(self):
        """Closes the listener and all connections at once, as the kernel does when a process dies."""
        with self.lock:
            self.open = False
            conns = list(self.conns)
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for conn in conns:
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Store:
    """The platform's store: keys with revisions, leases, watches and conditional transactions."""

    def __init__(self):
        self.cond = threading.Condition()
        self.rev = 1
        self.items = {}
        self.sorted = []
        self.leases = {}
        self.history = []
        # History up to this revision is gone.
        self.compacted = 0
        # Until this time the store answers every call with 503, and its leases pause.
        self.busy_until = 0
        # Called with the keys that a commit removes.
        self.on_remove = lambda keys: None
        self.server = HttpServer(self.handle)
        self.addr = f"127.0.0.1:{self.server.port}"
        threading.Thread(target=self.expire_loop, daemon=True).start()

    def expire_loop(self):
        while True:
            time.sleep(0.02)
            with self.cond:
                for lease in [i for i, (end, _) in self.leases.items() if end <= now_ms()]:
                    self.end_lease(lease)

    def set_busy(self, seconds):
        """Answers every call with 503 for a while; the leases pause meanwhile."""
        with self.cond:
            self.busy_until = now_ms() + int(seconds * 1000)
            for lease, (end, ttl) in self.leases.items():
                self.leases[lease] = (end + int(seconds * 1000), ttl)
            self.cond.notify_all()

    def compact(self):
        """Forgets the history and cuts the watches that wait."""
        with self.cond:
            self.compacted, self.history = self.rev, []
            self.cond.notify_all()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.rev += 1
            self.delete(key)
        self.cond.notify_all()

    def write(self, key, value, lease=0):
        old = self.items.get(key)
        if old is None:
            bisect.insort(self.sorted, key)
        item = {
            "key": key, "value": base64.b64encode(value).decode(), "rev": self.rev,
            "created": old["created"] if old else self.rev, "lease": lease,
        }
        self.items[key] = item
        self.history.append((self.rev, key, item))

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            del self.sorted[bisect.bisect_left(self.sorted, key)]
            self.history.append((self.rev, key, {"key": key, "rev": self.rev, "deleted": True}))

    def put(self, key, value):
        """Writes a key as the operator or a worker does; returns its revision."""
        with self.cond:
            self.rev += 1
            self.write(key, json.dumps(value).encode())
            self.cond.notify_all()
            return self.rev

    def remove(self, key):
        with self.cond:
            self.rev += 1
            self.delete(key)
            self.cond.notify_all()

    def value(self, key):
        with self.cond:
            item = self.items.get(key)
            return base64.b64decode(item["value"]) if item else None

    def handle(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, True).items()}
        parsed = json.loads(body) if body else {}
        with self.cond:
            if now_ms() < self.busy_until:
                return 503, {}
            if url.path == "/api/kv-key":
                item = self.items.get(query["key"])
                return (200, {**item, "asOf": self.rev}) if item else (404, {"asOf": self.rev})
            if url.path == "/api/kv-range":
                return self.range(query)
            if url.path == "/api/kv-watch":
                return self.watch(query)
            if url.path == "/api/kv-txn":
                return self.commit(parsed)
            if url.path == "/api/kv-lease":
                self.rev += 1
                self.leases[self.rev] = (now_ms() + parsed["ttlMs"], parsed["ttlMs"])
                return 200, {"lease": self.rev, "ttlMs": parsed["ttlMs"]}
            lease = int(url.path.rsplit("/", 1)[1])
            if url.path.startswith("/api/kv-keep/"):
                if lease not in self.leases:
                    return 404, {}
                ttl = self.leases[lease][1]
                self.leases[lease] = (now_ms() + ttl, ttl)
                return 200, {"ttlMs": ttl}
            if url.path.startswith("/api/kv-lease-end/"):
                self.end_lease(lease)
                return 200, {}
        return 404, {}

    def range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after")
        at = bisect.bisect_left(self.sorted, prefix)
        if after is not None:
            at = max(at, bisect.bisect_right(self.sorted, after))
        found, size = [], 0
        while at < len(self.sorted) and self.sorted[at].startswith(prefix):
            if len(found) == 500 or size > 1_000_000:
                return 200, {"items": found, "truncated": True, "asOf": self.rev}
            found.append(self.items[self.sorted[at]])
            size += len(found[-1]["value"])
            at += 1
        return 200, {"items": found, "truncated": False, "asOf": self.rev}

    def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        until = time.monotonic() + min(int(query.get("waitMs", "0")), 30_000) / 1000
        compacted = self.compacted
        while True:
            if now_ms() < self.busy_until:
                return 503, {}
            if after < self.compacted:
                # A watch that waits is cut, a new one learns that its history is gone.
                return (None, None) if compacted < self.compacted else (410, {})
            at = bisect.bisect_right(self.history, after, key=lambda h: h[0])
            events = [e for _, k, e in self.history[at:] if k.startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.rev}
            self.cond.wait(left)

    def commit(self, body):
        expect, writes = body.get("expect") or [], body.get("writes") or []
        remove = body.get("remove") or []
        current = lambda key: self.items[key]["rev"] if key in self.items else 0
        if len(expect) + len(writes) + len(remove) > 32:
            return 400, {}
        if any(w["key"].startswith(("op/", "servers/")) for w in writes):
            return 403, {}
        if any(current(e["key"]) != e["rev"] for e in expect):
            known = [self.items[e["key"]] for e in expect if e["key"] in self.items]
            return 412, {"items": known}
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return 404, {}
        self.rev += 1
        for w in writes:
            self.write(w["key"], base64.b64decode(w["value"]), w.get("lease") or 0)
        for key in remove:
            self.delete(key)
        self.on_remove(remove)
        self.cond.notify_all()
        return 200, {"rev": self.rev}


class Worker:
    """A sound worker. The text of a job holds `ms=N`, the time that each of its tasks takes, or `lasts` for
    tasks that run until they are stopped."""

    def __init__(self, store, record, number, zone, service="dispatch", rack=None):
        self.store, self.record = store, record
        self.id, self.zone, self.service = f"i-{number:04x}", zone, service
        self.rack = rack or f"r1-{number // 8}"
        self.capacity = {"cpu": 32000, "memMb": 131072, "gpu": 8}
        self.lock = threading.Condition()
        # All starts and ends, also those that are forgotten.
        self.all_starts, self.all_ends = [], []
        self.born = int(time.time() * 1000)
        self.booted = time.monotonic()
        self.token, self.lease_end, self.last_end, self.seq = 0, 0, 0, 0
        self.running, self.ended, self.blocked = {}, [], {}
        self.up = True
        self.server = HttpServer(self.handle)
        self.port = self.server.port
        self.record(f"worker {self.id} boots, born {self.born}")
        self.register()
        threading.Thread(target=self.live, daemon=True).start()

    def register(self):
        self.seq += 1
        self.store.put(f"servers/{self.id}", {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
            "capacity": self.capacity, "labels": ["a", self.rack], "born": self.born,
            "clockMs": self.clock(), "seq": self.seq,
        })

    def clock(self):
        return int((time.monotonic() - self.booted) * 1000)

    def live(self):
        beat = time.monotonic()
        while True:
            time.sleep(0.01)
            with self.lock:
                if not self.up:
                    return
                clock = self.clock()
                for key, run in list(self.running.items()):
                    if clock > self.lease_end:
                        self.end(key, "lapsed")
                    elif run["stop"] is not None and clock >= run["stop"]:
                        self.end(key, "stopped")
                    elif run["length"] and clock >= run["started"] + run["length"]:
                        self.end(key, "done")
            if time.monotonic() - beat >= HEARTBEAT_S:
                beat = time.monotonic()
                self.register()

    def end(self, key, how):
        task, run = key
        del self.running[key]
        self.last_end += 1
        self.ended.append([self.last_end, task, run, how, ""])
        self.all_ends.append(self.ended[-1])
        self.blocked[task] = max(self.blocked.get(task, 0), run)
        self.record(f"worker {self.id} lists the end of {task} run {run}: {how}")
        self.lock.notify_all()

    def extend(self, deadline):
        if deadline:
            self.lease_end = max(self.lease_end, min(deadline, self.clock() + BOUNDS["maxHoldMs"]))

    def handle(self, method, target, headers, body):
        call = json.loads(body) if body else {}
        with self.lock:
            if not self.up:
                return None, None
            said = lambda **more: {"clockMs": self.clock(), "born": self.born, **more}
            if headers.get("expect-instance", self.id) != self.id:
                return 421, said()
            token = call.get("fencingToken", 0)
            if token < self.token:
                return 409, said(reason="fence")
            self.token = token
            if target == "/api/run-start":
                return self.start(call, said)
            if target == "/api/run-stop":
                key = (call["task"], call["run"])
                if key in self.running:
                    run = self.running[key]
                    run["stop"] = run["stop"] or self.clock() + BOUNDS["stopTimeoutMs"] // 2
                else:
                    self.blocked[key[0]] = max(self.blocked.get(key[0], 0), key[1])
                return 200, said()
            if target == "/api/hold":
                self.extend(call.get("deadlineMs"))
                self.ended = [e for e in self.ended if e[0] > call["lastSeen"]]
                until = time.monotonic() + min(call.get("waitMs", 0), 2000) / 1000
                while self.up and not self.ended and time.monotonic() < until:
                    self.lock.wait(until - time.monotonic())
                if not self.up:
                    return None, None
                part = lambda r: min(99, (self.clock() - r["started"]) * 100 // r["length"])
                percent = lambda r: part(r) if r["length"] else 100
                rows = [[t, n, "", percent(r), 0] for (t, n), r in sorted(self.running.items())]
                return 200, said(running=rows, finished=self.ended[:500])
        return 404, {}

    def start(self, call, said):
        task, run = call["task"], call["run"]
        if (task, run) in self.running:
            return 200, said()
        if run <= self.blocked.get(task, 0):
            self.extend(call["deadlineMs"])
            return 409, said(reason="old")
        if call["deadlineMs"] <= self.clock():
            return 409, said(reason="late")
        self.extend(call["deadlineMs"])
        found = re.search(r"ms=(\d+)", call["spec"])
        length = int(found.group(1)) if found else None
        self.running[(task, run)] = {"started": self.clock(), "length": length, "stop": None}
        self.all_starts.append((time.monotonic(), task, run))
        self.record(f"worker {self.id} starts {task} run {run}")
        return 200, said()


class Daemon:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, store, record, folder, name, zone, ports, platform):
        self.record, self.name, self.zone = record, name, zone
        self.front, self.ready, self.metrics = ports
        self.path = os.path.join(folder, f"{name}.json")
        self.log = os.path.join(folder, f"{name}.log")
        fields = {
            "node": name, "zone": zone, "ip": "127.0.0.1", "internalPorts": [self.metrics],
            "listenAddrs": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}"},
            "limits": {"cpuShare": 0.25, "cpuCores": 1}, "bounds": BOUNDS,
            "platform": {"address": platform},
        }
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(fill_template(deploy_file()["template"], fields))
        self.process = None
        self.start()

    def start(self):
        words = deploy_file()["run"].split()
        words = [self.path if w == "/etc/bulrushlink/boot.toml" else w for w in words]
        program = os.path.join(ROOT, words[0])
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["BULRUSHLINK_SETTINGS"] = self.path
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [program, *words[1:]], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log)
        self.record(f"daemon {self.name} starts, process {self.process.pid}")

    def ended(self):
        """Returns how the process has ended by itself, or None while it runs."""
        return self.process.poll()

    def is_ready(self, timeout=1.0):
        answer = call(self.ready, "GET", "/api/ready", timeout=timeout)
        return answer is not None and answer[0] == 200

    def kill(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


def deploy_file():
    """Reads the role of the deploy file; its values are plain strings."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        return dict(re.findall(r'^(\w+) = "([^"]*)"$', file.read(), re.M))


def fill_template(path, fields):
    """Fills in the placeholders of a template as DEPLOY.md describes them."""
    with open(os.path.join(ROOT, path), encoding="utf-8") as file:
        text = file.read()

    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if match.group(2) or not isinstance(found, str) else found

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


def call(port, method, path, headers=None, body=None, timeout=3.0):
    """Makes a call on a new connection; returns status and body, or None without an answer."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        conn.request(method, path, body=body, headers=headers or {})
        answer = conn.getresponse()
        return answer.status, answer.read().decode()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        conn.close()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


HOST = "jobs.example"


def route(name, prefix, priority=1, service="dispatch"):
    return {
        "name": name, "host": HOST, "prefix": prefix, "type": "unsafe", "timeoutMs": 3000,
        "targetDurationMs": 1000, "priority": priority, "service": service,
        "attempts": 4, "stretch": 3.0, "allowAnonymous": False,
    }


def config(version, routes, keys):
    return {
        "version": version, "routes": routes,
        "services": [{
            "name": name, "healthPath": "/health", "maxConnections": 64, "protocol": "h1",
            "tls": False, "coldStartS": 0.0, "coldPerS": 0.0, "rejectsOverload": False,
            "standby": False} for name in sorted({r["service"] for r in routes})],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": n, "apiKeys": k, "priority": 1, "guaranteed": {"gpu": 8}}
                    for n, k in keys.items()],
    }


class Fleet:
    """A small deployment: daemons in three zones, workers, and the store."""

    def __init__(self, folder):
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.record = Record(os.path.join(folder, "record.txt"))
        self.store = Store()
        self.daemons, self.workers = [], []

    def open(self, daemons=3, workers=8, routes=None, keys=None, place=None):
        """Starts the deployment; `keys` holds the keys of each tenant, and `place` returns the service and
        the rack of each worker."""
        zones = ["quito-norte", "quito-sur", "cuenca"]
        routes, keys = routes or [route("replay", "/replay/")], keys or {"north": ["key-north"]}
        place = place or (lambda n: ("dispatch", None))
        self.store.put("op/config", config(7, routes, keys))
        for n in range(workers):
            self.workers.append(Worker(self.store, self.record, n, zones[n % 3], *place(n)))
        ports = free_ports(3 * daemons)
        for n in range(daemons):
            self.daemons.append(Daemon(
                self.store, self.record, self.temp, f"front-{zones[n % 3]}-{n // 3 + 1}",
                zones[n % 3], ports[3 * n:3 * n + 3], self.store.addr))

    def wait_ready(self, limit=15.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            leader = self.store.value("bulrushlink/leader")
            if leader is not None and all(d.is_ready() for d in self.daemons):
                self.record(f"all daemons are ready; leader {leader.decode()}")
                return
            time.sleep(0.1)
        raise CouldNotRun("the daemons did not become ready")

    def request(self, daemon, method, path, key="key-north", body=None, timeout=3.0):
        headers = {"Host": HOST, "Deadline-Ms": str(int(timeout * 1000))}
        if key is not None:
            headers["Authorization"] = f"Token {key}"
        if body is not None:
            headers["Content-Type"] = "application/json"
        answer = call(self.daemons[daemon].front, method, path, headers, body, timeout)
        shown = "no answer" if answer is None else f"{answer[0]} {answer[1][:200]}"
        self.record(f"{method} {path} key {key} at {self.daemons[daemon].name}: {shown}")
        return answer

    def submit(self, daemon, job, body, prefix="/replay/", key="key-north"):
        answer = self.request(daemon, "POST", prefix + job, key, json.dumps(body))
        return answer[0] if answer else None

    def state(self, daemon, job, prefix="/replay/"):
        answer = self.request(daemon, "GET", prefix + job)
        return json.loads(answer[1])["state"] if answer and answer[0] == 200 else answer

    def wait_state(self, daemon, job, wanted, limit):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            state = self.state(daemon, job)
            if state in wanted:
                return state
            time.sleep(0.25)
        return self.state(daemon, job)

    def running(self):
        """Lists what runs: worker, task and run."""
        found = []
        for worker in self.workers:
            with worker.lock:
                if worker.up:
                    found.extend((worker, t, r) for t, r in worker.running)
        return found

    def starts(self):
        """Lists all starts so far in their order: task, run and worker."""
        found = sorted((at, t, r, w.id) for w in self.workers for at, t, r in w.all_starts)
        return [(t, r, w) for _, t, r, w in found]

    def close(self):
        for daemon in self.daemons:
            daemon.kill()
        for worker in self.workers:
            with worker.lock:
                worker.up = False
            worker.server.close()
        shutil.rmtree(self.temp, ignore_errors=True)


class CouldNotRun(Exception):
    """The case could not be played."""


def step(count, ms, after=None, gang=False, gpu=1):
    found = {"count": count, "cpu": 3700, "memMb": 11000, "gpu": gpu, "estRuntimeMs": ms}
    if after:
        found["after"] = after
    if gang:
        found["gang"] = True
    return found


def run(folder, case, limit=110, **options):
    """Plays a case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = None

    def give_up(*_):
        raise CouldNotRun("out of time")

    signal.signal(signal.SIGALRM, give_up)
    signal.signal(signal.SIGTERM, give_up)
    signal.alarm(limit)
    try:
        fleet = Fleet(folder)
        fleet.open(**options)
        fleet.record(f"TROUBLE={int(trouble)}")
        fleet.wait_ready()
        broken = case(fleet, trouble)
        signal.alarm(0)
        for text in broken:
            fleet.record(f"BROKEN {text}")
            print(f"broken: {text}")
        fleet.record(f"verdict: {'broken' if broken else 'held'}")
        print("verdict:", "broken" if broken else "held")
        code = 1 if broken else 0
    except (CouldNotRun, OSError) as error:
        signal.alarm(0)
        if fleet:
            fleet.record(f"could not run: {error}")
        print("could not run:", error)
        code = 2
    finally:
        if fleet:
            fleet.close()
    sys.exit(code)
