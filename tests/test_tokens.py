"""Bearer tokens identify callers; a missing or unknown token is refused."""

import pytest
from result import Err, Ok

from gooseberrymux.api import identify_caller
from gooseberrymux.web import Request

TOKENS = {"secret-1": "dispatch", "secret-2": "bursar"}


def create_request(**headers):
    return Request(
        method="POST", path="/v1/query", query="", headers=headers, environ={}
    )


@pytest.mark.parametrize(
    ("authorization", "status"),
    [("", 401), ("Bearer ", 401), ("Basic secret-1", 401), ("Bearer secret-", 403)],
)
def test_request_without_a_known_token_is_refused(authorization, status):
    # The `X-Caller` header must not replace a token where tokens are set.
    request = create_request(authorization=authorization, **{"x-caller": "dispatch"})
    match identify_caller(request, tokens=TOKENS):
        case Err(response):
            assert response.status == status
            assert b'"run_state": "not_run"' in response.body
        case Ok(caller):
            pytest.fail(f"accepted as {caller}")


def test_token_names_the_caller():
    request = create_request(
        authorization="Bearer secret-2", **{"x-caller": "dispatch"}
    )
    assert identify_caller(request, tokens=TOKENS) == Ok("bursar")


def test_header_names_the_caller_where_no_tokens_are_set():
    request = create_request(**{"x-caller": "dispatch"})
    assert identify_caller(request, tokens={}) == Ok("dispatch")
