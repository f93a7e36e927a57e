"""Format of an emulated worker's responses (§9.13).

Every piece is derived from the request, so that the caller can check that it belongs to its own request.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass


def request_digest(method: str, path: str, body: bytes) -> str:
    """Digest of a request's method, path with query, and body."""
    return hashlib.sha256(f"{method} {path}\n".encode() + body).hexdigest()[:16]


def piece_text(digest: str, number: int) -> str:
    """Text of a piece, from the digest of its request."""
    return f"{digest}/{number}"


@dataclass(frozen=True)
class ResponseSeal:
    """Header that identifies a response: its request, the run that produced it, its number of pieces, its status."""

    digest: str
    run: str
    pieces: int
    status: int = 200

    def text(self) -> str:
        """The value of the header X-Answer-Seal."""
        return f"{self.digest}.{self.run}.{self.pieces}.{self.status}"


def parse_seal(text: str) -> ResponseSeal | None:
    """Parses a header value; None if it is not a seal."""
    fields = text.split(".")
    if len(fields) != 4 or not fields[2].isdigit() or not fields[3].isdigit():
        return None
    return ResponseSeal(fields[0], fields[1], int(fields[2]), int(fields[3]))


@dataclass(frozen=True)
class Piece:
    """One event of a stream. `version`: the weights version where it has changed, otherwise 0."""

    number: int
    run: str
    text: str
    version: int = 0

    def encode(self) -> bytes:
        """The event as bytes, with its closing blank line."""
        head = f"x-weight-versions: {self.version}\n" if self.version else ""
        return f"{head}id: {self.number}\ndata: {self.run} {self.text}\n\n".encode()


def parse_piece(event_bytes: bytes) -> Piece | None:
    """Parses an event without its closing blank line; None if a worker did not produce it."""
    fields = dict(line.split(": ", 1) for line in event_bytes.decode("latin-1").split("\n") if ": " in line)
    run, _, text = fields.get("data", "").partition(" ")
    number_text = fields.get("id", "")
    if not number_text.isdigit() or not text:
        return None
    return Piece(int(number_text), run, text, int(fields.get("x-weight-versions", "0")))
