"""Memory that the received parts of unfinished messages may take."""


class ReceiveBudget:
    """Bounds the bytes that many connections hold at the same time.

    Args:
        max_bytes: Bytes that all of them may hold together.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Return the bytes that are held now."""
        return self._used_bytes

    def take(self, size: int) -> bool:
        """Count received bytes.

        Returns:
            Whether they fit; they are counted either way, until returned.
        """
        self._used_bytes += size
        return self._used_bytes <= self._max_bytes

    def give_back(self, size: int) -> None:
        """Stop counting bytes that are no longer held."""
        self._used_bytes -= size
