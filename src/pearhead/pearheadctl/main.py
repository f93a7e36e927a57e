"""The `pearheadctl` command (§10.1): commands for operators and, under `query`, queries of the fleet's state."""

from __future__ import annotations

import sys

from pearhead.pearheadctl.operator_command import OperatorCommand, OperatorError
from pearhead.pearheadctl.query_command import QueryCommand
from pearhead.runtime.command_line import run_command


class PearheadCtl(OperatorCommand):
    """Changes and shows description, weights and workers; `query` reads the state of cores and nodes (routers)."""

    query = QueryCommand


def main() -> None:
    """Runs the command line; an `OperatorError` is printed to standard error, and the exit status is 1."""
    try:
        run_command(PearheadCtl, "pearheadctl")
    except OperatorError as error:
        print(f"pearheadctl: {error}", file=sys.stderr)
        raise SystemExit(1) from None


if __name__ == "__main__":
    main()
