"""parse_job: each kind of malformed request yields its error kind."""

from __future__ import annotations

import unittest

from pearhead.router.errors import ErrorKind
from pearhead.router.job import parse_job


class ReadJobTest(unittest.TestCase):
    def test_bad_input_has_its_own_kind(self) -> None:
        cases: list[tuple[bytes, ErrorKind]] = [
            (b"{", ErrorKind.MALFORMED),
            (b"[" * 100_000, ErrorKind.MALFORMED),
            (b'{"model":"m","kind":"k","body":"b","x":1}', ErrorKind.UNKNOWN_FIELD),
            (b'{"model":"m","kind":"k","body":"b","deadlineMicros":-1}', ErrorKind.DEADLINE_PASSED),
            (b'{"model":"m","kind":"k","body":"b","jobId":"a b"}', ErrorKind.MALFORMED),
            (b'{"model":"m","kind":"k","body":"b","prefix":[{"part":1,"tokens":0}]}', ErrorKind.MALFORMED),
        ]
        for body_bytes, kind in cases:
            self.assertEqual(parse_job(body_bytes).unwrap_err().kind, kind, body_bytes[:40])
        self.assertEqual(parse_job(b'{"model":"m","kind":"k","body":"b"}').unwrap().prefix, [])
