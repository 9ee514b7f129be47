"""Stand-in of the platform for the scripts of the review: store, workers, hosts and callers on loopback addresses.

Standard library only. It follows the pages of the platform (PROTOCOL.md) for what the scripts use: the keyed log with
conditions, producers, epochs and size limits; the registry; workers with incarnations, fencing tokens, leases, ends and
checkpoints. A cut of a link drops what arrives while it lasts, in both directions; its connections end when it heals.
"""

import asyncio
import base64
import bisect
import json
import os
import random
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "yuccahoist-entry")

# Bounds of the site file that all cases name (further/treidelstall.toml).
HEARTBEAT_MS = 1500
HOLD_MAX_MS = 10_000
STOP_MS = 900
CANCEL_MS = 3_000
CONTACT_MS = 3_000
VISIBLE_MS = 3_000
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
ANSWER_S = 0.004
APPEND_S = 0.002
QUEUE_HOST = "queue.example"


class Broken(Exception):
    """The case could not run."""


class Link:
    """Path to a server; while it is down, nothing passes in either direction."""

    def __init__(self):
        self.down = False
        self.cuts = 0

    def cut(self):
        self.down = True
        self.cuts += 1

    def heal(self):
        self.down = False


class Server:
    """Small HTTP/1.1 server; `handler(method, path, query, headers, body)` returns status and body."""

    def __init__(self, handler, link):
        self.handler, self.link = handler, link
        self.server, self.port, self.ip = None, None, "127.0.0.1"
        self.connections = set()

    async def start(self, ip="127.0.0.1", port=0):
        self.ip = ip
        self.server = await asyncio.start_server(self.serve, ip, port, backlog=1024, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    def stop(self):
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        cuts = self.link.cuts
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if self.link.down or self.link.cuts != cuts:
                    break
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query))
                status, answer = await self.handler(method, parts.path, query, headers, body)
                if self.link.down or self.link.cuts != cuts:
                    break
                if status is None:
                    break
                if isinstance(answer, (dict, list)):
                    answer = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n" % (status, len(answer)) + answer)
                await writer.drain()
            # The connection stays silent until the cut has healed.
            while self.link.down:
                await asyncio.sleep(0.02)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()


class Log:
    """The platform's store."""

    def __init__(self, cell):
        self.cell = cell
        self.topics = {}
        self.changed = asyncio.Event()
        self.refused_bytes = 0

    def topic(self, name):
        return self.topics.setdefault(
            name, {"first": 0, "records": [], "newest": {}, "keys": None, "producers": {}, "lock": asyncio.Lock()}
        )

    def end(self, topic):
        return topic["first"] + len(topic["records"])

    def push(self, topic, record):
        key = record[1 : 1 + record[0]].decode()
        if (key in topic["newest"]) != bool(record[1 + record[0] :]):
            topic["keys"] = None
        value = record[1 + record[0] :]
        if value:
            topic["newest"][key] = (self.end(topic), value)
        else:
            topic["newest"].pop(key, None)
        topic["records"].append(record)
        if len(topic["records"]) > 4000:
            del topic["records"][:2000]
            topic["first"] += 2000

    def put(self, name, key, value):
        key = key.encode()
        self.push(self.topic(name), bytes([len(key)]) + key + value)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(ANSWER_S)
        topic = self.topic(query.get("topic", ""))
        if (method, path) == ("POST", "/log-append"):
            async with topic["lock"]:
                await asyncio.sleep(APPEND_S)
                return self.append(topic, query, body)
        if (method, path) == ("GET", "/log-newest"):
            if topic["keys"] is None:
                topic["keys"] = sorted(topic["newest"])
            start = bisect.bisect_right(topic["keys"], query["after"]) if "after" in query else 0
            keys, items, size = topic["keys"], [], 0
            for key in keys[start : start + 500]:
                offset, value = topic["newest"][key]
                size += len(value)
                if items and size > 1 << 20:
                    break
                items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
            return 200, {"items": items, "hasMore": start + len(items) < len(keys), "endOffset": self.end(topic)}
        if (method, path) == ("GET", "/log-read"):
            start = int(query["from"])
            until = time.monotonic() + int(query.get("maxWaitMs", "0")) / 1000
            while self.end(topic) <= start and time.monotonic() < until:
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), max(0.0, until - time.monotonic()))
                except asyncio.TimeoutError:
                    break
            if start < topic["first"]:
                return 410, {"firstOffset": topic["first"]}
            out, size = [struct.pack(">QQ", self.end(topic), topic["first"])], 0
            for record in topic["records"][start - topic["first"] :]:
                if size and size + len(record) > int(query.get("maxKb", "1024")) * 1024:
                    break
                size += len(record)
                out.append(struct.pack(">I", len(record)) + record)
            return 200, b"".join(out)
        return 404, {}

    def append(self, topic, query, body):
        records, at = [], 0
        while at + 4 <= len(body):
            (length,) = struct.unpack_from(">I", body, at)
            records.append(body[at + 4 : at + 4 + length])
            at += 4 + length
        end = self.end(topic)
        producer = None
        if "producerId" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            producer = topic["producers"].setdefault(query["producerId"], {"epoch": -1, "last": None, "recent": {}})
            if epoch < producer["epoch"]:
                return 409, {"reason": "fenced"}
            if epoch == producer["epoch"]:
                if sequence in producer["recent"]:
                    return 200, producer["recent"][sequence]
                if sequence != producer["last"] + 1:
                    return 409, {"reason": "seq", "sequence": producer["last"] + 1}
        if "at" in query and int(query["at"]) != end:
            return 412, {"endOffset": end}
        largest = max((len(r) for r in records), default=0)
        if largest > RECORD_BYTES or sum(map(len, records)) > CALL_BYTES:
            self.refused_bytes = max(self.refused_bytes, largest)
            return 400, {"error": "record or call is too large"}
        for record in records:
            self.push(topic, record)
        answer = {"offset": end, "endOffset": self.end(topic)}
        if producer is not None:
            if epoch > producer["epoch"]:
                producer["recent"] = {}
            producer["epoch"], producer["last"] = epoch, sequence
            producer["recent"][sequence] = answer
            while len(producer["recent"]) > 5:
                producer["recent"].pop(next(iter(producer["recent"])))
        self.wake()
        return 200, answer


class Worker:
    """One worker: a life at an address, which may crash and start again under its id."""

    def __init__(self, cell, name, rack="r1", cpu=16_000, mem=65_536):
        self.cell, self.id, self.rack, self.cpu, self.mem = cell, name, rack, cpu, mem
        self.link = Link()
        self.server = Server(self.handle, self.link)
        self.alive = False
        self.beats = True
        self.state = "ready"
        self.sequence = 0

    async def start(self, port=0):
        await self.server.start("127.0.0.1", port)
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic()
        self.token, self.deadline = 0, None
        self.runs, self.ended, self.last_end, self.highest = {}, [], 0, {}
        self.ending = asyncio.Event()
        self.alive = True
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    def crash(self):
        """The worker loses all that it runs, with its process."""
        self.cell.record("worker", self.id, "crashes; ran", " ".join(sorted(self.runs)) or "nothing")
        for task in list(self.runs):
            self.cell.ran(self, task, self.runs.pop(task), "crash")
        self.alive = False
        for task in self.tasks:
            task.cancel()
        self.server.stop()

    async def restart(self):
        """A new life under the same id and address."""
        port = self.server.port
        self.server = Server(self.handle, self.link)
        await self.start(port)
        self.write_entry()
        self.cell.record("worker", self.id, "is back as a new life")

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    def write_entry(self):
        self.sequence += 1
        self.last_beat = time.monotonic()
        entry = {
            "id": self.id, "service": "pool", "address": self.server.address, "zone": "z1", "version": "1", "slots": 8,
            "state": self.state, "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born,
            "capacity": {"cpuRequest": self.cpu, "memMb": self.mem, "gpuCount": 0}, "labels": ["a", self.rack],
        }
        if self.state == "draining":
            entry["remainingMs"] = 2000
        self.cell.log.put("keyed.servers", self.id, json.dumps(entry).encode())

    async def beat(self):
        self.last_beat = 0.0
        while self.alive:
            if self.beats and time.monotonic() - self.last_beat >= HEARTBEAT_MS / 1000:
                self.write_entry()
            await asyncio.sleep(0.01)

    def end(self, task, how):
        run = self.runs.pop(task)
        self.last_end += 1
        saved = self.saved(run) if how in ("stopped", "done") else run["saved"]
        self.ended.append([self.last_end, task, run["run"], how, saved])
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.cell.ran(self, task, run, how)
        self.ending.set()
        self.ending = asyncio.Event()

    def saved(self, run):
        if run["checkpoints"] and time.monotonic() - run["from"] >= 0.5:
            run["saved"] = "%016x" % random.getrandbits(64)
        return run["saved"]

    async def work(self):
        while self.alive:
            now = time.monotonic()
            if self.deadline is not None and self.runs and self.clock() > self.deadline:
                for task in list(self.runs):
                    self.end(task, "lapsed")
            for task, run in list(self.runs.items()):
                if run["stop_at"] is not None and now >= run["stop_at"]:
                    self.end(task, "stopped")
                elif now >= run["until"]:
                    self.end(task, run["how"])
            await asyncio.sleep(0.01)

    def report(self):
        now = time.monotonic()
        active = []
        for task, run in self.runs.items():
            span = max(run["until"] - run["from"], 0.001)
            percent = min(99, int((now - run["from"]) / span * 100)) if span < 10_000 else 100
            active.append([task, run["run"], run["saved"], percent, 0])
        return {"born": self.born, "clockMs": self.clock(), "activeRuns": active, "endedRuns": self.ended[:500]}

    def hold_until(self, deadline):
        if deadline is not None:
            longest = self.clock() + HOLD_MAX_MS
            self.extended = time.monotonic()
            self.deadline = max(self.deadline or 0, min(deadline, longest))

    async def handle(self, method, path, query, headers, body):
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock()}
        message = json.loads(body or b"{}")
        refused = lambda reason: (409, {"born": self.born, "clockMs": self.clock(), "reason": reason})
        token = message.get("fencingToken", 0)
        if token < self.token:
            return refused("fence")
        self.token = token
        if path == "/hold":
            self.hold_until(message.get("deadlineMs"))
            seen = message.get("lastSeen", 0)
            self.ended = [row for row in self.ended if row[0] > seen]
            wait = message.get("maxWaitMs", 0)
            if wait and not self.ended:
                try:
                    await asyncio.wait_for(self.ending.wait(), wait / 1000)
                except asyncio.TimeoutError:
                    pass
            return (200, self.report()) if self.alive else (None, b"")
        task, run = message.get("taskId"), message.get("runId")
        if path == "/run-start":
            current = self.runs.get(task)
            if current is not None and current["run"] == run:
                return 200, {"born": self.born, "clockMs": self.clock()}
            if run <= self.highest.get(task, 0) or (current is not None and current["run"] > run):
                self.hold_until(message.get("deadlineMs"))
                return refused("old")
            if message["deadlineMs"] <= self.clock():
                return refused("late")
            self.hold_until(message.get("deadlineMs"))
            seconds, how, checkpoints = self.cell.plan(self, task, run, message["specification"])
            now = time.monotonic()
            self.runs[task] = {
                "run": run, "from": now, "until": now + seconds, "how": how, "stop_at": None, "token": token,
                "saved": message.get("lastCheckpoint", ""), "checkpoints": checkpoints,
            }
            self.cell.started(self, task, run, token)
            return 200, {"born": self.born, "clockMs": self.clock()}
        if path == "/run-stop":
            current = self.runs.get(task)
            self.highest[task] = max(self.highest.get(task, 0), run)
            if current is not None and current["run"] <= run and current["stop_at"] is None:
                current["stop_at"] = time.monotonic() + 0.05
            return 200, {"born": self.born, "clockMs": self.clock()}
        if path == "/pace":
            return 200, {"born": self.born, "clockMs": self.clock()}
        return 404, {}


class Host:
    """A machine of the system with one process of the deploy file."""

    def __init__(self, cell, number):
        self.cell, self.name = cell, f"host-{number}"
        self.ip = f"127.{cell.net[0]}.{cell.net[1]}.{number}"
        self.store_link = Link()
        self.store = Server(cell.log.handle, self.store_link)
        self.process = None

    async def prepare(self):
        await self.store.start()
        self.settings = os.path.join(self.cell.folder, self.name + ".toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(
                f'nodeName = "{self.name}"\nnodeRole = "entry"\nzone = "z1"\nregion = "r"\nip = "{self.ip}"\n'
                f'internalPorts = [7720, 7735]\ncontrolMode = "invocation"\nheartbeatMs = {HEARTBEAT_MS}\n'
                f'[listenAddresses]\nfront = "{self.ip}:8161"\nready = "{self.ip}:8167"\ncontrol = "{self.ip}:8166"\n'
                "[limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = 260\nfileDescriptors = 4100\n"
                f"[bounds]\ngracePeriodS = 6\nholdMaxMs = {HOLD_MAX_MS}\nfarX = 2\n"
                f'[platform]\naddress = "{self.store.address}"\nform = "log"\nrecordBytes = {RECORD_BYTES}\n'
                f"callBytes = {CALL_BYTES}\n"
            )

    def start(self):
        self.output = open(os.path.join(self.cell.folder, self.name + ".log"), "ab")
        environment = {"YUCCAHOIST_BOOT": self.settings, "PATH": os.environ.get("PATH", ""), "HOME": self.cell.folder}
        self.process = subprocess.Popen(
            [PROGRAM], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=self.output, stderr=self.output
        )
        self.cell.record("host", self.name, "starts")

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.cell.record("host", self.name, "gets", signal.Signals(number).name)

    def memory_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def log_text(self):
        with open(os.path.join(self.cell.folder, self.name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()


async def http(ip, port, method, path, headers=None, body=b"", timeout=3.0):
    """Sends one request on a connection of its own; returns status and body, or None and the cause."""

    async def call():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(body)}", "connection: close"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            data = await reader.read(-1)
            head, _, rest = data.partition(b"\r\n\r\n")
            return int(head.split(b" ", 2)[1]), rest
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(call(), timeout)
    except (asyncio.TimeoutError, ConnectionError, OSError, IndexError, ValueError) as error:
        return None, type(error).__name__.encode()


class Cell:
    """All stand-ins and hosts of a case."""

    def __init__(self, folder_of_case, hosts=3):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.zero = time.monotonic()
        self.file = open(os.path.join(folder_of_case, "record.txt"), "w", encoding="utf-8")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = (random.randint(16, 250), random.randint(1, 250))
        self.log = Log(self)
        self.hosts = [Host(self, n + 1) for n in range(hosts)]
        self.workers, self.starts, self.ends = [], [], []
        self.durations = {}
        self.broken = []
        self.version = 0
        self.quiet = False
        self.record("TROUBLE is", int(self.trouble))

    def now(self):
        return time.monotonic() - self.zero

    def record(self, *words):
        self.file.write(f"{self.now():8.3f} " + " ".join(str(w) for w in words) + "\n")
        self.file.flush()

    def plan(self, worker, task, run, specification):
        """Returns how long a run works, how it ends, and whether it saves checkpoints."""
        return self.durations[specification](worker, task, run)

    def started(self, worker, task, run, token):
        self.starts.append((self.now(), worker.id, task, run))
        if not self.quiet:
            self.record("start", task, "run", run, "on", worker.id, "token", token)

    def ran(self, worker, task, run, how):
        end = self.now()
        self.ends.append((run["from"] - self.zero, end, worker.id, task, run["run"], how))
        if not self.quiet:
            self.record("end", task, "run", run["run"], "on", worker.id, how)

    def publish(self, queues):
        """Writes a configuration; `queues` are settings of routes by name."""
        self.version += 7
        routes = []
        for name, settings in queues.items():
            route = {
                "name": name, "host": QUEUE_HOST, "pathPrefix": f"/{name}/", "timeoutMs": 4000, "service": "pool",
                "targetLatencyMs": 2500, "priority": 1, "maxAttempts": 3, "stretchFactor": 2.0,
            }
            routes.append({**route, **settings})
        config = {
            "version": self.version, "routes": routes, "limits": {"maxBodyBytes": 262_144},
            "services": [{"name": "pool", "healthPath": "/health", "maxConnections": 64, "enforceCapacity": False}],
        }
        self.log.put("keyed.op", "config", json.dumps(config).encode())

    async def expire_entries(self):
        """Removes the entries of workers that were silent for three heartbeat intervals."""
        while True:
            await asyncio.sleep(0.05)
            for worker in self.workers:
                silent = time.monotonic() - getattr(worker, "last_beat", time.monotonic())
                if silent > 3 * HEARTBEAT_MS / 1000 and worker.id in self.log.topic("keyed.servers")["newest"]:
                    self.log.put("keyed.servers", worker.id, b"")
                    self.record("registry drops", worker.id, f"after {silent:.2f} s of silence")

    async def begin(self, queues, workers):
        if not os.access(PROGRAM, os.X_OK):
            raise Broken("target/release/yuccahoist-entry is missing; run the build of the deploy file")
        self.publish(queues)
        self.workers = workers
        for worker in workers:
            await worker.start()
        self.reaper = asyncio.create_task(self.expire_entries())
        for host in self.hosts:
            await host.prepare()
            host.start()
        for host in self.hosts:
            await self.until(lambda h=host: self.ready(h), 15, f"{host.name} is ready")
        await asyncio.sleep(1.0)

    async def ready(self, host):
        status, _ = await http(host.ip, 8167, "GET", "/readiness", timeout=1.0)
        return status == 200

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return True
            await asyncio.sleep(0.02)
        raise Broken(f"not within {seconds} s: {what}")

    async def call(self, host, method, queue, job, body=None, deadline=3000):
        data = b"" if body is None else json.dumps(body).encode()
        headers = {"host": QUEUE_HOST, "deadline-ms": deadline, "content-type": "application/json"}
        status, answer = await http(
            host.ip, 8161, method, f"/{queue}/{job}", headers, data, timeout=deadline / 1000 + 0.5
        )
        answer = answer.decode("utf-8", "replace")[:120]
        self.record(method, f"/{queue}/{job}", "at", host.name, "->", status if status else "no answer", answer)
        return status, answer

    async def state(self, host, queue, job):
        status, answer = await self.call(host, "GET", queue, job)
        return json.loads(answer).get("state") if status == 200 else status

    async def owner(self):
        """Returns the host that gave the last order to a worker, from the newest ownership announcement."""
        value = self.log.topic("keyed.owners")["newest"].get("owner")
        if value is None:
            return None
        name = value[1].decode().split(" ")[2]
        return next(host for host in self.hosts if host.name == name)

    def breaks(self, text):
        self.broken.append(text)
        self.record("BROKEN:", text)

    def stop(self):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def job_id():
    return "%016x" % random.getrandbits(64)


def main(folder, case, hosts=3, limit=115):
    """Runs a case; the exit code is 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

    async def run():
        cell = Cell(folder, hosts)
        code = 2
        try:
            await asyncio.wait_for(case(cell), limit)
            code = 1 if cell.broken else 0
        except Exception as error:
            cell.record("NOT RUN:", type(error).__name__, error)
        finally:
            cell.stop()
            cell.record("RESULT", {0: "held", 1: "broken", 2: "not run"}[code])
            cell.file.close()
        return code

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = asyncio.run(run())
    with open(os.path.join(folder, "record.txt"), encoding="utf-8") as file:
        lines = file.read().splitlines()
    print("\n".join(lines[-6:]))
    sys.stdout.flush()
    os._exit(code)
