"""RetryBudget (§8.4): retries to a service stay a small share of its traffic."""

from __future__ import annotations

BURST_LIMIT = 10.0


class RetryBudget:
    """A token bucket a service: a job pays its share in, a retry takes a whole token out."""

    def __init__(self) -> None:
        self.tokens: dict[str, float] = {}
        self.job_count = 0
        self.retry_count = 0

    def deposit(self, service: str, share: float) -> None:
        self.job_count += 1
        self.tokens[service] = min(self.tokens.get(service, 0.0) + share, BURST_LIMIT)

    def try_withdraw(self, service: str) -> bool:
        if self.tokens.get(service, 0.0) < 1.0 - 1e-9:
            return False
        self.tokens[service] -= 1.0
        self.retry_count += 1
        return True
