"""Messages between instances about the quotas of workspaces."""

import dataclasses

_message = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_message
class QuotaRequest:
    """Asks a member for tokens of a workspace; answered by one `QuotaGrant`.

    Attributes:
        id: Number of the request; rises within an incarnation of the sender.
        workspace: Name of the workspace.
        tokens: How many tokens are wanted.
        ahead: Whether the tokens are for later requests. Otherwise a caller waits.
        closed_id: The sender uses no token that it asked for by this id or a lower one.
        generation: Generation of the configuration that the next two fields are from.
        rate_per_s: Requests a second that the workspace may send; 0 for no limit.
        burst: Requests that it may send at once after a pause.
    """

    id: int
    workspace: str
    tokens: int
    ahead: bool = False
    closed_id: int = 0
    generation: int
    rate_per_s: float
    burst: float


@_message
class QuotaGrant:
    """Answers a `QuotaRequest`; without tokens it is a refusal.

    Attributes:
        id: Id of the request.
        workspace: Name of the workspace.
        tokens: How many tokens are granted.
        lapse_ms: Time after the sending of the request at which the tokens expire.
        retry_after_ms: After a refusal, time after which a caller should retry.
        owner: If the member is neither owner nor stand-in, the owner that it knows.
    """

    id: int
    workspace: str
    tokens: int
    lapse_ms: float = 0.0
    retry_after_ms: float = 0.0
    owner: str = ""


QUOTA_TYPES = (QuotaRequest, QuotaGrant)
