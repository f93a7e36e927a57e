"""HTTP/1.1 client that sees its connection byte for byte (§9.13).

An HTTP library hides what the platform's rules are about: bytes that belong to no request, a broken connection that
looks like the end of a body, a response that belongs to another request. The emulated clients therefore read their
sockets themselves.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from typing import Any

from pearhead.runtime.socketnet import split_address

MAX_LINE_BYTES = 1 << 20


class WireError(Exception):
    """The connection ended early or carried something other than a response.

    `is_garbage`: bytes came that are not HTTP.
    """

    def __init__(self, reason: str, is_garbage: bool = False) -> None:
        super().__init__(reason)
        self.is_garbage = is_garbage


@dataclass(frozen=True)
class RawResponseHead:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: dict[str, str]

    def text(self, name: str) -> str:
        """The value of a header, or an empty string."""
        return self.headers.get(name, "")


@dataclass(frozen=True)
class RawResponse:
    """A complete response."""

    head: RawResponseHead
    body: bytes = b""

    def fields(self) -> dict[str, Any]:
        """The body as a JSON object; empty if it is not one."""
        try:
            parsed = json.loads(self.body)
        except ValueError:
            return {}
        return parsed if isinstance(parsed, dict) else {}


@dataclass
class RawConnection:
    """One connection. Its methods for sending and reading raise WireError."""

    address: str
    reader: asyncio.StreamReader = field(init=False)
    writer: asyncio.StreamWriter = field(init=False)

    async def open(self, timeout_seconds: float = 1.0) -> None:
        """Connects. Raises OSError or TimeoutError."""
        host_name, port_number = split_address(self.address)
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(host_name, port_number, limit=MAX_LINE_BYTES), timeout_seconds
        )

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()

    def stray_bytes(self) -> bytes:
        """Bytes that came while no request was waiting for them."""
        return bytes(getattr(self.reader, "_buffer", b""))

    def is_closed(self) -> bool:
        """Whether either side has closed the connection."""
        return self.reader.at_eof() or self.writer.is_closing()

    async def send(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        """Sends a request with its body."""
        lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
        lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        try:
            await self.writer.drain()
        except OSError as error:
            raise WireError(str(error)) from error

    async def read_head(self) -> RawResponseHead:
        """Reads the status line and headers of a response; interim (1xx) responses are skipped."""
        status_line = await self._read_line()
        version, _, rest = status_line.partition(" ")
        status_text = rest[:3]
        if not version.startswith("HTTP/1.") or not status_text.isdigit():
            raise WireError("no status line", is_garbage=True)
        headers: dict[str, str] = {}
        while line := await self._read_line():
            name, colon, value = line.partition(":")
            if not colon:
                raise WireError("no header line", is_garbage=True)
            headers[name.strip().lower()] = value.strip()
        if 100 <= int(status_text) < 200:
            return await self.read_head()
        return RawResponseHead(int(status_text), headers)

    async def read_body(self, head: RawResponseHead) -> AsyncGenerator[bytes, None]:
        """Yields the body in chunks, as they come. Ends only where the framing says that the body is complete."""
        if head.status in (204, 304):
            return
        if "chunked" in head.text("transfer-encoding").lower():
            while True:
                size_text = (await self._read_line()).partition(";")[0]
                try:
                    size = int(size_text, 16)
                except ValueError:
                    raise WireError("no chunk", is_garbage=True) from None
                chunk = await self._read_exactly(size)
                if await self._read_line():
                    raise WireError("a chunk without its end", is_garbage=True)
                if not size:
                    return
                yield chunk
        length_text = head.text("content-length")
        if not length_text.isdigit():
            raise WireError("a body without a length")
        if int(length_text):
            yield await self._read_exactly(int(length_text))

    async def _read_line(self) -> str:
        try:
            line = await self.reader.readuntil(b"\r\n")
        except (asyncio.IncompleteReadError, OSError) as error:
            raise WireError(f"the connection ended: {error}") from error
        except asyncio.LimitOverrunError as error:
            raise WireError("an endless line", is_garbage=True) from error
        return line[:-2].decode("latin-1")

    async def _read_exactly(self, size: int) -> bytes:
        try:
            return await self.reader.readexactly(size)
        except (asyncio.IncompleteReadError, OSError) as error:
            raise WireError(f"the connection ended: {error}") from error


async def send_request(
    address: str,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_seconds: float = 1.0,
) -> RawResponse | None:
    """Sends one request on a connection of its own, for calls between processes rather than those of clients.

    A body that is not bytes is sent as JSON. Returns None if no complete response came within the time.
    """
    connection = RawConnection(address)
    body_bytes = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
    sent_headers = {"Host": address, "Connection": "close", "Content-Type": "application/json", **(headers or {})}
    try:
        async with asyncio.timeout(timeout_seconds):
            await connection.open(timeout_seconds)
            try:
                await connection.send(method, path, sent_headers, body_bytes)
                head = await connection.read_head()
                chunks = [chunk async for chunk in connection.read_body(head)]
            finally:
                connection.close()
    except (OSError, WireError, TimeoutError):
        return None
    return RawResponse(head, b"".join(chunks))
