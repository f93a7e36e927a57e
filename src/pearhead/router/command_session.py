"""CommandSession (§4.2): numbers a process's commands, so that an abandoned one can't run after a later one."""

from __future__ import annotations

from collections import Counter

from pearhead.rpc.wire_pb2 import Command


class CommandSession:
    """Lasts as long as the process.

    Each submission of a command gets a new number, also a second one of the same command. The cores answer a repeated
    number with its first outcome and refuse a lower one.
    """

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.numbers: Counter[str] = Counter()

    def assign_number(self, command: Command) -> None:
        """Sets the session and the next number of a lease or confirm command.

        Other commands are left as they are: their repeats are detected by other means.
        """
        stream = _stream_of(command)
        if stream:
            self.numbers[stream] += 1
            command.session = f"{self.identity}/{stream}"
            command.number = self.numbers[stream]


def _stream_of(command: Command) -> str:
    """The command's stream, or "" if it is not numbered.

    Commands of one stream are sent one at a time, so a later number shows that earlier commands were abandoned.
    """
    body_name = command.WhichOneof("body")
    if body_name == "hold":
        return f"hold/{command.hold.worker}"
    if body_name == "confirm":
        return f"confirm/{command.confirm.worker}"
    return ""
