"""The coordination store by the published etcd v3 interface, through aetcd (the extra `fleet`)."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any

import aetcd
import anyio
import grpc

from ..config.platform import Address
from .store import Changed, Compacted, Item, Op, Put, Seen, StoreError, Unless

_ERRORS = (aetcd.ClientError, grpc.RpcError, OSError, TimeoutError)
_CONNECT_S = 2


def _item(told: Any) -> Item:
    return Item(told.key.decode("utf-8", "replace"), bytes(told.value), int(told.mod_revision), int(told.lease or 0))


def _revision(answer: Any) -> int:
    """That of the store behind one operation of a transaction."""
    told = answer.response_put if answer.HasField("response_put") else answer.response_delete_range
    return int(told.header.revision)


class EtcdStore:
    """One store. A question that fails closes the connection, so that the next one opens it anew."""

    def __init__(self, address: Address, timeout_ms: float) -> None:
        self._address, self._timeout_s = address, timeout_ms / 1e3
        self._client: Any = None

    async def _open(self) -> Any:
        if self._client is None:
            client = aetcd.Client(
                self._address.host,
                self._address.port,
                timeout=max(1, math.ceil(self._timeout_s)),
                connect_wait_timeout=_CONNECT_S,
                options={"grpc.enable_retries": 0},
            )
            await client.connect()
            self._client = client
        return self._client

    async def _asked(self, ask: Callable[[Any], Awaitable[Any]]) -> Any:
        async def asked() -> Any:
            return await ask(await self._open())

        try:
            # In a task of its own: grpc raises a CancelledError of its own, which anyio does not know for its scope's.
            return await asyncio.wait_for(asyncio.ensure_future(asked()), self._timeout_s)
        except _ERRORS as err:
            raise StoreError(f"{type(err).__name__}: {err}") from err

    async def read(self, prefix: str) -> Seen:
        async def ask(client: Any) -> Any:
            return await client.get_prefix(prefix.encode())

        found = await self._asked(ask)
        return Seen(tuple(_item(told) for told in found.kvs), int(found.header.revision))

    async def commit(self, conditions: Sequence[Unless], ops: Sequence[Op]) -> int:
        async def ask(client: Any) -> Any:
            made = client.transactions
            compare = [made.mod(one.key.encode()) == one.revision for one in conditions]
            success = [
                made.put(op.key.encode(), op.value, op.lease or None)
                if isinstance(op, Put)
                else made.delete(op.key.encode())
                for op in ops
            ]
            return await client.transaction(compare=compare, success=success, failure=[])

        done, answers = await self._asked(ask)
        return max([1, *map(_revision, answers)]) if done else 0

    async def grant(self, ttl_ms: float) -> int:
        async def ask(client: Any) -> Any:
            return await client.lease(math.ceil(ttl_ms / 1e3))

        return int((await self._asked(ask)).id)

    async def keep(self, lease: int) -> bool:
        async def ask(client: Any) -> Any:
            return await client.refresh_lease(lease)

        return int((await self._asked(ask)).TTL) > 0

    async def revoke(self, lease: int) -> None:
        async def ask(client: Any) -> Any:
            return await client.revoke_lease(lease)

        await self._asked(ask)

    async def watch(self, prefix: str, after: int) -> AsyncIterator[list[Changed]]:
        try:
            client = await self._open()
            watch = await client.watch_prefix(prefix.encode(), start_revision=after + 1, progress_notify=True)
            try:
                async for event in watch:
                    gone = event.kind == aetcd.EventKind.DELETE
                    item = _item(event.kv)
                    yield [Changed(item.key, None if gone else item, item.revision)]
            finally:
                await watch.cancel()
        except aetcd.RevisionCompactedError as err:
            raise Compacted(str(err)) from err
        except _ERRORS as err:
            raise StoreError(f"{type(err).__name__}: {err}") from err

    async def close(self) -> None:
        if self._client is not None:
            client, self._client = self._client, None
            with anyio.move_on_after(1.0):
                await client.close()
