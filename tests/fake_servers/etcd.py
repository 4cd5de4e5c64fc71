"""A stand-in for etcd v3, by its published protobuf interface: KV with transactions, leases, watches; and troubles.

Its state lives in memory and goes by the monotonic clock. Revisions grow by one for each transaction that changes
something, as etcd's do.
"""

from __future__ import annotations

import asyncio
import copy
import os
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

os.environ.setdefault("GRPC_ENABLE_FORK_SUPPORT", "0")  # its threads do not bear the forks of those who start processes

import grpc  # noqa: E402
from aetcd.rpc import kv_pb2, rpc_pb2, rpc_pb2_grpc  # noqa: E402


@dataclass
class State:
    kvs: dict[bytes, Any] = field(default_factory=dict)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)  # when it ends, its length in seconds
    revision: int = 1
    last_lease: int = 7_000


class Etcd(rpc_pb2_grpc.KVServicer, rpc_pb2_grpc.LeaseServicer, rpc_pb2_grpc.WatchServicer):
    """`down`: calls hang; `refusing`: they fail at once; `slow_s`: each takes as long; `deaf`: so many transactions are
    done and their answers lost."""

    def __init__(self) -> None:
        self.state = State()
        self.down = self.refusing = False
        self.slow_s = 0.0
        self.deaf = 0
        self.compacted = 0
        self.calls: dict[str, int] = {}
        self.port = 0
        self._log: list[tuple[int, Any]] = []  # revision, event
        self._changed = asyncio.Event()
        self._server: Any = None
        self._ticks: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._server = grpc.aio.server()
        for add in (
            rpc_pb2_grpc.add_KVServicer_to_server,
            rpc_pb2_grpc.add_LeaseServicer_to_server,
            rpc_pb2_grpc.add_WatchServicer_to_server,
        ):
            add(self, self._server)
        self.port = self._server.add_insecure_port("127.0.0.1:0")
        await self._server.start()
        self._ticks = asyncio.ensure_future(self._tick())

    async def stop(self) -> None:
        if self._ticks:
            self._ticks.cancel()
        if self._server:
            await self._server.stop(0)

    # Troubles.

    def saved(self) -> State:
        return copy.deepcopy(self.state)

    def put_back(self, state: State | None = None) -> None:
        """Go back to an older state, or to nothing."""
        self.state = copy.deepcopy(state) if state else State()
        self._log = [(revision, event) for revision, event in self._log if revision <= self.state.revision]
        self._tell()

    def compact(self) -> None:
        self.compacted = self.state.revision
        self._tell()

    def end_leases(self, part: bytes) -> None:
        """Leases of keys with this in their names end before their time."""
        for lease in {kv.lease for key, kv in self.state.kvs.items() if part in key and kv.lease}:
            self._end(lease)

    # State.

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [n for n, (ends, _) in self.state.leases.items() if ends <= now]:
                self._end(lease)

    def _end(self, lease: int) -> None:
        self.state.leases.pop(lease, None)
        keys = [key for key, kv in self.state.kvs.items() if kv.lease == lease]
        if keys:
            self.state.revision += 1
            for key in keys:
                self._delete(key)
            self._tell()

    def _delete(self, key: bytes) -> bool:
        if self.state.kvs.pop(key, None) is None:
            return False
        gone = kv_pb2.KeyValue(key=key, mod_revision=self.state.revision)
        self._log.append((self.state.revision, kv_pb2.Event(type=kv_pb2.Event.DELETE, kv=gone)))
        return True

    def _put(self, request: Any) -> None:
        before = self.state.kvs.get(request.key)
        kv = self.state.kvs[request.key] = kv_pb2.KeyValue(
            key=request.key,
            value=request.value,
            lease=request.lease,
            mod_revision=self.state.revision,
            create_revision=before.create_revision if before else self.state.revision,
            version=before.version + 1 if before else 1,
        )
        self._log.append((self.state.revision, kv_pb2.Event(type=kv_pb2.Event.PUT, kv=kv)))

    def _tell(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _header(self) -> Any:
        return rpc_pb2.ResponseHeader(cluster_id=1, member_id=1, revision=self.state.revision, raft_term=1)

    async def _called(self, name: str, context: Any) -> None:
        self.calls[name] = self.calls.get(name, 0) + 1
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        while self.down:
            await asyncio.sleep(0.02)
        if self.refusing:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "no leader")

    # KV.

    def _found(self, request: Any) -> list[Any]:
        if not request.range_end:
            found = [self.state.kvs[request.key]] if request.key in self.state.kvs else []
        else:
            found = [kv for key, kv in self.state.kvs.items() if request.key <= key < request.range_end]
        return sorted(found, key=lambda kv: kv.key)

    async def Range(self, request: Any, context: Any) -> Any:
        await self._called("Range", context)
        found = self._found(request)
        return rpc_pb2.RangeResponse(header=self._header(), kvs=found, count=len(found))

    async def Put(self, request: Any, context: Any) -> Any:
        await self._called("Put", context)
        self.state.revision += 1
        self._put(request)
        self._tell()
        return rpc_pb2.PutResponse(header=self._header())

    async def Txn(self, request: Any, context: Any) -> Any:
        await self._called("Txn", context)
        holds = all(self._holds(compare) for compare in request.compare)
        ops = request.success if holds else request.failure
        for op in ops:
            if op.HasField("request_put") and op.request_put.lease and op.request_put.lease not in self.state.leases:
                await context.abort(grpc.StatusCode.NOT_FOUND, "etcdserver: requested lease not found")
        if any(not op.HasField("request_range") for op in ops):
            self.state.revision += 1
        answers = [self._do(op) for op in ops]
        self._tell()
        if self.deaf and holds:
            self.deaf -= 1
            await context.abort(grpc.StatusCode.UNAVAILABLE, "the answer is lost")
        return rpc_pb2.TxnResponse(header=self._header(), succeeded=holds, responses=answers)

    def _holds(self, compare: Any) -> bool:
        kv = self.state.kvs.get(compare.key)
        if compare.target == rpc_pb2.Compare.MOD:
            there, wanted = (kv.mod_revision if kv else 0), compare.mod_revision
        elif compare.target == rpc_pb2.Compare.VERSION:
            there, wanted = (kv.version if kv else 0), compare.version
        elif compare.target == rpc_pb2.Compare.CREATE:
            there, wanted = (kv.create_revision if kv else 0), compare.create_revision
        else:
            there, wanted = (kv.value if kv else b""), compare.value
        return {
            rpc_pb2.Compare.EQUAL: there == wanted,
            rpc_pb2.Compare.GREATER: there > wanted,
            rpc_pb2.Compare.LESS: there < wanted,
            rpc_pb2.Compare.NOT_EQUAL: there != wanted,
        }[compare.result]

    def _do(self, op: Any) -> Any:
        if op.HasField("request_put"):
            self._put(op.request_put)
            return rpc_pb2.ResponseOp(response_put=rpc_pb2.PutResponse(header=self._header()))
        if op.HasField("request_delete_range"):
            gone = self._delete(op.request_delete_range.key)
            return rpc_pb2.ResponseOp(
                response_delete_range=rpc_pb2.DeleteRangeResponse(header=self._header(), deleted=int(gone))
            )
        found = self._found(op.request_range)
        return rpc_pb2.ResponseOp(response_range=rpc_pb2.RangeResponse(header=self._header(), kvs=found))

    # Leases.

    async def LeaseGrant(self, request: Any, context: Any) -> Any:
        await self._called("LeaseGrant", context)
        self.state.last_lease += 1
        lease = request.ID or self.state.last_lease
        self.state.leases[lease] = (time.monotonic() + request.TTL, float(request.TTL))
        return rpc_pb2.LeaseGrantResponse(header=self._header(), ID=lease, TTL=request.TTL)

    async def LeaseRevoke(self, request: Any, context: Any) -> Any:
        await self._called("LeaseRevoke", context)
        self._end(request.ID)
        return rpc_pb2.LeaseRevokeResponse(header=self._header())

    async def LeaseKeepAlive(self, requests: AsyncIterator[Any], context: Any) -> AsyncIterator[Any]:
        async for request in requests:
            await self._called("LeaseKeepAlive", context)
            length = self.state.leases.get(request.ID, (0.0, 0.0))[1]
            if length:
                self.state.leases[request.ID] = (time.monotonic() + length, length)
            yield rpc_pb2.LeaseKeepAliveResponse(header=self._header(), ID=request.ID, TTL=int(length))

    # Watches.

    async def Watch(self, requests: AsyncIterator[Any], context: Any) -> AsyncIterator[Any]:
        answers: asyncio.Queue[Any] = asyncio.Queue()
        watches: dict[int, asyncio.Task[None]] = {}

        async def listen() -> None:
            async for request in requests:
                if request.HasField("create_request"):
                    await self._called("Watch", context)
                    number = request.create_request.watch_id or len(watches) + 1
                    answers.put_nowait(rpc_pb2.WatchResponse(header=self._header(), watch_id=number, created=True))
                    watches[number] = asyncio.ensure_future(self._watch(number, request.create_request, answers))
                elif request.HasField("cancel_request"):
                    number = request.cancel_request.watch_id
                    if task := watches.pop(number, None):
                        task.cancel()
                    answers.put_nowait(rpc_pb2.WatchResponse(header=self._header(), watch_id=number, canceled=True))

        listening = asyncio.ensure_future(listen())
        try:
            while True:
                yield await answers.get()
        finally:
            for task in [listening, *watches.values()]:
                task.cancel()

    async def _watch(self, number: int, request: Any, answers: asyncio.Queue[Any]) -> None:
        told = request.start_revision - 1 if request.start_revision else self.state.revision
        while True:
            changed = self._changed
            while self.down or self.refusing:
                await asyncio.sleep(0.02)
            if told < self.compacted:
                answers.put_nowait(
                    rpc_pb2.WatchResponse(
                        header=self._header(), watch_id=number, canceled=True, compact_revision=self.compacted
                    )
                )
                return
            by_revision: dict[int, list[Any]] = {}
            for revision, event in self._log:
                key = event.kv.key
                if revision > told and (key == request.key or request.key <= key < request.range_end):
                    by_revision.setdefault(revision, []).append(event)
            for revision, events in sorted(by_revision.items()):
                told = revision
                answers.put_nowait(rpc_pb2.WatchResponse(header=self._header(), watch_id=number, events=events))
            await changed.wait()
