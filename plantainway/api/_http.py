"""Error responses and body parsing shared by the HTTP APIs."""

import json

from aiohttp import web

from plantainway import errors
from plantainway import logs

BODY_MAX_BYTES = 4 << 20
REQUEST_ID = web.RequestKey('request_id', str)


def error_response(exc: errors.PlantainwayError) -> web.Response:
    """Returns the HTTP response for an error.

    The status is that of the error; ``Retry-After`` is set if it was not run.

    Args:
        exc: The error to send.
    """
    headers = {}
    if isinstance(exc, errors.NotRunError):
        headers['Retry-After'] = str(exc.retry_after_s)
    return web.json_response(
        {'error': exc.to_dict()}, status=exc.http_status, headers=headers
    )


@web.middleware
async def error_middleware(request, handler):
    """Turns exceptions into error responses and adds the request id.

    Args:
        request: Request of the caller.
        handler: Handler to call.

    Raises:
        ConnectionError: If the handler failed after it had begun a response;
            the server then closes the connection.
    """
    resp = await _handle(request, handler)
    if request.writer.output_size and not resp.prepared:
        raise ConnectionError('another response has begun')
    if REQUEST_ID in request and not resp.prepared:
        resp.headers['X-Request-Id'] = request[REQUEST_ID]
    return resp


async def _handle(request, handler):
    try:
        return await handler(request)
    except errors.PlantainwayError as exc:
        logs.event(
            'request_failed',
            'DEBUG',
            path=request.path,
            code=exc.code,
            step=exc.step,
            reason=exc.message,
        )
        return error_response(exc)
    except web.HTTPException as exc:
        if exc.status < 400:
            raise
        error = errors.BadRequestError(exc.reason, 'http')
        error.http_status = exc.status
        return error_response(error)
    except ConnectionError:
        raise
    except Exception as exc:
        logs.event(
            'handler_failed', 'ERROR', path=request.path, reason=repr(exc)
        )
        return error_response(
            errors.PlantainwayError('internal error of the node', 'http')
        )


async def json_body(request) -> dict:
    """Returns the request body, which must be a JSON object.

    Args:
        request: Request of the caller.

    Raises:
        BadRequestError: If the body is not JSON or not an object.
    """
    try:
        body = json.loads(await request.read())
    except (ValueError, RecursionError) as exc:
        raise errors.BadRequestError(f'body is not JSON: {exc}'[:200], 'http')
    if not isinstance(body, dict):
        raise errors.BadRequestError('body must be a JSON object', 'http')
    return body
