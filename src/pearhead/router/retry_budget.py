"""RetryBudget (§8.4): limits the retries of a service to a small share of its traffic."""

from __future__ import annotations

BURST_LIMIT = 10.0


class RetryBudget:
    """One token bucket per service: each job deposits its share of a token, each retry withdraws a whole one."""

    def __init__(self) -> None:
        self.tokens: dict[str, float] = {}
        self.job_count = 0
        self.retry_count = 0

    def deposit(self, service: str, share: float) -> None:
        """Counts a job and adds its share of a token, up to BURST_LIMIT tokens."""
        self.job_count += 1
        self.tokens[service] = min(self.tokens.get(service, 0.0) + share, BURST_LIMIT)

    def try_withdraw(self, service: str) -> bool:
        """Withdraws one token for a retry; returns False if the service has none."""
        if self.tokens.get(service, 0.0) < 1.0 - 1e-9:
            return False
        self.tokens[service] -= 1.0
        self.retry_count += 1
        return True
