"""A toy platform to try a relay with: discovery, which also receives notices, and one endpoint of destination 7.

The endpoint refuses every fifth call with a retry-after of 500 ms, so that a message waiting for its retry can be seen.
"""

from __future__ import annotations

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

DISCOVERY, ENDPOINT = ("127.0.0.1", 8500), ("127.0.0.1", 8081)
ENDPOINT_LIST = {
    "revision": 1,
    "complete": True,
    "members": [
        {
            "id": "toy-1",
            "host_port": f"{ENDPOINT[0]}:{ENDPOINT[1]}",
            "locality": "here",
            "flavor": "toys",
            "cell": 7,
            "phase": "Ready",
            "size": 5.0,
            "up_since_ms": 0,
        }
    ],
}
UNCHANGED = ENDPOINT_LIST | {"complete": False, "members": []}


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def log_message(self, format: str, *args: object) -> None:
        """Disables the request log of the standard library: the handlers print what is of interest."""


class Discovery(Handler):
    def do_GET(self) -> None:
        query = parse_qs(urlsplit(self.path).query)
        if "index" in query:
            time.sleep(int(query["wait"][0]) / 1000)
        self.answer(200, json.dumps(UNCHANGED if "index" in query else ENDPOINT_LIST).encode())

    def do_POST(self) -> None:
        print("notice:", self.body().decode().strip(), flush=True)
        self.answer(204)


class Endpoint(Handler):
    calls = 0

    def do_POST(self) -> None:
        body = self.body()
        Endpoint.calls += 1
        if Endpoint.calls % 5 == 0:
            print("refused, retry after 500 ms:", self.headers["Req-Id"], flush=True)
            self.answer(429, Wait_Ms="500")
        else:
            time.sleep(0.2)
            print("delivered:", self.headers["Req-Id"], body.decode(errors="replace"), flush=True)
            self.answer(200, Srv_Load="x0=0.8,x1=5")


def main() -> None:
    servers = [ThreadingHTTPServer(DISCOVERY, Discovery), ThreadingHTTPServer(ENDPOINT, Endpoint)]
    for server in servers:
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
    print("discovery at {}:{}, endpoint at {}:{}".format(*DISCOVERY, *ENDPOINT), flush=True)
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
