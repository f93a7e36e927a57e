"""TornadoJobTransport against a fake worker: the error stage that each kind of failure yields.

A wrong stage would repeat a job that has run, or give up one that was never sent.
"""

from __future__ import annotations

import asyncio
import unittest
from contextlib import aclosing
from typing import Any

from pearhead.router.job_transport import CUT, NOT_SENT, REFUSED, WITHDRAWN, JobTransportError, UpstreamJob
from pearhead.router.tornado_transport import TornadoJobTransport

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(text: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text)


class TornadoCarrierTest(unittest.IsolatedAsyncioTestCase):
    is_allowed = True
    checked_count = 0

    async def serve(self, response: bytes, stays_open: bool = False) -> str:
        self.requests: list[bytes] = []
        self.closed = asyncio.Event()

        async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.requests.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(response)
            await writer.drain()
            if stays_open:
                while await reader.read(2**16):
                    pass
                self.closed.set()
            writer.close()

        server = await asyncio.start_server(handle_connection, "127.0.0.1", 0)
        self.addAsyncCleanup(self.close, server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def may_begin(self) -> bool:
        self.checked_count += 1
        return self.is_allowed

    async def close(self, server: asyncio.Server) -> None:
        server.close()

    async def send_job(self, address: str, limit_micros: int = 5_000_000) -> list[dict[str, Any]]:
        upstream_job = UpstreamJob("u", "m", "b", "s", "t", limit_micros=limit_micros)
        async with aclosing(TornadoJobTransport().send_job(address, upstream_job, self.may_begin)) as events:
            return [event async for event in events]

    async def failure_stage(self, address: str, limit_micros: int = 5_000_000) -> str:
        with self.assertRaises(JobTransportError) as caught:
            await self.send_job(address, limit_micros)
        return caught.exception.stage

    async def test_a_whole_stream_split_anywhere_is_read(self) -> None:
        text = b'data: {"id": "cmpl-u", "n": 1}\n\ndata: {"id": "cmpl-u", "n": 2}\n\ndata: [DONE]\n\n'
        pieces = b"".join(chunk(text[i : i + 7]) for i in range(0, len(text), 7))
        address = await self.serve(HEAD + pieces + b"0\r\n\r\n")
        self.assertEqual([event["n"] for event in await self.send_job(address)], [1, 2])
        self.assertIn(b"X-Request-Id: u", self.requests[0])
        self.assertIn(b"Connection: close", self.requests[0])

    async def test_what_never_connected_was_not_sent(self) -> None:
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port_number = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        self.assertEqual(await self.failure_stage(f"127.0.0.1:{port_number}"), NOT_SENT)

    async def test_a_job_withdrawn_while_it_connects_sends_no_byte(self) -> None:
        self.received = b""

        async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.received += await reader.read(2**16)
            writer.close()
            done.set()

        done = asyncio.Event()
        server = await asyncio.start_server(handle_connection, "127.0.0.1", 0)
        self.addAsyncCleanup(self.close, server)
        self.is_allowed = False
        stage = await self.failure_stage(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        await asyncio.wait_for(done.wait(), 10)
        self.assertEqual((stage, self.received, self.checked_count), (WITHDRAWN, b"", 1))

    async def test_only_documented_refusals_say_that_it_did_not_run(self) -> None:
        for status, wanted in ((404, REFUSED), (429, REFUSED), (503, REFUSED), (500, CUT), (302, CUT), (400, CUT)):
            head = f"HTTP/1.1 {status} X\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 2\r\n\r\n{{}}"
            self.assertEqual(await self.failure_stage(await self.serve(head.encode())), wanted, status)
            self.assertEqual(len(self.requests), 1, "no redirect is followed")

    async def test_all_else_is_cut(self) -> None:
        line = chunk(b'data: {"id": "cmpl-u"}\n\n')
        for response in (
            b"",  # closed without a byte
            b"HTTP/1.1 200",  # closed within the head
            HEAD + line,  # closed before its last chunk
            HEAD + chunk(b"data: {not json}\n\n") + b"0\r\n\r\n",
            HEAD + chunk(b"data: [1]\n\n") + b"0\r\n\r\n",
            b"HTTP/1.1 404 X\r\nContent-Length: 20\r\n\r\n{}",  # an incomplete refusal does not count as one
            b"not http at all\r\n\r\n",
        ):
            self.assertEqual(await self.failure_stage(await self.serve(response)), CUT, response)

    async def test_the_deadline_ends_it_and_closes_the_connection(self) -> None:
        address = await self.serve(HEAD, stays_open=True)
        self.assertEqual(await self.failure_stage(address, 200_000), CUT)
        await asyncio.wait_for(self.closed.wait(), 10)
