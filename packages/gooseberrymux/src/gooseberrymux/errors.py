"""Base classes of the project's exceptions; modules derive their own from them."""


class MuxError(Exception):
    """An error with the step and the peer at which it occurred.

    Args:
        step: The operation that failed, for example `upstream.send`.
        peer: The instance, upstream or address at the other end; empty for none.
        message: Description in one line, for people.
    """

    def __init__(self, *, step: str, message: str, peer: str = ""):
        super().__init__(message)
        self.step = step
        self.peer = peer
        self.message = message

    def __str__(self) -> str:
        """Returns step, peer and message in one line."""
        location = f"{self.step} ({self.peer})" if self.peer else self.step
        return f"{location}: {self.message}"


class UserError(MuxError):
    """An error that the command line prints as one line without a traceback."""
