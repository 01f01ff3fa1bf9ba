"""Stand-ins of the platform's store, the servers and the clients, for the scripts of the review.

They follow PROTOCOL.md and DEPLOY.md; where those pages are silent, they behave soundly.
Everything runs on loopback addresses, on the real clock, in one asyncio loop.
"""
import asyncio, base64, json, os, random, signal, socket, struct, sys, tempfile, time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
T0 = time.monotonic()


def now():
    return time.monotonic() - T0


class Record:
    """record.txt: one line an event, with the seconds since the start of the script."""

    def __init__(self, folder):
        self.out = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        self.out.write(f"{now():8.3f} {text}\n")
        self.out.flush()


def loopback():
    """A loopback address of its own, so that the fixed metrics port is free."""
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


async def read_head(reader):
    """Returns (first line, headers as a dict with lower-case names), or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        text = await reader.readline()
        if text in (b"\r\n", b"\n", b""):
            break
        name, _, value = text.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").strip(), headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store: topics with one partition, linearizable, sound unless told otherwise."""

    def __init__(self, record):
        self.record, self.topics, self.changed = record, {}, asyncio.Event()
        self.paused = asyncio.Event()
        self.paused.set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def append(self, topic, records):
        log = self.topics.setdefault(topic, [])
        first = len(log)
        log.extend(records)
        self.changed.set()
        self.changed = asyncio.Event()
        return first

    def put(self, topic, key, value):
        """Writes a keyed record as the operator or a server; its return is the acknowledgement."""
        name = key.encode()
        body = b"" if value is None else json.dumps(value).encode()
        self.append(topic, [bytes([len(name)]) + name + body])

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                status, answer = await self.answer(method, target, body)
                await self.paused.wait()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(answer)}\r\n\r\n".encode() + answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        args = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        topic = args.get("Topic", "")
        log = self.topics.setdefault(topic, [])
        if path == "/log-read":
            start = int(args["From"])
            deadline = time.monotonic() + int(args.get("WaitMs", "0")) / 1000
            while len(log) <= start and (left := deadline - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
            out = struct.pack(">QQ", len(log), 0)
            for content in log[start:]:
                out += struct.pack(">I", len(content)) + content
            return 200, out
        if path == "/log-newest":
            newest = {}
            for offset, content in enumerate(log):
                key, value = content[1:1 + content[0]].decode(), content[1 + content[0]:]
                newest.pop(key, None)
                if value:
                    newest[key] = (value, offset)
            items = [{"Key": k, "Value": base64.b64encode(v).decode(), "Offset": o} for k, (v, o) in sorted(newest.items())]
            return 200, json.dumps({"Items": items, "HasMore": False, "End": len(log)}).encode()
        if path == "/log-append":
            if "At" in args and int(args["At"]) != len(log):
                return 412, json.dumps({"End": len(log)}).encode()
            records, at = [], 0
            while at < len(body):
                (size,) = struct.unpack(">I", body[at:at + 4])
                records.append(body[at + 4:at + 4 + size])
                at += 4 + size
            first = self.append(topic, records)
            self.record(f"store: {topic} gets {records}")
            return 200, json.dumps({"Offset": first, "End": first + len(records)}).encode()
        return 404, b"{}"


class Server:
    """A sound server. `handler(server, request, writer)` writes the answer to a request that runs."""

    def __init__(self, record, store, name, service, zone, handler, version="v1", slots=16):
        self.record, self.store, self.id, self.service, self.zone = record, store, name, service, zone
        self.handler, self.version, self.slots = handler, version, slots
        self.born, self.sequence, self.running, self.runs = int(time.time() * 1000), 0, 0, []
        self.leaving = False

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.beat()
        self.beats = asyncio.create_task(self.keep_beating())

    def beat(self):
        self.sequence += 1
        self.store.put("keyed.servers", self.id, {
            "Service": self.service, "Address": self.addr, "Zone": self.zone, "Version": self.version,
            "Slots": self.slots, "State": "draining" if self.leaving else "ready", "WarmupLeftMs": 0,
            "Sequence": self.sequence, "born": self.born})

    async def keep_beating(self):
        while True:
            await asyncio.sleep(1.2)
            self.beat()

    def head(self, request, status, more=""):
        return (f"HTTP/1.1 {status} X\r\nAttempt-Id: {request['headers'].get('attempt-id', '')}\r\n"
                f"Server-Load: {self.running},0,{self.slots}\r\n{more}").encode()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                request = {"method": method, "target": target, "headers": headers, "body": body}
                if headers.get("expect-instance", self.id) != self.id:
                    writer.write(self.head(request, 421, f"Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n"))
                    await writer.drain()
                    continue
                self.running += 1
                run = asyncio.create_task(self.handler(self, request, writer))
                try:
                    while not run.done():
                        await asyncio.wait({run}, timeout=0.02)
                        if not run.done() and reader.at_eof():
                            self.record(f"server {self.id}: the entry closes the connection of "
                                        f"{headers.get('attempt-id')} while it runs")
                            run.cancel()
                            return
                    run.result()
                finally:
                    self.running -= 1
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def answer_whole(work_s, size=800):
    """Handler of a server that answers completely after `work_s`."""

    async def handler(server, request, writer):
        server.runs.append((now(), request["headers"].get("attempt-id")))
        await asyncio.sleep(work_s)
        body = b"x" * size
        writer.write(server.head(request, 200, f"Server-Seal: s.{server.id}\r\nContent-Length: {size}\r\n\r\n") + body)
        await writer.drain()

    return handler


class Entry:
    """One process of the router, started with the command of the deploy file."""

    def __init__(self, record, store, name, zone, zones, params=None, files=4200):
        self.record, self.name, self.ip = record, name, loopback()
        self.front, self.ready = f"{self.ip}:{free_port(self.ip)}", f"{self.ip}:{free_port(self.ip)}"
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.settings = os.path.join(self.folder, "settings.toml")
        params = {"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000,
                  "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250,
                  "MaxStretchMs": 5000, "StrictRevoke": True, "RevokeMs": 5000, "BudgetRatio": 0.9,
                  "BudgetWindowS": 10, "BudgetExtra": 52, "ExposeShare": 0.15, "ExposureSlack": 30,
                  "RollbackMs": 5000, "RecoverS": 12, "PassMs": 120, **(params or {})}
        text = (f'NodeName = "{name}"\nRole = "entry"\nMachineClass = "edge"\nServes = ["edge"]\nIp = "{self.ip}"\n'
                f'Zone = "{zone}"\nRegion = "eire"\nHeartbeatMs = 1200\n[Zones]\n'
                + "".join(f'{z} = "eire"\n' for z in zones)
                + f'[ListenAddrs]\nFront = "{self.front}"\nReady = "{self.ready}"\n'
                + f'[Limits]\nCpuShare = 0.19\nCores = 1\nMemoryMb = 260\nMaxFds = {files}\n[ContractParams]\n'
                + "".join(f"{k} = {json.dumps(v)}\n" for k, v in params.items())
                + f'[Platform]\nAddress = "{store.addr}"\nform = "log"\n')
        with open(self.settings, "w") as out:
            out.write(text)

    async def start(self):
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["QUETZALWORKS_BOOT"] = self.settings
        with open(os.path.join(ROOT, "deploy", "system.toml")) as deploy:
            run = next(line for line in deploy if line.startswith("run = ")).split('"')[1]
        self.log = open(os.path.join(self.folder, "log.jsonl"), "wb")
        self.process = await asyncio.create_subprocess_exec(*run.split(), cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        self.record(f"entry {self.name}: started as process {self.process.pid}")

    def signal(self, number):
        self.record(f"entry {self.name}: gets signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def until_ready(self, limit=10.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                self.record(f"entry {self.name}: is ready")
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self):
        try:
            ip, port = self.ready.split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 0.5)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 0.5)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def end(self):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def attempt_id():
    return "%016x" % random.getrandbits(64)


def request_bytes(method, path, host, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"] + [f"{k}: {v}" for k, v in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def finish(entries):
    for entry in entries:
        await entry.end()
