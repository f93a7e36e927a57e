"""run_command (§3.4): what all command lines do alike: the version, closed pipes, interrupts."""

from __future__ import annotations

import os
import sys

import fire

from pearhead import PEARHEAD_RELEASE


def run_command(command: type, program_name: str) -> None:
    """Runs the command line of `sys.argv` with the methods of `command` as its subcommands."""
    if sys.argv[1:] == ["--version"]:
        print(f"{program_name} {PEARHEAD_RELEASE}")
        return
    try:
        fire.Fire(command, name=program_name)
        sys.stdout.flush()
    except BrokenPipeError:
        # Whoever read our output has seen enough.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        raise SystemExit(1) from None
    except KeyboardInterrupt:
        raise SystemExit(130) from None
