"""UpstreamPool against a scripted server: which connections are kept, and which responses end one.

Guards against a truncated response that counts as complete, and against stray bytes on a kept connection that are
taken for the response to the next request.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest

from tornado.httputil import HTTPHeaders

from pearhead.router.upstream_pool import CallLimits, UpstreamPool
from pearhead.runtime.clock import SECOND
from pearhead.runtime.fake_runtime import FakeRuntime

LINGER_RESET = struct.pack("ii", 1, 0)
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ScriptedServer:
    """A server that answers each request with the next response of its script."""

    def __init__(self, *answers: bytes) -> None:
        self.answers = list(answers)
        self.connections = 0
        self.requests: list[bytes] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while self.answers:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                answer = self.answers.pop(0)
                writer.write(answer.removesuffix(b"<close>").removesuffix(b"<reset>"))
                await writer.drain()
                if answer.endswith(b"<reset>"):
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                if answer.endswith((b"<close>", b"<reset>")):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class UpstreamTest(unittest.IsolatedAsyncioTestCase):
    async def ask(self, pool: UpstreamPool, address: str) -> tuple[int | None, bytes, bool]:
        call = (await pool.call(address, CallLimits(SECOND))).unwrap()
        call.send("GET", "/x?y=%20", HTTPHeaders({"Host": "h"}), b"")
        head = await call.head(SECOND)
        body = b"".join([chunk async for chunk in call.chunks(lambda: SECOND)])
        whole = call.is_whole()
        await call.close()
        return head[0] if head else None, body, whole

    async def run_script(
        self, *answers: bytes, asks: int
    ) -> tuple[list[tuple[int | None, bytes, bool]], ScriptedServer]:
        scripted_server = ScriptedServer(*answers)
        server = await asyncio.start_server(scripted_server.serve, "127.0.0.1", 0)
        pool = UpstreamPool(FakeRuntime())
        port = server.sockets[0].getsockname()[1]
        responses = [await self.ask(pool, f"127.0.0.1:{port}") for _ in range(asks)]
        for address in list(pool.idle):
            pool.remove_address(address)
        server.close()
        return responses, scripted_server

    async def test_a_whole_answer_keeps_its_connection(self) -> None:
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        responses, scripted_server = await self.run_script(WHOLE, chunked, WHOLE, asks=3)
        self.assertEqual(responses, [(200, b"ok", True), (200, b"abc", True), (200, b"ok", True)])
        self.assertEqual(scripted_server.connections, 1)
        self.assertTrue(scripted_server.requests[0].startswith(b"GET /x?y=%20 HTTP/1.1\r\n"))

    async def test_what_follows_a_whole_answer_ends_the_connection_and_reaches_nobody(self) -> None:
        responses, scripted_server = await self.run_script(WHOLE + WHOLE, WHOLE, asks=2)
        self.assertEqual((responses, scripted_server.connections), ([(200, b"ok", True)] * 2, 2))

    async def test_a_cut_answer_is_never_whole(self) -> None:
        for truncated in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok<close>",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n<close>",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n<close>",
            b"HTTP/1.1 200 OK\r\n\r\nwithout a length<reset>",
        ):
            responses, scripted_server = await self.run_script(truncated, WHOLE, asks=2)
            self.assertEqual(
                (responses[0][0], responses[0][2], responses[1]), (200, False, (200, b"ok", True)), truncated
            )
            self.assertEqual(scripted_server.connections, 2)

    async def test_no_http_and_no_answer_have_no_head(self) -> None:
        for no_response in (b"<close>", b"\x00\x01garbage\r\n\r\n<close>", b"HTTP/1.1 20<close>"):
            responses, _ = await self.run_script(no_response, asks=1)
            self.assertEqual(responses, [(None, b"", False)], no_response)

    async def test_a_worker_that_will_close_is_not_kept_and_a_dead_port_is_an_error(self) -> None:
        connection_close = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
        short_timeout = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok"
        close_in_list = connection_close.replace(b"close", b"Keep-Alive, Close")
        responses, scripted_server = await self.run_script(
            connection_close, close_in_list, short_timeout, WHOLE, asks=4
        )
        self.assertEqual((responses, scripted_server.connections), ([(200, b"ok", True)] * 4, 4))
        self.assertTrue((await UpstreamPool(FakeRuntime()).call("127.0.0.1:1", CallLimits(SECOND))).is_err())
