"""Retry budget that limits the load caused by retries."""

TOKENS_PER_REQUEST = 0.1
MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket filled by requests and drained by retries.

    Each request adds a tenth of a token, and a retry takes a whole one. The
    capacity prevents tokens saved over a quiet period from paying for a large
    burst of retries.
    """

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def deposit(self) -> None:
        """Add the tokens for a request that is not a retry."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_REQUEST)

    def try_withdraw(self) -> bool:
        """Take the token for a retry; return whether one was available."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
