"""run_command (§3.4): what all command-line programs share: the version, closed pipes and interrupts."""

from __future__ import annotations

import io
import os
import sys

import fire

from pearhead import PEARHEAD_RELEASE


def run_command(command: type, program_name: str) -> None:
    """Runs `sys.argv` with the methods of `command` as subcommands.

    Raises SystemExit(1) if the reader of the output closed the pipe, and SystemExit(130) on an interrupt.
    """
    if sys.argv[1:] == ["--version"]:
        print(f"{program_name} {PEARHEAD_RELEASE}")
        return
    if isinstance(sys.stdout, io.TextIOWrapper):
        # A name that the terminal's encoding lacks is shown escaped, as standard error shows it.
        sys.stdout.reconfigure(errors="backslashreplace")
    try:
        fire.Fire(command, name=program_name)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the output closed the pipe. What is left goes to the null device, so that flushing standard
        # output at exit does not fail as well.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        raise SystemExit(1) from None
    except KeyboardInterrupt:
        raise SystemExit(130) from None
