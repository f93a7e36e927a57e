"""The forms in which hosts and paths are compared (§5.4): those that clients send."""

from __future__ import annotations

import re
import urllib.parse

# In a path: escaped bytes, whose digits may be of either case, and characters that a client has to escape.
_ESCAPES_AND_UNSAFE_CHARACTERS = re.compile(r"%[0-9a-fA-F]{2}|[^!-~]+")


def normalize_host(host: str) -> str:
    """Returns the host in lower case and without its port, as hosts are compared.

    A name beyond ASCII is returned in the form that DNS and most clients use (IDNA), where it has one.
    """
    name, colon, port = host.strip().lower().rpartition(":")
    if not colon or not (port.isdigit() or not port) or name.endswith(":"):
        name = host.strip().lower()
    return name if name.isascii() else _to_idna(name)


def _to_idna(name: str) -> str:
    try:
        return name.encode("idna").decode()
    except UnicodeError:
        return name


def normalize_path(path: str) -> str:
    """Returns a path or a prefix in the form that clients send, as paths are compared.

    Characters that the path of a request can't hold are percent-encoded as UTF-8; the digits of escapes are in upper
    case.
    """
    return _ESCAPES_AND_UNSAFE_CHARACTERS.sub(_normalize_escape, path)


def _normalize_escape(match: re.Match[str]) -> str:
    text = match[0]
    return text.upper() if text.startswith("%") else urllib.parse.quote(text, safe="")
