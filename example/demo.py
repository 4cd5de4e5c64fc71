"""Demo: a toy platform, a relay with tracing enabled, four messages, and the trace of the slowest late one.

Uses free ports on the loopback interface, needs no set-up, and exits by itself within some seconds.
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

EXAMPLE_FOLDER = Path(__file__).parent
TIMEOUT_S = 20.0


class Endpoint(toy_server.Handler):
    """An endpoint whose answer depends on the id of the message and on the number of the attempt."""

    attempts: dict[str, int] = {}

    def do_POST(self) -> None:
        self.body()
        name = self.headers["Req-Id"]
        self.attempts[name] = self.attempts.get(name, 0) + 1
        if name == "late" and self.attempts[name] == 1:
            self.answer(429, Wait_Ms="700")  # overloaded: retry after 700 ms
        elif name == "late":
            time.sleep(0.5)
            self.answer(200)
        elif name == "repeated" and self.attempts[name] == 1:
            self.answer(500)
        else:
            time.sleep(0.1)
            self.answer(200)


def serve(handler: type[toy_server.Handler]) -> int:
    server = ThreadingHTTPServer(("127.0.0.1", 0), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return int(server.server_address[1])


def submit(relay: str, name: str, path: str = "/score-updates", dest: int = 7) -> int:
    headers = {"Req-Id": name, "Req-Deadline-Ms": "5000", "Envelope": f"dest={dest}", "Idempotency-Key": f"key-{name}"}
    request = urllib.request.Request(f"http://{relay}{path}", b"round 3: 41 points", headers, method="POST")
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
            return int(response.status)
    except urllib.error.HTTPError as err:
        return err.code


def wait_for(subject: str, condition: object) -> None:
    give_up_at = time.monotonic() + TIMEOUT_S
    while not condition():  # type: ignore[operator]
        if time.monotonic() > give_up_at:
            sys.exit(f"demo: {subject} not ready within {TIMEOUT_S:.0f} s")
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
    toy_server.ENDPOINT_LIST["members"][0]["host_port"] = f"127.0.0.1:{endpoint}"  # type: ignore[index]
    with tempfile.TemporaryDirectory() as folder:
        operator_file, traces = Path(folder) / "operator.kdl", Path(folder) / "traces.jsonl"
        shutil.copy(EXAMPLE_FOLDER / "operator.kdl", operator_file)
        config = json.loads((EXAMPLE_FOLDER / "config.json").read_text()) | {
            "listen": relay,
            "discovery": f"127.0.0.1:{discovery}",
            "state": f"{folder}/state",
        }
        (Path(folder) / "config.json").write_text(json.dumps(config))
        env = os.environ | {"NODE_CONFIG": f"{folder}/config.json", "NODE_LOG_LEVEL": "WARNING"}
        command = [sys.executable, "-m", "calicohitch"]
        process = subprocess.Popen(
            [*command, "serve", "--operator", str(operator_file)], env=env, cwd=EXAMPLE_FOLDER.parent
        )
        try:
            wait_for("the relay", lambda: is_ready(relay))
            for name, dest in (("good", 7), ("late", 7), ("refused", 8)):
                print(f"{name}: submitted, answered {submit(relay, name, dest=dest)}", flush=True)
            time.sleep(1.5)  # longer than the 700 ms retry-after of `late`, which holds the whole destination
            print(f"repeated: submitted, answered {submit(relay, 'repeated')}", flush=True)
            wait_for("the traces", lambda: traces.exists() and traces.read_bytes().count(b"\n") >= 4)
            process.send_signal(signal.SIGTERM)
            process.wait(TIMEOUT_S)
        finally:
            process.kill()
            process.wait(TIMEOUT_S)
        print("\nThe slowest messages (calicohitch traces slow traces.jsonl):\n", flush=True)
        subprocess.run([*command, "traces", "slow", str(traces)], cwd=EXAMPLE_FOLDER.parent, check=True)
        listing = subprocess.run(
            [*command, "traces", "slow", "--json", "-n", "1", "--late", str(traces)],
            cwd=EXAMPLE_FOLDER.parent,
            check=True,
            capture_output=True,
        )
        slowest_id = json.loads(listing.stdout)[0]["id"]
        print(
            f"\nThe trace of the slowest late message (calicohitch traces show {slowest_id} traces.jsonl):\n",
            flush=True,
        )
        return subprocess.run(
            [*command, "traces", "show", slowest_id, str(traces)], cwd=EXAMPLE_FOLDER.parent
        ).returncode


if __name__ == "__main__":
    sys.exit(main())
