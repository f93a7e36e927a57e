"""The `pearheadctl` command (§10.1): operators' commands, and under `query` the questions on a fleet's state."""

from __future__ import annotations

import sys

from pearhead.pearheadctl.operator_command import OperatorCommand, OperatorError
from pearhead.pearheadctl.query_command import QueryCommand
from pearhead.runtime.command_line import run_command


class PearheadCtl(OperatorCommand):
    """Applies descriptions and names weights; `query` reads the state of cores and nodes."""

    query = QueryCommand


def main() -> None:
    """Runs the command line; a fault is one line on standard error and status 1."""
    try:
        run_command(PearheadCtl, "pearheadctl")
    except OperatorError as fault:
        print(f"pearheadctl: {fault}", file=sys.stderr)
        raise SystemExit(1) from None


if __name__ == "__main__":
    main()
