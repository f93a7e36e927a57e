"""CommandSession (§4.2): numbers a process's commands, so that one it gave up on is not run after a later one."""

from __future__ import annotations

from collections import Counter

from pearhead.rpc.wire_pb2 import Command


class CommandSession:
    """One for each life of a process. A repeat of a command bears the number that it was given first."""

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.numbers: Counter[str] = Counter()

    def assign_number(self, command: Command) -> None:
        """Gives a command the next number of its stream; none where repeats are told apart otherwise."""
        stream = _stream_of(command)
        if stream:
            self.numbers[stream] += 1
            command.session = f"{self.identity}/{stream}"
            command.number = self.numbers[stream]


def _stream_of(command: Command) -> str:
    """Commands of one stream are sent one after another, so a later one shows that an earlier was given up."""
    body_name = command.WhichOneof("body")
    if body_name == "hold":
        return f"hold/{command.hold.worker}"
    if body_name == "confirm":
        return f"confirm/{command.confirm.worker}"
    return ""
