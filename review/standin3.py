"""Stand-ins for the cases 11 to 15: the platform's store, workers, and a consumer.

They speak what PROTOCOL.md describes, on loopback addresses, each on a port of its own, and write
what is sent, answered and run into a record. Only the standard library is used.
"""

import base64
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

REPO = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# A case that takes longer couldn't run.
LIMIT_S = 115
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"

BOUNDS = {
    "stableWindowMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "configApplyMs": 2000,
    "revokeMs": 5000, "maxHoldMs": 6000, "stopTimeoutMs": 400, "gangTimeoutMs": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "status_s": 120, "remotePenalty": 3, "reclaimMs": 2900,
}


class Record:
    """What was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def add(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.began, text))
            self.file.flush()


class HttpServer:
    """A listener with one thread for each connection; `handle` maps a request to (status, body)."""

    def __init__(self, handle, port=0):
        self.handle = handle
        self.open = True
        self.conns = set()
        self.lock = threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, port))
        self.listener.listen(256)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
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
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        data = b""
        try:
            while self.open:
                while b"\r\n\r\n" not in data:
                    more = conn.recv(65536)
                    if not more:
                        return
                    data += more
                head, data = data.split(b"\r\n\r\n", 1)
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, value = line.split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                while len(data) < length:
                    more = conn.recv(65536)
                    if not more:
                        return
                    data += more
                body, data = data[:length], data[length:]
                answer = self.handle(method, target, headers, body)
                if answer is None:
                    # The answer is lost: the connection carries nothing more.
                    while self.open and conn.recv(65536):
                        pass
                    return
                status, reply = answer
                text = json.dumps(reply).encode()
                conn.sendall(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(text)) + text)
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.conns.discard(conn)
            conn.close()

    def close(self):
        with self.lock:
            self.open = False
            conns = list(self.conns)
        # Closing alone doesn't wake a thread that waits in accept or recv.
        for sock in [self.listener] + conns:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()


class Store:
    """The platform's key-value store in memory."""

    def __init__(self):
        self.cond = threading.Condition()
        self.rev = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.last_lease = 0
        # Called with (method, path, body) before and after a call is carried out. A hook that
        # returns "lose" after a call makes its answer get lost.
        self.before = lambda method, path, body: None
        self.after = lambda method, path, body, answer: None
        self.server = HttpServer(self.handle)
        self.addr = "%s:%d" % (HOST, self.server.port)
        threading.Thread(target=self._expire, daemon=True).start()

    def put(self, key, value):
        """Writes as the operator or a worker does."""
        with self.cond:
            self.rev += 1
            self._write(key, json.dumps(value).encode(), 0)
            self.cond.notify_all()

    def delete(self, key):
        with self.cond:
            if key in self.items:
                self.rev += 1
                self._remove(key)
                self.cond.notify_all()

    def _write(self, key, value, lease):
        old = self.items.get(key)
        created = old["created"] if old else self.rev
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.rev,
                           "created": created, "lease": lease}
        self.events.append((self.rev, key, dict(self.items[key])))

    def _remove(self, key):
        if self.items.pop(key, None):
            self.events.append((self.rev, key, {"key": key, "rev": self.rev, "deleted": True}))

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [k for k, i in self.items.items() if i["lease"] == lease]
        if gone:
            self.rev += 1
            for key in gone:
                self._remove(key)
            self.cond.notify_all()

    def _expire(self):
        while True:
            time.sleep(0.02)
            with self.cond:
                now = time.monotonic()
                for lease in [l for l, (end, _) in self.leases.items() if end <= now]:
                    self._end_lease(lease)

    def handle(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        parsed = json.loads(body) if body else {}
        self.before(method, url.path, parsed)
        answer = self._call(method, url.path, query, parsed)
        if self.after(method, url.path, parsed, answer) == "lose":
            return None
        return answer

    def _call(self, method, path, query, body):
        with self.cond:
            if path == "/api/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {"asOf": self.rev}
                return 200, dict(item, asOf=self.rev)
            if path == "/api/kv-range":
                after = query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
                page = [self.items[k] for k in keys[:500]]
                return 200, {"items": page, "truncated": len(keys) > 500, "asOf": self.rev}
            if path == "/api/kv-watch":
                end = time.monotonic() + int(query["waitMs"]) / 1000
                start = int(query["after"])
                while True:
                    news = [e for rev, key, e in self.events
                            if rev > start and key.startswith(query["prefix"])]
                    left = end - time.monotonic()
                    if news or left <= 0:
                        return 200, {"events": news, "asOf": self.rev}
                    self.cond.wait(left)
            if path == "/api/kv-txn":
                return self._txn(body)
            if path == "/api/kv-lease":
                self.last_lease += 1
                ttl = max(1000, body["ttlMs"])
                self.leases[self.last_lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"lease": self.last_lease, "ttlMs": ttl}
            match = re.match(r"/api/kv-(keep|lease-end)/(\d+)$", path)
            if match:
                lease = int(match.group(2))
                if lease not in self.leases:
                    return 404, {}
                if match.group(1) == "lease-end":
                    self._end_lease(lease)
                    return 200, {}
                ttl = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"lease": lease, "ttlMs": ttl}
        return 400, {}

    def _txn(self, body):
        expect, writes = body.get("expect", []), body.get("writes", [])
        remove = body.get("remove", [])
        if len(expect) + len(writes) + len(remove) > 32:
            return 400, {}
        if any(e["key"].startswith(("op/", "servers/")) for e in writes):
            return 403, {}
        current = lambda k: self.items[k]["rev"] if k in self.items else 0
        if any(current(e["key"]) != e["rev"] for e in expect):
            items = [self.items.get(e["key"], {"key": e["key"], "rev": 0}) for e in expect]
            return 412, {"items": items}
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return 404, {}
        if writes or remove:
            self.rev += 1
            for write in writes:
                self._write(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
            for key in remove:
                self._remove(key)
            self.cond.notify_all()
        return 200, {"rev": self.rev}


class Worker:
    """A worker of a service. The text of a task is the milliseconds that it works."""

    def __init__(self, store, record, name, service, kind="a", zone="jepara-a", rack="r1", cpu=64000,
                 gpu=8):
        self.store, self.record, self.name = store, record, name
        self.service, self.zone, self.rack = service, zone, rack
        self.kind, self.cpu, self.gpu = kind, cpu, gpu
        self.port = 0
        self.lives = 0
        self.id = None
        self.up = False
        # Called once a start or a stop is carried out.
        self.on_start = lambda worker, task, run: None
        self.on_stop = lambda worker, task, run: None
        # All ends of all lives: task, run and how.
        self.history = []
        self.cond = threading.Condition()

    def boot(self, same_id=False, kind=None):
        """Begins a life, under the identifier of the life before or under a new one."""
        self.kind = kind or self.kind
        self.lives += 1
        if not same_id or self.id is None:
            self.id = "%s-%d" % (self.name, self.lives)
        with self.cond:
            self.born = int(time.time() * 1000)
            self.steady = time.monotonic()
            self.token = 0
            self.running, self.ended, self.blocked = {}, [], {}
            self.last_end = 0
            self.lease = 0
            # When this life first answered a hold.
            self.held = None
            self.up = True
        self.server = HttpServer(self.handle, self.port)
        self.port = self.server.port
        self.seq = 0
        self.register()
        self.record.add("worker %s: life %d begins, id %s, kind %s" % (self.name, self.lives, self.id, self.kind))
        life = self.lives
        threading.Thread(target=self._run, args=(life,), daemon=True).start()
        threading.Thread(target=self._heartbeat, args=(life,), daemon=True).start()

    def register(self):
        self.seq += 1
        self.store.put("servers/" + self.id, {
            "service": self.service, "address": "%s:%d" % (HOST, self.port), "zone": self.zone,
            "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "seq": self.seq,
            "born": self.born, "machine": "m-" + self.name,
            "capacity": {"cpu": self.cpu, "memMb": 131072, "gpu": self.gpu},
            "labels": [self.kind, self.rack]})

    def crash(self, forget=False):
        """Ends the life without a word; `forget` also removes the entry, as after a silence."""
        with self.cond:
            lost = ["%s run %d" % key for key in self.running]
            self.up = False
            self.running = {}
            self.cond.notify_all()
        self.server.close()
        if forget:
            self.store.delete("servers/" + self.id)
        self.record.add("worker %s: crashes, with %s" % (self.name, ", ".join(lost) or "no runs"))

    def _heartbeat(self, life):
        while self.up and self.lives == life:
            time.sleep(1.5)
            if self.up and self.lives == life:
                self.register()

    def clock(self):
        return int((time.monotonic() - self.steady) * 1000) + 1000

    def _end(self, key, how):
        run = self.running.pop(key)
        self.last_end += 1
        saved = ""
        self.ended.append([self.last_end, key[0], key[1], how, saved])
        self.history.append((key[0], key[1], how))
        self.blocked[key[0]] = max(self.blocked.get(key[0], 0), key[1])
        self.record.add("worker %s: %s run %d ends %s" % (self.name, key[0], key[1], how))
        self.cond.notify_all()
        return run

    def _run(self, life):
        while True:
            time.sleep(0.01)
            with self.cond:
                if not self.up or self.lives != life:
                    return
                now = time.monotonic()
                if self.running and self.clock() > self.lease:
                    for key in list(self.running):
                        self._end(key, "lapsed")
                for key in [k for k, r in self.running.items() if r["stop"] and r["stop"] <= now]:
                    self._end(key, "stopped")
                for key in [k for k, r in self.running.items() if r["end"] <= now]:
                    self._end(key, "done")

    def handle(self, method, target, headers, body):
        life = self.lives
        if not self.up:
            return None
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {"born": self.born}
        call = json.loads(body) if body else {}
        with self.cond:
            if target == "/api/run-start":
                answer = self._start(call)
            elif target == "/api/run-stop":
                answer = self._stop(call)
            elif target == "/api/hold":
                answer = self._hold(call)
            else:
                answer = 400, {}
        if target == "/api/run-start" and answer[0] == 200:
            self.on_start(self, call["task"], call["run"])
        if target == "/api/run-stop" and answer[0] == 200:
            self.on_stop(self, call["task"], call["run"])
        if target == "/api/hold" and answer[0] == 200:
            self.held = self.held or time.monotonic()
        # A life that has ended says nothing more.
        return answer if self.up and self.lives == life else None

    def _extend(self, deadline):
        most = self.clock() + BOUNDS["maxHoldMs"]
        self.lease = max(self.lease, min(deadline, most))

    def _fence(self, call):
        token = call.get("fencingToken", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def _start(self, call):
        said = {"clockMs": self.clock(), "born": self.born}
        refuse = lambda reason: (409, dict(said, reason=reason))
        if self._fence(call):
            return refuse("fence")
        key = (call["task"], call["run"])
        if call["deadlineMs"] <= self.clock():
            return refuse("late")
        if key in self.running:
            return 200, said
        self._extend(call["deadlineMs"])
        if self.blocked.get(key[0], 0) >= key[1] or any(
                k[0] == key[0] and k[1] >= key[1] for k in self.running):
            return refuse("old")
        work = int(call["spec"].split()[0]) / 1000
        now = time.monotonic()
        self.running[key] = {"began": now, "end": now + work, "work": work, "stop": None}
        self.record.add("worker %s (id %s, kind %s): starts %s run %d, token %d" % (
            self.name, self.id, self.kind, key[0], key[1], self.token))
        return 200, said

    def _stop(self, call):
        said = {"clockMs": self.clock(), "born": self.born}
        if self._fence(call):
            return 409, dict(said, reason="fence")
        key = (call["task"], call["run"])
        self.blocked[key[0]] = max(self.blocked.get(key[0], 0), key[1])
        if key in self.running and not self.running[key]["stop"]:
            self.running[key]["stop"] = time.monotonic() + 0.1
            self.record.add("worker %s: is told to stop %s run %d" % (self.name, key[0], key[1]))
        return 200, said

    def _hold(self, call):
        if self._fence(call):
            return 409, {"clockMs": self.clock(), "born": self.born, "reason": "fence"}
        if "deadlineMs" in call:
            self._extend(call["deadlineMs"])
        self.ended = [e for e in self.ended if e[0] > call.get("lastSeen", 0)]
        end = time.monotonic() + min(call.get("waitMs", 0), 2000) / 1000
        while self.up and not self.ended and time.monotonic() < end:
            self.cond.wait(end - time.monotonic())
        now = time.monotonic()
        percent = lambda r: int(min(99, (now - r["began"]) / max(r["work"], 0.001) * 100))
        rows = [[k[0], k[1], "", percent(r)] for k, r in self.running.items()]
        return 200, {"clockMs": self.clock(), "born": self.born, "running": rows,
                     "finished": self.ended[:500]}


def route(name, service, prefix, **more):
    return dict({"name": name, "host": "jobs.example", "prefix": prefix, "service": service,
                 "priority": 1, "attempts": 4, "stretch": 3.0, "targetDurationMs": 3000}, **more)


def config(version, routes, tenants):
    services = sorted({r["service"] for r in routes})
    return {"version": version, "routes": routes, "tenants": tenants,
            "services": [{"name": s, "rejectsOverload": False, "healthPath": "/health"} for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def free_ports(count):
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((HOST, 0))
    ports = [s.getsockname()[1] for s in socks]
    for sock in socks:
        sock.close()
    return ports


class Daemon:
    """The program that deploy/system.toml names, as a process of its own."""

    def __init__(self, case, name, zone="jepara-a"):
        self.case, self.name = case, name
        front, ready, metrics = free_ports(3)
        self.front = front
        values = {
            "node": name, "zone": zone, "ip": HOST, "internalPorts": [metrics, metrics],
            "listenAddrs": {"front": "%s:%d" % (HOST, front), "ready": "%s:%d" % (HOST, ready)},
            "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "bounds": BOUNDS, "platform": {"address": case.store.addr},
        }
        self.ready = ready
        with open(os.path.join(REPO, "deploy", "settings.json"), encoding="utf-8") as file:
            text = file.read()
        self.settings = os.path.join(case.temp, name + ".json")

        def fill(match):
            value = values
            for part in match.group(1).split("."):
                value = value[int(part)] if isinstance(value, list) else value[part]
            return json.dumps(value) if match.group(2) else str(value)

        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text))
        self.process = None

    def start(self):
        log = open(os.path.join(self.case.temp, self.name + ".log"), "a", encoding="utf-8")
        program = os.path.join(REPO, "target", "release", "bulrushlinkd")
        # A thread may start a process again while the case ends.
        with self.case.ending:
            if self.case.ended:
                return
            self.process = subprocess.Popen(
                [program, "platform", "--settings", self.settings], cwd=REPO, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "BULRUSHLINK_SETTINGS": self.settings})
        self.case.record.add("daemon %s: starts" % self.name)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.case.record.add("daemon %s: is killed" % self.name)

    def log(self):
        with open(os.path.join(self.case.temp, self.name + ".log"), encoding="utf-8") as file:
            return file.read()

    def is_ready(self):
        try:
            return ask(self.ready, "GET", "/api/ready", timeout=1)[0] == 200
        except OSError:
            return False


def ask(port, method, path, body=None, key=None, host="jobs.example", timeout=3):
    """Sends one request; returns the status and the decoded body."""
    conn = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        headers = {"Host": host, "Deadline-Ms": str(int(timeout * 1000))}
        if key:
            headers["Authorization"] = "Token " + key
        text = json.dumps(body) if body is not None else None
        if text:
            headers["Content-Type"] = "application/json"
        conn.request(method, path, body=text, headers=headers)
        response = conn.getresponse()
        data = response.read()
        try:
            return response.status, json.loads(data) if data else {}
        except ValueError:
            return response.status, {}
    finally:
        conn.close()


class CannotRun(Exception):
    """Something that the case needs didn't come about."""


class Case:
    """Starts and ends everything, and turns what `play` returns into the exit status."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temp = tempfile.mkdtemp(prefix="bulrushlink-case-")
        self.store = Store()
        self.daemons, self.workers = [], []
        self.ending, self.ended = threading.Lock(), False

    def worker(self, name, service, **more):
        worker = Worker(self.store, self.record, name, service, **more)
        worker.boot()
        self.workers.append(worker)
        return worker

    def daemon(self, name, **more):
        daemon = Daemon(self, name, **more)
        self.daemons.append(daemon)
        daemon.start()
        return daemon

    def ask(self, daemon, method, path, body=None, key=None, timeout=3):
        """A consumer's request; no answer counts as status 0."""
        what = "%s %s%s" % (method, path, " key " + key if key else "")
        self.record.add("consumer to %s: %s %s" % (daemon.name, what, json.dumps(body) if body else ""))
        try:
            status, reply = ask(daemon.front, method, path, body, key, timeout=timeout)
        except (OSError, http.client.HTTPException) as error:
            status, reply = 0, {"error": str(error)}
        self.record.add("answer of %s to %s: %d %s" % (daemon.name, what, status, json.dumps(reply)))
        return status, reply

    def submit(self, daemon, path, body, key=None, tries=5):
        """Hands a job in, again after an answer that leaves the outcome open or asks to come back."""
        for _ in range(tries):
            status, reply = self.ask(daemon, "POST", path, body, key)
            if status not in (0, 429, 502, 503, 504):
                return status, reply
            time.sleep(0.5)
        raise CannotRun("the job is not accepted: %s" % path)

    def wait(self, what, holds, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if holds():
                return
            time.sleep(0.02)
        raise CannotRun("%s did not come about in %g s" % (what, seconds))

    def wait_until_placing(self, seconds=15):
        """Waits until all daemons are ready and one of them places tasks."""
        self.wait("readiness", lambda: all(d.is_ready() for d in self.daemons), seconds)
        self.wait("an active placer", lambda: self.leader() is not None, seconds)

    def leader(self):
        """The daemon that holds the leader's key, once it places tasks."""
        item = self.store.items.get("bulrushlink/leader")
        if item is None:
            return None
        name = base64.b64decode(item["value"]).decode().split("/")[0]
        found = [d for d in self.daemons if d.name == name]
        epoch = '"epoch":"%d"' % item["created"]
        if found and any('"event":"placer_active"' in l and epoch in l for l in found[0].log().splitlines()):
            return found[0]
        return None

    def close(self):
        with self.ending:
            self.ended = True
        for daemon in self.daemons:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()
        for worker in self.workers:
            if worker.up:
                worker.up = False
                worker.server.close()
        self.store.server.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)


def run(folder, play):
    """Plays a case: exits with 1 if `play` returns what broke a rule, 0 if it returns nothing, and 2
    if the case couldn't run."""
    case = Case(folder)
    status = 2

    def give_up():
        time.sleep(LIMIT_S)
        case.record.add("the case took too long")
        case.close()
        os._exit(2)

    threading.Thread(target=give_up, daemon=True).start()
    try:
        broken = play(case)
        for line in broken:
            case.record.add("BROKEN: " + line)
            print("broken: " + line)
        if not broken:
            case.record.add("the rule held")
            print("the rule held")
        status = 1 if broken else 0
    except CannotRun as error:
        case.record.add("the case couldn't run: %s" % error)
        print("the case couldn't run: %s" % error)
    finally:
        case.close()
    sys.stdout.flush()
    os._exit(status)
