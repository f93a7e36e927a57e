"""Loopback addresses of emulated sites: no two sites of one machine share a block.

Two sites could get the same block when their launchers start at the same time, or when the processes of an earlier
site still run without their launcher.
"""

from __future__ import annotations

import os
import socket
import tempfile
import unittest
from unittest import mock

from pearhead.testbed.deployment import ACADEMY
from pearhead.testbed.emulator.address_block import (
    BLOCK_COUNT,
    LISTEN_STATE,
    AddressBlock,
    BlockTakenError,
    claim_free_block,
    read_socket_table,
)
from pearhead.testbed.emulator.launcher import CLAIMED_PORTS, SiteLauncher
from pearhead.testbed.emulator.plan import CONTROL_PORT, INTERNAL_PORTS, WORKER_PORT, SiteSize

SOCKET_TABLE = """\
  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode
   0: 0101057F:1FE9 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 1
   1: 0201057F:1FE9 0100007F:9C40 06 00000000:00000000 00:00000000 00000000     0        0 2
"""


class AddressBlockTest(unittest.TestCase):
    def claim(self, first: int) -> AddressBlock:
        block = claim_free_block(CLAIMED_PORTS, first)
        self.addCleanup(block.release)
        return block

    def open_socket(self, kind: socket.SocketKind, ip: str, port: int) -> None:
        opened = socket.socket(socket.AF_INET, kind)
        self.addCleanup(opened.close)
        # As servers do: connections of a former site may stay in TIME_WAIT there for a minute.
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind((ip, port))
        if kind == socket.SOCK_STREAM:
            opened.listen()

    def test_a_claimed_block_is_not_drawn_again_before_any_process_has_started(self) -> None:
        held = self.claim(os.getpid())
        self.assertNotEqual(self.claim(held.number - 1).number, held.number)
        with self.assertRaises(BlockTakenError):
            AddressBlock(held.number, CLAIMED_PORTS)

    def test_a_released_block_is_held_no_more(self) -> None:
        """Does not check that the block is free then: another launcher on the machine may have claimed it."""
        held = self.claim(os.getpid())
        held.release()
        self.assertEqual(held.claim_socket.fileno(), -1)

    def test_a_block_in_which_any_machine_of_a_site_lives_is_not_drawn(self) -> None:
        """A site may run on after it has lost its first core, and after its launcher has ended."""
        for kind, machine, port in (
            (socket.SOCK_STREAM, "1.2", CONTROL_PORT),
            (socket.SOCK_STREAM, "1.4", CONTROL_PORT),
            (socket.SOCK_STREAM, "3.1", WORKER_PORT),
            (socket.SOCK_STREAM, "103.1", WORKER_PORT),
            (socket.SOCK_DGRAM, "2.1", INTERNAL_PORTS[0]),
        ):
            with self.subTest(machine=machine, port=port):
                held = self.claim(os.getpid())
                self.open_socket(kind, f"127.{held.number}.{machine}", port)
                held.release()
                self.assertNotEqual(self.claim(held.number - 1).number, held.number)

    def test_no_block_is_free(self) -> None:
        with (
            mock.patch(
                "pearhead.testbed.emulator.address_block.AddressBlock", side_effect=BlockTakenError
            ) as constructed,
            self.assertRaises(OSError),
        ):
            claim_free_block(CLAIMED_PORTS, 0)
        numbers = {call.args[0] for call in constructed.call_args_list}
        self.assertEqual(numbers, set(range(1, BLOCK_COUNT + 1)))

    def test_socket_tables(self) -> None:
        self.assertEqual(list(read_socket_table(SOCKET_TABLE, LISTEN_STATE)), [("127.5.1.1", 8169)])
        self.assertEqual(list(read_socket_table(SOCKET_TABLE)), [("127.5.1.1", 8169), ("127.5.1.2", 8169)])


class LauncherBlockTest(unittest.TestCase):
    def make_launcher(self) -> SiteLauncher:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        launcher = SiteLauncher(folder.name)
        self.addCleanup(launcher.release_block)
        launcher.make_site(ACADEMY, SiteSize(1, 1, 1), 1)
        return launcher

    def ips_of(self, launcher: SiteLauncher) -> set[str]:
        return {machine.ip for machine in launcher.site.machines}

    def test_two_sites_of_one_process_share_no_address(self) -> None:
        first, second = self.make_launcher(), self.make_launcher()
        self.assertEqual(self.ips_of(first) & self.ips_of(second), set())

    def test_a_site_does_not_start_on_addresses_that_another_launcher_holds(self) -> None:
        holder = self.make_launcher()
        reopened = SiteLauncher(str(holder.folder_path))
        with self.assertRaisesRegex(RuntimeError, "addresses are in use"):
            reopened.up()
        self.assertEqual((reopened.plan["ids"], reopened.address_block), ({}, None))

    def test_a_site_that_starts_again_claims_its_own_block(self) -> None:
        made = self.make_launcher()
        assert made.address_block is not None
        number = made.address_block.number
        reopened = SiteLauncher(str(made.folder_path))
        with mock.patch("pearhead.testbed.emulator.launcher.AddressBlock") as claimed:
            reopened.claim_block()
            reopened.claim_block()
        claimed.assert_called_once_with(number, CLAIMED_PORTS)

    def test_no_claim_is_asked_for_where_the_site_lives(self) -> None:
        reopened = SiteLauncher(str(self.make_launcher().folder_path))
        with mock.patch.object(SiteLauncher, "is_alive", return_value=True):
            reopened.claim_block()
        self.assertIsNone(reopened.address_block)
