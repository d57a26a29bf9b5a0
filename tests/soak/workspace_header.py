"""Service of test instances: takes a request's workspace from a header of the test."""

import dataclasses

from gooseberrymux.gateway import Gateway
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.routes import Workspace

# Its value is the name, the rate a second and the burst, with colons between.
WORKSPACE_HEADER = "x-soak-workspace"


@service("workspace_header", requires=("gateway",))
class WorkspaceHeader:
    """Sets `RoutedRequest.workspace` of requests that carry the header."""

    __slots__ = ()

    def __init__(self, *, kernel: Kernel):
        create = Gateway._create_forward

        def create_with_workspace(gateway, received, *arguments):
            forward = create(gateway, received, *arguments)
            value = received.request.get_header(WORKSPACE_HEADER)
            if not value:
                return forward
            name, rate, burst = value.split(":")
            workspace = Workspace(name=name, rate_per_s=float(rate), burst=float(burst))
            return dataclasses.replace(forward, workspace=workspace)

        Gateway._create_forward = create_with_workspace

    def start(self) -> None:
        """Does nothing."""

    def drain(self, deadline_ms: float) -> None:
        """Does nothing."""

    def stop(self) -> None:
        """Does nothing."""
