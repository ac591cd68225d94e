"""The administration API: statements of operators over HTTP."""

from http import HTTPStatus

from catkinspread.operations import (
    ChangeUnconfirmed,
    Forbidden,
    InvalidChange,
    LogDamaged,
    OperationsError,
    OperationsService,
    PlatformUnavailable,
    SyntaxProblem,
    Unauthorised,
    UnknownName,
    VersionChanged,
    render_error,
    render_error_json,
    render_json,
    render_table,
)
from catkinspread.transport import HttpRequest, HttpServerResponse

STATEMENT_PATH = "/v1/statements"
STATEMENT_MAX_BYTES = 8_192
_JSON = "application/json"
_TEXT = "text/plain; charset=utf-8"

_STATUS_BY_ERROR: dict[type[OperationsError], HTTPStatus] = {
    SyntaxProblem: HTTPStatus.BAD_REQUEST,
    InvalidChange: HTTPStatus.BAD_REQUEST,
    Unauthorised: HTTPStatus.UNAUTHORIZED,
    Forbidden: HTTPStatus.FORBIDDEN,
    UnknownName: HTTPStatus.NOT_FOUND,
    VersionChanged: HTTPStatus.CONFLICT,
    PlatformUnavailable: HTTPStatus.SERVICE_UNAVAILABLE,
    ChangeUnconfirmed: HTTPStatus.GATEWAY_TIMEOUT,
    LogDamaged: HTTPStatus.INTERNAL_SERVER_ERROR,
}


class AdminApi:
    """Answers requests of the administration API.

    `POST /v1/statements` takes a statement as text and a token as
    `Authorization: Bearer TOKEN`. The reply is a table, or JSON with
    `Accept: application/json`.
    """

    __slots__ = ("_service",)

    def __init__(self, service: OperationsService) -> None:
        self._service = service

    async def answer(self, request: HttpRequest) -> HttpServerResponse:
        """Returns the answer to a request; never raises for what the request contains."""
        if request.target != STATEMENT_PATH:
            return _refuse(HTTPStatus.NOT_FOUND, f"the only path is {STATEMENT_PATH}")
        if request.method != "POST":
            return _refuse(HTTPStatus.METHOD_NOT_ALLOWED, "the only method is POST")
        try:
            text = request.body.decode("utf-8")
        except UnicodeDecodeError:
            return _refuse(HTTPStatus.BAD_REQUEST, "the statement is not UTF-8")
        scheme, _, token = request.headers.get("authorization", "").partition(" ")
        token = token.strip() if scheme.lower() == "bearer" else ""
        result = await self._service.execute(token, text)
        is_json = _JSON in request.headers.get("accept", "")
        if result.is_error():
            body = render_error_json(result.error) if is_json else render_error(result.error)
            status = _STATUS_BY_ERROR.get(type(result.error), HTTPStatus.BAD_REQUEST)
        else:
            body = render_json(result.ok) if is_json else render_table(result.ok)
            status = HTTPStatus.OK
        return HttpServerResponse(status, body.encode(), content_type=_JSON if is_json else _TEXT)


def _refuse(status: HTTPStatus, message: str) -> HttpServerResponse:
    return HttpServerResponse(status, f"error: {message}\n".encode(), content_type=_TEXT)
