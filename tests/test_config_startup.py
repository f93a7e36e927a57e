"""read_startup: all errors are reported in one go, and flags override the file."""

from __future__ import annotations

import unittest
from typing import Any

from pearhead.config.startup import read_startup


class StartupTest(unittest.TestCase):
    def test_faults_are_all_told_and_flags_go_over_the_file(self) -> None:
        flags: dict[str, Any] = {
            "address": "127.0.0.1:70000",
            "httpAddress": "127.0.0.1:1",
            "area": "",
            "seeds": "x",
            "termMicros": 0,
        }
        errors = read_startup("", flags, True).unwrap_err()
        self.assertEqual([f.split(":")[0] for f in errors], ["address", "seeds[0]", "area", "dataFolder", "termMicros"])
        flags.update(address="127.0.0.1:2", area="a", seeds="127.0.0.1:2,127.0.0.1:3", termMicros=5)
        startup = read_startup("", flags, False).unwrap()
        self.assertEqual((startup.seeds, startup.termMicros), (["127.0.0.1:2", "127.0.0.1:3"], 5))
