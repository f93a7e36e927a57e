"""Text from outside (§3.7): text that UTF-8 can't represent, and text in HTTP headers.

JSON can escape one half of a surrogate pair alone. Python reads it as a string that UTF-8, and with it a hash, a
Protocol Buffers field or a header, can't hold. The functions here find such text, and replace it where it is already
stored. They neither read a clock nor fail on any string.
"""

from __future__ import annotations

import hashlib
import json
import re
from collections.abc import Iterator
from typing import Any

# A larger value could exceed the limit that an HTTP server sets for a request's headers.
MAX_HEADER_VALUE_BYTES = 4_096
HEADER_DIGEST_BYTES = 16
# Encoded text in which a string may hold a surrogate: JSON escapes, and surrogates that were encoded one by one.
_SURROGATE_BYTES = re.compile(rb"\\u[dD][89a-fA-F]|\xed[\xa0-\xbf]")
_ENCODED_SURROGATE = re.compile(rb"\xed[\xa0-\xbf]")
_SURROGATE_LEAD_BYTE = b"\xed"
# The control characters that no header value may hold (RFC 9110, section 5.5), which allows a tab.
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_ANY_CONTROL_CHARACTER = re.compile(r"[\x00-\x1f\x7f\x80-\x9f\u2028\u2029]")


def is_encodable(text: str) -> bool:
    """Whether UTF-8 can represent the text, which is so unless it holds an unpaired surrogate."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def escape_surrogates(text: str) -> str:
    r"""Replaces each unpaired surrogate by its escape, as `\ud83d`; other text is returned as it is.

    Inside a string of JSON text the escape stands for the same character, so JSON text keeps its meaning.
    """
    return text.encode("utf-8", "backslashreplace").decode()


def escape_surrogate_bytes(encoded: bytes) -> bytes:
    """As `escape_surrogates`, for text whose surrogates were encoded with `surrogatepass`."""
    if _SURROGATE_LEAD_BYTE not in encoded or not _ENCODED_SURROGATE.search(encoded):
        return encoded
    return encoded.decode("utf-8", "surrogatepass").encode("utf-8", "backslashreplace")


def may_hold_surrogates(encoded_json: bytes) -> bool:
    """Whether a string of this JSON text may hold an unpaired surrogate; False is certain, and cheap to learn."""
    # Nearly all texts hold none of these, and looking for them is many times faster than the pattern.
    has_lead = _SURROGATE_LEAD_BYTE in encoded_json or b"\\ud" in encoded_json or b"\\uD" in encoded_json
    return has_lead and _SURROGATE_BYTES.search(encoded_json) is not None


def load_json(encoded_json: bytes) -> Any:
    """Parses JSON from a log, a snapshot or another process; unpaired surrogates are escaped in all of its strings.

    Raises ValueError or RecursionError, as `json.loads` does.
    """
    value = json.loads(encoded_json)
    return _escape_all(value) if may_hold_surrogates(encoded_json) else value


def encode_json(value: Any) -> bytes:
    """Compact JSON in UTF-8; unpaired surrogates are encoded one by one (`surrogatepass`)."""
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode("utf-8", "surrogatepass")


def _escape_all(value: Any) -> Any:
    if isinstance(value, str):
        return escape_surrogates(value)
    if isinstance(value, list):
        return [_escape_all(item) for item in value]
    if isinstance(value, dict):
        return {escape_surrogates(name): _escape_all(item) for name, item in value.items()}
    return value


def find_unencodable(value: Any, path: str) -> Iterator[str]:
    """Yields the path of each string in a JSON value that UTF-8 can't represent; a name of a field counts too."""
    if isinstance(value, str) and not is_encodable(value):
        yield path
    elif isinstance(value, list):
        for position, item in enumerate(value):
            yield from find_unencodable(item, f"{path}[{position}]")
    elif isinstance(value, dict):
        for name, item in value.items():
            inner_path = escape_surrogates(f"{path}.{name}" if path else name)
            if not is_encodable(name):
                yield inner_path
            yield from find_unencodable(item, inner_path)


def escape_controls(text: str) -> str:
    r"""Replaces control characters and line separators by escapes, as `\x0a`, so that the text is one line."""
    return _ANY_CONTROL_CHARACTER.sub(lambda match: match[0].encode("unicode_escape").decode(), text)


def find_header_fault(text: str) -> str:
    """Why a header value can't hold this text as it is; empty if it can."""
    if _CONTROL_CHARACTER.search(text):
        return "must not hold control characters"
    if len(text.encode("utf-8", "surrogatepass")) > MAX_HEADER_VALUE_BYTES:
        return f"must not be longer than {MAX_HEADER_VALUE_BYTES} bytes in UTF-8"
    return ""


def to_header_value(text: str) -> str:
    """Returns text in UTF-8 as a header value, each byte as the Latin-1 character that HTTP libraries write for it.

    Text that `find_header_fault` rejects may come from a state that an earlier release stored. Its control characters
    are percent-encoded; what is too long is cut, with a hash of the whole text as its end.
    """
    if text.isascii() and text.isprintable() and len(text) <= MAX_HEADER_VALUE_BYTES:
        return text
    escaped = _CONTROL_CHARACTER.sub(lambda match: f"%{ord(match[0]):02X}", text)
    encoded = escaped.encode("utf-8", "backslashreplace")
    if len(encoded) > MAX_HEADER_VALUE_BYTES:
        digest = hashlib.blake2b(encoded, digest_size=HEADER_DIGEST_BYTES).hexdigest()
        cut = encoded[: MAX_HEADER_VALUE_BYTES - len(digest)].decode("utf-8", "ignore")
        encoded = (cut + digest).encode()
    return encoded.decode("latin-1")


def from_header_value(value: str) -> str:
    """Returns the text of a header value that an HTTP library decoded as Latin-1: UTF-8 if its bytes are that."""
    if value.isascii():
        return value
    try:
        return value.encode("latin-1").decode()
    except UnicodeError:
        return value
