"""Retry budget, so that failures cannot multiply load."""

RETRY_SHARE = 0.1
MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket that is filled by requests and emptied by retries.

    Each request adds a tenth of a token; a retry takes a whole one. The
    bound keeps a quiet hour from paying for a burst of retries.
    """

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def earn(self) -> None:
        """Note a request that is not a retry."""
        self._tokens = min(MAX_TOKENS, self._tokens + RETRY_SHARE)

    def spend(self) -> bool:
        """Take the token of one retry; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
