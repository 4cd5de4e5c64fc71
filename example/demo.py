"""One command to see it: a toy platform, a relay with traces on, a handful of messages, and the story of the worst.

It picks free ports on the loopback, needs no set-up, and ends by itself within some seconds.
"""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from http.server import ThreadingHTTPServer
from pathlib import Path

import toy_server

HERE = Path(__file__).parent
LIMIT_S = 20.0


class Endpoint(toy_server.Handler):
    """A scoreboard with moods: it is told by a message's id what to do with it."""

    tries: dict[str, int] = {}

    def do_POST(self) -> None:
        self.body()
        name = self.headers["Req-Id"]
        self.tries[name] = self.tries.get(name, 0) + 1
        if name == "late" and self.tries[name] == 1:
            self.answer(429, Wait_Ms="700")  # busy: come back in 700 ms
        elif name == "late":
            time.sleep(0.5)
            self.answer(200)
        elif name == "repeated" and self.tries[name] == 1:
            self.answer(500)
        else:
            time.sleep(0.1)
            self.answer(200)


def serve(handler: type[toy_server.Handler]) -> int:
    server = ThreadingHTTPServer(("127.0.0.1", 0), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return int(server.server_address[1])


def hand_in(relay: str, name: str, path: str = "/score-updates", dest: int = 7) -> int:
    headers = {"Req-Id": name, "Req-Deadline-Ms": "5000", "Envelope": f"dest={dest}", "Idempotency-Key": f"key-{name}"}
    request = urllib.request.Request(f"http://{relay}{path}", b"round 3: 41 points", headers, method="POST")
    try:
        with urllib.request.urlopen(request, timeout=LIMIT_S) as answer:
            return int(answer.status)
    except urllib.error.HTTPError as err:
        return err.code


def wait_for(what: str, done: object) -> None:
    until = time.monotonic() + LIMIT_S
    while not done():  # type: ignore[operator]
        if time.monotonic() > until:
            sys.exit(f"demo: {what} did not come within {LIMIT_S:.0f} s")
        time.sleep(0.05)


def is_ready(relay: str) -> bool:
    try:
        with urllib.request.urlopen(f"http://{relay}/health/ready", timeout=1):
            return True
    except OSError:
        return False


def free_port() -> int:
    import socket

    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


def main() -> int:
    discovery, endpoint, relay = serve(toy_server.Discovery), serve(Endpoint), f"127.0.0.1:{free_port()}"
    toy_server.LIST["members"][0]["host_port"] = f"127.0.0.1:{endpoint}"  # type: ignore[index]
    with tempfile.TemporaryDirectory() as folder:
        operator, traces = Path(folder) / "operator.kdl", Path(folder) / "traces.jsonl"
        shutil.copy(HERE / "operator.kdl", operator)
        told = json.loads((HERE / "config.json").read_text()) | {
            "listen": relay,
            "discovery": f"127.0.0.1:{discovery}",
            "state": f"{folder}/state",
        }
        (Path(folder) / "config.json").write_text(json.dumps(told))
        env = os.environ | {"NODE_CONFIG": f"{folder}/config.json", "NODE_LOG_LEVEL": "WARNING"}
        program = [sys.executable, "-m", "calicohitch"]
        process = subprocess.Popen([*program, "serve", "--operator", str(operator)], env=env, cwd=HERE.parent)
        try:
            wait_for("the relay", lambda: is_ready(relay))
            for name, dest in (("good", 7), ("late", 7), ("refused", 8)):
                print(f"{name}: handed in, answered {hand_in(relay, name, dest=dest)}", flush=True)
            time.sleep(1.5)  # past the wait that `late` brought upon the whole destination
            print(f"repeated: handed in, answered {hand_in(relay, 'repeated')}", flush=True)
            wait_for("the traces", lambda: traces.exists() and traces.read_bytes().count(b"\n") >= 4)
            process.send_signal(signal.SIGTERM)
            process.wait(LIMIT_S)
        finally:
            process.kill()
            process.wait(LIMIT_S)
        print("\nThe slowest of them (calicohitch traces slow traces.jsonl):\n", flush=True)
        subprocess.run([*program, "traces", "slow", str(traces)], cwd=HERE.parent, check=True)
        slowest = subprocess.run(
            [*program, "traces", "slow", "--json", "-n", "1", "--late", str(traces)],
            cwd=HERE.parent,
            check=True,
            capture_output=True,
        )
        worst = json.loads(slowest.stdout)[0]["id"]
        print(f"\nThe story of the worst one (calicohitch traces show {worst} traces.jsonl):\n", flush=True)
        return subprocess.run([*program, "traces", "show", worst, str(traces)], cwd=HERE.parent).returncode


if __name__ == "__main__":
    sys.exit(main())
