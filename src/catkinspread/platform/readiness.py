"""Answers the readiness check of the platform's routers."""

from collections.abc import Callable

import anyio
import anyio.abc

from catkinspread.model import Endpoint
from catkinspread.transport.http_server import HttpRequest, HttpServer, HttpServerResponse

READINESS_PATH = "/catkinspread/ready"
_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
_BODY_MAX_BYTES = 1_024
# Leaves most descriptors of the process to the store and to other instances.
_CONNECTIONS_MAX = 512


class ReadinessServer:
    """Tells the routers whether this instance takes packets.

    Args:
        endpoint: Where the check is answered.
        is_ready: Returns the answer.
        on_accept: See `HttpServer`.
    """

    __slots__ = ("_endpoint", "_is_ready", "_server")

    def __init__(
        self,
        endpoint: Endpoint,
        is_ready: Callable[[], bool],
        on_accept: Callable[[OSError | None], None],
    ) -> None:
        self._endpoint = endpoint
        self._is_ready = is_ready
        self._server = HttpServer(
            self._answer,
            _BODY_MAX_BYTES,
            "readiness",
            on_accept=on_accept,
            connections_max=_CONNECTIONS_MAX,
        )

    async def run(self, *, task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled.

        Args:
            task_status: Notified once the server listens.
        """
        await self._server.run(self._endpoint, task_status=task_status)

    async def _answer(self, request: HttpRequest) -> HttpServerResponse:
        if request.target != READINESS_PATH:
            return HttpServerResponse(_NOT_FOUND)
        return HttpServerResponse(
            _OK if self._is_ready() else _UNAVAILABLE, content_type="application/json"
        )
