"""gRPC parties written on `grpcio`, an implementation that nobody here wrote: endpoints, and a client for the relay."""

from __future__ import annotations

import threading
import time
from collections.abc import AsyncIterator, Callable, Iterator
from concurrent import futures
from contextlib import asynccontextmanager
from typing import Any

import anyio
import anyio.to_thread
import grpc
from world import HERE, World, member, until

from calicohitch.config import Address
from calicohitch.grpc.delivery import GrpcDelivery
from calicohitch.grpc.intake import PROTOCOL, GrpcIntake
from calicohitch.grpc.routes import Route
from calicohitch.grpc.settings import GrpcSettings, Speaker
from calicohitch.net.http import listen
from calicohitch.net.relay import Relay

SERVICE = "board.Scores"
KEYED, SAFE = 0, 1
ROUTES = (
    Route(SERVICE, "Post", SAFE, 7),
    Route(SERVICE, "Enter", KEYED, 7),
    Route(SERVICE, "Anywhere", SAFE, None, "dest"),
    Route(SERVICE, "Upload", SAFE, 7, streams=True),
    Route(SERVICE, "Chat", SAFE, 7, streams=True),
    Route(SERVICE, "Watch", SAFE, 7),
    Route(SERVICE, "EnterAll", KEYED, 7),
)
Handler = Callable[[Any, grpc.ServicerContext], Any]


def same(data: bytes) -> bytes:
    return data


class Endpoint(grpc.GenericRpcHandler):
    """A server of every method; `handle` says what it does with the messages, which come as an iterator. It counts
    calls, and when each began."""

    def __init__(self, handle: Handler, compression: Any = None) -> None:
        self.handle = handle
        self.calls: list[tuple[str, dict[str, Any], float]] = []
        self.effects = 0
        self.lock = threading.Lock()
        self.server = grpc.server(
            futures.ThreadPoolExecutor(64), (self,), options=(("grpc.so_reuseport", 0),), compression=compression
        )
        self.address = Address("127.0.0.1", self.server.add_insecure_port("127.0.0.1:0"))
        self.server.start()

    def service(self, details: grpc.HandlerCallDetails) -> Any:
        def act(messages: Iterator[bytes], context: grpc.ServicerContext) -> Iterator[bytes]:
            with self.lock:
                told: dict[str, Any] = dict(details.invocation_metadata)
                self.calls.append((details.method, told, time.monotonic()))
            yield from self.handle(messages, context)

        return grpc.stream_stream_rpc_method_handler(act, same, same)

    def close(self) -> None:
        self.server.stop(0)


def echo(messages: Iterator[bytes], _context: grpc.ServicerContext) -> Iterator[bytes]:
    for message in messages:
        yield b"echo:" + message


class Client:
    """A grpcio channel to the relay; calls run in threads."""

    def __init__(self, address: Address, **options: Any) -> None:
        anyio.to_thread.current_default_thread_limiter().total_tokens = 100  # calls that are open at the same time
        self.channel = grpc.insecure_channel(str(address), options=tuple(options.items()))

    def method(self, name: str, kind: str = "unary_unary") -> Any:
        return getattr(self.channel, kind)(f"/{SERVICE}/{name}", same, same)

    async def call(self, name: str, body: bytes = b"x", timeout: float = 10, **metadata: str) -> Any:
        """The answer, or the RpcError, of a unary call."""
        told = tuple((key.replace("_", "-"), value) for key, value in metadata.items())

        def act() -> Any:
            try:
                answer, call = self.method(name).with_call(body, timeout=timeout, metadata=told)
            except grpc.RpcError as err:
                return err
            return answer, call

        return await anyio.to_thread.run_sync(act, abandon_on_cancel=True)

    async def run(self, act: Callable[[], Any]) -> Any:
        return await anyio.to_thread.run_sync(act, abandon_on_cancel=True)


@asynccontextmanager
async def grpc_relay(
    world: World, *endpoints: Address, settings: dict[str, Any] | None = None, tracing: Any = None, **changes: Any
) -> AsyncIterator[tuple[Relay, Address]]:
    """A relay with a gRPC front. Endpoints given here speak gRPC; the world's own speaks HTTP/1.1."""
    from calicohitch.journal import Journal

    told = GrpcSettings(HERE, ROUTES, (Speaker(id="g-0"), Speaker(id="g-1")), **changes)
    world.members = [
        member(str(world.endpoint.address)),
        *(member(str(address), f"g-{n}") for n, address in enumerate(endpoints)),
    ]
    config = world.config(**({"settings": settings} if settings else {}))
    relay = Relay(config, world.clock, Journal(world.folder, 3e6), None, told.speaks)
    relay.deliver_by(PROTOCOL, GrpcDelivery(world.clock, 1_500.0, 64, told, ("x0", "x1")))
    with listen(HERE) as listener, listen(HERE) as front:
        world.client = Address(*listener.getsockname())
        intake = GrpcIntake(relay, told, config.settings.classes, front, world.clock)
        async with anyio.create_task_group() as tasks:
            from calicohitch.intake.clients import Clients

            tasks.start_soon(relay.run)
            tasks.start_soon(Clients(relay, config.names.classes, listener).run)
            tasks.start_soon(intake.run)
            await until(lambda: relay.ready)
            relay.intake = intake  # type: ignore[attr-defined]
            yield relay, Address(*front.getsockname())
            tasks.cancel_scope.cancel()
    relay.close()
