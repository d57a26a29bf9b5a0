"""Administration API, on an address that callers can't reach, with operator tokens."""

import cheroot.wsgi

from gooseberrymux import web
from gooseberrymux.documents import Documents
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.web import Request, Response


@service("admin", requires=("documents",))
class Admin:
    """Serves operators."""

    __slots__ = ("_kernel", "_documents", "_server")

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._documents = kernel.find("documents", Documents)
        self._server: cheroot.wsgi.Server | None = None

    def start(self) -> None:
        """Opens the listener."""
        self._server = web.create_server(
            address=self._kernel.settings.instance.administration,
            threads=4,
            handle=self.handle,
        )
        self._server.prepare()
        self._kernel.spawn(name="admin.server", target=self._server.serve)

    def drain(self, deadline_ms: float) -> None:
        """Stays up, so that operators can watch the drain."""

    def stop(self) -> None:
        """Closes the listener."""
        if self._server:
            web.stop_server(self._server)

    def handle(self, request: Request) -> Response:
        """Answers one request."""
        match (request.method, request.path):
            case ("GET", "/v1/status"):
                digests = {
                    digest.name: digest.generation
                    for digest in self._documents.list_digests()
                }
                return web.create_json(status=200, body={"documents": digests})
            case _:
                return web.create_error(
                    status=404,
                    code="not_found",
                    message=f"no {request.method} {request.path}",
                    run_state="not_run",
                )
