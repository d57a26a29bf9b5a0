"""Root of every exception of the project; each module derives its own family."""


class MuxError(Exception):
    """An error that knows at which step and with which peer it arose.

    Args:
        step: The operation that failed, for example `upstream.send`.
        peer: The instance, upstream or address at the other end; empty for none.
        message: One line for people.
    """

    def __init__(self, *, step: str, message: str, peer: str = ""):
        super().__init__(message)
        self.step = step
        self.peer = peer
        self.message = message

    def __str__(self) -> str:
        """Returns step, peer and message in one line."""
        place = f"{self.step} ({self.peer})" if self.peer else self.step
        return f"{place}: {self.message}"


class UserError(MuxError):
    """An error that the command line prints as one line without a traceback."""
