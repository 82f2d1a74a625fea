"""Stand-ins for the users' platform: its store, its workers and its clients,
as PROTOCOL.md describes them, and a small installation of the project's own
processes between them. Standard library only; loopback addresses only."""

import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "bin", "tanagerlandingd")
HOST = "shop.example"


class CannotRun(Exception):
    """The case could not be set up; it says nothing about the rule."""


TAKEN_PORTS = set()


def free_port():
    """Returns a free port below those that the system gives to outgoing
    channels, so that none of these takes it before it is used."""
    while True:
        port = random.randrange(15000, 30000)
        if port in TAKEN_PORTS:
            continue
        TAKEN_PORTS.add(port)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def wait_for(condition, limit=20.0, step=0.02):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(step)
    return bool(condition())


class Reader:
    """Reads lines and byte counts from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def fill(self):
        piece = self.sock.recv(65536)
        if not piece:
            raise EOFError
        self.buffer += piece

    def line(self):
        while b"\n" not in self.buffer:
            self.fill()
        line, self.buffer = self.buffer.split(b"\n", 1)
        return line.rstrip(b"\r").decode("latin-1")

    def exactly(self, count):
        if len(self.buffer) >= count:
            piece, self.buffer = self.buffer[:count], self.buffer[count:]
            return piece
        whole = bytearray(count)
        filled = len(self.buffer)
        whole[:filled] = self.buffer
        self.buffer = b""
        view = memoryview(whole)
        while filled < count:
            received = self.sock.recv_into(view[filled:])
            if not received:
                raise EOFError
            filled += received
        return bytes(whole)

    def head(self):
        """Returns the first line and the headers, with names in lower case."""
        first = self.line()
        headers = {}
        while True:
            line = self.line()
            if not line:
                return first, headers
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()

    def chunk(self):
        """Returns the next chunk; empty at the end of the body."""
        size = int(self.line().split(";")[0], 16)
        piece = self.exactly(size)
        if size == 0:
            while self.line():
                pass
        else:
            self.line()
        return piece

    def body(self, headers):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            whole = b""
            while True:
                piece = self.chunk()
                if not piece:
                    return whole
                whole += piece
        return self.exactly(int(headers.get("content-length", "0")))


class Server:
    """An HTTP server with a thread for each connection. answer() gets the
    socket, the first line, the headers and the body, and returns whether the
    connection is kept."""

    def __init__(self, answer, port=0):
        self.answer = answer
        self.lock = threading.Lock()
        self.open = set()
        self.is_closed = False
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(512)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if self.is_closed:
                    caller.close()
                    continue
                self.open.add(caller)
            threading.Thread(target=self.serve, args=(caller,), daemon=True).start()

    def serve(self, caller):
        reader = Reader(caller)
        try:
            while True:
                first, headers = reader.head()
                if not self.answer(caller, first, headers, reader.body(headers)):
                    break
        except (OSError, EOFError, ValueError):
            pass
        with self.lock:
            self.open.discard(caller)
        caller.close()

    def cut(self):
        """Resets all connections."""
        with self.lock:
            cut, self.open = self.open, set()
        for each in cut:
            try:
                each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def close(self):
        """Ends like a process that is killed."""
        with self.lock:
            self.is_closed = True
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        self.cut()


def send_answer(caller, status, headers, body=b""):
    text = "HTTP/1.1 %d X\r\n" % status
    for name, value in headers.items():
        text += "%s: %s\r\n" % (name, value)
    text += "Content-Length: %d\r\n\r\n" % len(body)
    caller.sendall(text.encode() + body)


class Store:
    """The platform's store: keys with revisions, watches, conditional
    transactions and leases."""

    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 100
        self.is_down = False
        self.delay = 0.0
        self.server = Server(self.answer)
        self.port = self.server.port

    def put(self, key, value, lease=0):
        """As the operator or a worker writes."""
        with self.changed:
            self.write(key, value if isinstance(value, bytes) else value.encode(), lease)

    def remove(self, key):
        with self.changed:
            self.erase(key)

    def get(self, key):
        with self.changed:
            item = self.items.get(key)
            return item["raw"].decode() if item else None

    def set_down(self, is_down):
        """While it is down, calls get 503."""
        with self.changed:
            self.is_down = is_down
            self.changed.notify_all()

    def write(self, key, raw, lease):
        self.revision += 1
        before = self.items.get(key)
        item = {"raw": raw, "revision": self.revision, "lease": lease,
                "created": before["created"] if before else self.revision}
        self.items[key] = item
        self.history.append((self.revision, key, dict(item)))
        self.changed.notify_all()

    def erase(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append((self.revision, key, None))
        self.changed.notify_all()

    def expire(self):
        now = time.monotonic()
        if self.is_down:
            return
        for lease in [each for each, (_, until) in self.leases.items() if until <= now]:
            del self.leases[lease]
            for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                self.erase(key)

    @staticmethod
    def shown(key, item):
        return {"key": key, "value": base64.b64encode(item["raw"]).decode(),
                "revision": item["revision"], "created": item["created"],
                "lease": item["lease"]}

    def answer(self, caller, first, headers, body):
        method, target, _ = first.split(" ")
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if self.delay:
            time.sleep(self.delay)
        with self.changed:
            self.expire()
            if self.is_down:
                status, reply = 503, {"error": "down"}
            elif path == "/kv-range":
                status, reply = self.range(fields)
            elif path == "/kv-watch":
                status, reply = self.watch(fields)
            elif path == "/kv-key":
                item = self.items.get(fields["key"])
                status, reply = (200, self.shown(fields["key"], item)) if item else (404, {})
            elif path == "/kv-txn":
                status, reply = self.transact(json.loads(body))
            elif path == "/kv-lease":
                lease = self.next_lease = self.next_lease + 1
                ttl = json.loads(body)["ttlMs"] / 1000.0
                self.leases[lease] = (ttl, time.monotonic() + ttl)
                status, reply = 200, {"lease": lease, "ttlMs": int(ttl * 1000)}
            elif path.startswith("/kv-keep/"):
                lease = int(path.rsplit("/", 1)[1])
                if lease in self.leases:
                    ttl = self.leases[lease][0]
                    self.leases[lease] = (ttl, time.monotonic() + ttl)
                    status, reply = 200, {"ttlMs": int(ttl * 1000)}
                else:
                    status, reply = 404, {}
            else:
                status, reply = 404, {}
        send_answer(caller, status, {"Content-Type": "application/json"},
                    json.dumps(reply).encode())
        return True

    def range(self, fields):
        prefix, after = fields["pathPrefix"], fields.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return 200, {"items": [self.shown(k, self.items[k]) for k in keys[:500]],
                     "hasMore": len(keys) > 500, "asOf": self.revision}

    def watch(self, fields):
        prefix, after = fields["pathPrefix"], int(fields["after"])
        end = time.monotonic() + int(fields["waitMs"]) / 1000.0
        while True:
            self.expire()
            if self.is_down:
                return 503, {}
            events = []
            for revision, key, item in self.history:
                if revision > after and key.startswith(prefix):
                    events.append(self.shown(key, item) if item else
                                  {"key": key, "revision": revision, "deleted": True})
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            self.changed.wait(min(left, 0.1))

    def transact(self, body):
        for each in body.get("expectedRevision", []):
            item = self.items.get(each["key"])
            if (item["revision"] if item else 0) != each["revision"]:
                return 412, {"items": [self.shown(k["key"], self.items[k["key"]])
                                       for k in body["expectedRevision"]
                                       if k["key"] in self.items]}
        for each in body.get("setKeys", []):
            if each.get("lease") and each["lease"] not in self.leases:
                return 404, {}
        for each in body.get("setKeys", []):
            self.write(each["key"], base64.b64decode(each["value"]), each.get("lease", 0))
        for key in body.get("remove", []):
            self.erase(key)
        return 200, {"revision": self.revision}


class Worker:
    """A worker. Plain requests get one answer; turns and streams get events,
    from the one after Last-Event-Id if that is sent."""

    def __init__(self, store, name, service="app", version="v1", zone="z", events=4,
                 interval=0.05, work=0.02, port=0, born=None, register=True):
        self.store, self.id, self.service = store, name, service
        self.version, self.zone = version, zone
        self.events, self.interval, self.work = events, interval, work
        self.slowness = 1.0
        self.headers = {}
        self.lock = threading.Lock()
        self.runs = []
        self.ended = []
        self.sequence = 0
        self.state = "ready"
        self.is_alive = True
        self.born = born or int(time.time() * 1000)
        self.server = Server(self.answer, port)
        self.port = self.server.port
        if register:
            self.register()

    def register(self):
        self.sequence += 1
        self.store.put("servers/" + self.id, json.dumps({
            "service": self.service, "address": "127.0.0.1:%d" % self.port,
            "zone": self.zone, "version": self.version, "slots": 12,
            "state": self.state, "coldRemainingMs": 0, "sequence": self.sequence,
            "born": self.born}))

    def crash(self):
        """Ends without a word."""
        self.is_alive = False
        self.server.close()

    def text_of(self, number, request_id):
        return "%s-%d" % (request_id, number)

    def answer(self, caller, first, headers, body):
        method, target, _ = first.split(" ")
        request_id = headers.get("request-id", "")
        fields = {"Request-Id": request_id}
        fields.update(self.headers)
        if headers.get("expect-instance", self.id) != self.id:
            send_answer(caller, 421, dict(fields, **{"Instance-Id": self.id}))
            return True
        run = {"id": request_id, "at": time.monotonic(), "path": target,
               "body": body.decode("latin-1"), "worker": self.id,
               "version": self.version, "after": headers.get("last-event-id"),
               "previous": headers.get("previous-turn"), "ended": None,
               "time_remaining": headers.get("time-remaining")}
        with self.lock:
            self.runs.append(run)
        try:
            return self.run(caller, headers, fields, run)
        finally:
            run["ended"] = time.monotonic()

    def run(self, caller, headers, fields, run):
        fields["Response-Signature"] = "s." + run["id"]
        time.sleep(self.work * self.slowness)
        if "token-usage" not in headers:
            send_answer(caller, 200, fields, b"answer to " + run["id"].encode())
            return True
        text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        for name, value in fields.items():
            text += "%s: %s\r\n" % (name, value)
        caller.sendall((text + "Transfer-Encoding: chunked\r\n\r\n").encode())
        start = int(headers.get("last-event-id", "0") or 0)
        for number in range(start + 1, self.events + 1):
            event = "id: %d\ndata: %s\n\n" % (number, self.data_of(run, number))
            caller.sendall(("%x\r\n%s\r\n" % (len(event), event)).encode())
            if number < self.events:
                time.sleep(self.interval * self.slowness)
        caller.sendall(b"0\r\n\r\n")
        return True

    def data_of(self, run, number):
        return "%s:%d" % (self.version, number)

    def ran(self, request_id):
        with self.lock:
            return [each for each in self.runs if each["id"] == request_id]


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_whole = False
        self.events = []
        self.error = ""

    def __str__(self):
        return "status %d, %s, %d events%s" % (
            self.status, "whole" if self.is_whole else "not whole", len(self.events),
            ", " + self.error if self.error else "")


def parse_events(text):
    found = []
    for part in text.split("\n\n")[:-1]:
        event = {"id": None, "data": []}
        for line in part.split("\n"):
            if line.startswith("id:"):
                event["id"] = int(line[3:])
            elif line.startswith("data:"):
                event["data"].append(line[5:].lstrip(" "))
        found.append((event["id"], "\n".join(event["data"])))
    return found


class Channel:
    """A client's channel to one front machine."""

    def __init__(self, port, timeout=30.0):
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=1.0)
        self.sock.settimeout(timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.sock)

    def send(self, method, path, headers, body=b"", on_events=None):
        """Sends a request and reads its answer. on_events is called with the
        events so far whenever some have arrived; if it returns False, the
        client leaves."""
        answer = Answer()
        fields = {"Host": HOST}
        fields.update(headers)
        text = "%s %s HTTP/1.1\r\n" % (method, path)
        for name, value in fields.items():
            text += "%s: %s\r\n" % (name, value)
        if body or method == "POST":
            text += "Content-Length: %d\r\n" % len(body)
        try:
            self.sock.sendall(text.encode() + b"\r\n" + body)
            first, answer.headers = self.reader.head()
            while first.split(" ")[1].startswith("1"):
                first, answer.headers = self.reader.head()
            answer.status = int(first.split(" ")[1])
            if answer.headers.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    piece = self.reader.chunk()
                    if not piece:
                        break
                    answer.body += piece
                    answer.events = parse_events(answer.body.decode("latin-1"))
                    if on_events and on_events(answer.events) is False:
                        answer.error = "the client left"
                        return answer
            else:
                answer.body = self.reader.body(answer.headers)
            answer.is_whole = True
        except (OSError, EOFError, ValueError, IndexError) as failed:
            answer.error = "channel ended: " + (type(failed).__name__)
        return answer

    def close(self):
        self.sock.close()


def send(port, method, path, headers, body=b"", timeout=30.0, on_events=None):
    """Sends a request on a new channel."""
    try:
        channel = Channel(port, timeout)
    except OSError as failed:
        answer = Answer()
        answer.error = "no channel: " + type(failed).__name__
        return answer
    try:
        return channel.send(method, path, headers, body, on_events)
    finally:
        channel.close()


def route(name, prefix, kind, service="app", **more):
    found = {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
             "timeoutMs": 3000, "targetLatencyMs": 200, "priority": 0,
             "service": service, "attempts": 1, "sticky": False}
    found.update(more)
    return found


def configuration(version, routes, services=("app",), tokens_per_event=11):
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": each, "healthPath": "/health", "connectionLimit": 170,
                      "protocol": "h1", "tls": False,
                      "engine": {"slots": 12, "tokensPerEvent": tokens_per_event}}
                     for each in services],
        "limits": {"headerBytes": 16384, "bodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})


class Site:
    """Front and storage machines of a small installation: the project's own
    processes, with the commands of the deploy file."""

    BOUNDS = {"seedLagS": 3, "addressReuseS": 2, "contactTimeoutMs": 3000,
              "confirmMs": 4000, "catchUpS": 4.4, "drainMs": 2000, "graceS": 8,
              "lossSlackMs": 200, "applyDeadlineMs": 2000, "downgradeSlackMs": 250,
              "outerBoundMs": 5000, "recoveryS": 12, "passMs": 120,
              "retryAfterS": 0, "finishS": 10, "settleMs": 1000}

    def __init__(self, record, fronts=2, storages=3):
        if not os.access(DAEMON, os.X_OK):
            raise CannotRun("the deploy file's build has not been run")
        self.started = time.monotonic()
        self.record_file = open(record, "w")
        self.record_lock = threading.Lock()
        self.folder = tempfile.mkdtemp(prefix="tanagerlanding-review-")
        self.store = Store()
        self.processes = {}
        self.fronts = ["front-%d" % n for n in range(1, fronts + 1)]
        self.storages = ["storage-%d" % n for n in range(1, storages + 1)]
        self.front_port = {n: free_port() for n in self.fronts}
        self.ready_port = {n: free_port() for n in self.fronts}
        self.peer_port = {n: free_port() for n in self.storages}

    def add_storage(self, name):
        """A storage machine that is added, at an address of its own."""
        self.storages.append(name)
        self.peer_port[name] = free_port()

    def record(self, text):
        with self.record_lock:
            self.record_file.write("%8.3f  %s\n" % (time.monotonic() - self.started, text))
            self.record_file.flush()

    def settings(self, name):
        is_front = name in self.fronts
        listen = ({"front": "127.0.0.1:%d" % self.front_port[name],
                   "ready": "127.0.0.1:%d" % self.ready_port[name]} if is_front else
                  {"control": "127.0.0.1:%d" % self.peer_port[name]})
        return {
            "nodeName": name, "role": "relay" if is_front else "ledger",
            "machineClass": "front" if is_front else "storage",
            "serves": ["front"] if is_front else ["storage", "control"],
            "ipAddress": "127.0.0.1", "zone": "z", "region": "r", "zones": {"z": "r"},
            "listenAddresses": listen, "internalPortRange": [7380, 7395],
            "seeds": ["127.0.0.1:%d" % p for p in list(self.peer_port.values())[:3]],
            "bootstrap": True, "faultCounted": not is_front,
            "limits": {"cpuShare": 0.5, "cores": 1, "memoryMb": 110 if is_front else 130,
                       "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 390},
            "dataDirectory": None if is_front else os.path.join(self.folder, name),
            "discovery": "platform", "entry": "virtual_ip", "heartbeatIntervalMs": 1200,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": self.BOUNDS,
            "platform": {"address": "127.0.0.1:%d" % self.store.port, "form": "kv",
                         "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                         "valueBytes": 1048576, "ttlMinMs": 1000}}

    def start(self, name):
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as out:
            json.dump(self.settings(name), out)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["TANAGERLANDING_BOOT"] = path
        log = open(os.path.join(self.folder, name + ".log"), "a")
        role = "relay" if name in self.fronts else "ledger"
        self.processes[name] = subprocess.Popen(
            [DAEMON, role], cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)
        log.close()
        self.record("%s starts" % name)

    def start_all(self):
        for name in self.storages + self.fronts:
            self.start(name)
        for name in self.fronts:
            if not wait_for(lambda: self.is_ready(name)):
                raise CannotRun(name + " did not become ready")

    def is_ready(self, name):
        try:
            return send(self.ready_port[name], "GET", "/ready", {}, timeout=1.0).status == 200
        except OSError:
            return False

    def log_of(self, name):
        with open(os.path.join(self.folder, name + ".log"), errors="replace") as log:
            return log.read()

    def signal(self, name, number):
        self.record("%s gets %s" % (name, signal.Signals(number).name))
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def wipe(self, name):
        """The machine has lost its disk."""
        shutil.rmtree(os.path.join(self.folder, name), ignore_errors=True)
        self.record("%s has lost its disk" % name)

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except OSError:
                    pass
                process.wait()
        self.store.server.close()
        self.record_file.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs are in", self.folder)


def turn_headers(request_id, program="p1", session="s1", previous=None, budget=100000,
                 most=110, time_remaining=3000, program_deadline=20000, **more):
    headers = {"Request-Id": request_id, "Time-Remaining": time_remaining,
               "Program-Id": program, "Session-Id": session,
               "Program-Deadline": program_deadline, "Token-Budget": budget,
               "Token-Usage": "100,%d" % most, "Model": "m"}
    if previous:
        headers["Previous-Turn"] = previous
    headers.update({name.replace("_", "-"): value for name, value in more.items()})
    return headers


def main(case, folder):
    """Runs a case: case(site_folder, has_trouble) returns whether the rule held."""
    import sys
    import traceback
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = case(os.path.join(folder, "record.txt"), has_trouble)
    except CannotRun as failed:
        print("the case could not run:", failed)
        sys.exit(2)
    except Exception:
        traceback.print_exc()
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
