"""Base class of the ASGI applications."""

import logging
from abc import ABC, abstractmethod

from .asgi import Receive, Scope, SendMessage
from .errors import CallerDisconnectedError
from .exchange import Exchange
from .reply import Reply


class HttpApp(ABC):
    """An ASGI application; subclasses handle the HTTP exchanges.

    Explanation:
        WebSocket connections are closed. An exception in a handler is logged
        and answered with an internal error reply.
    """

    def __init__(self, log: logging.Logger) -> None:
        """Initializes the application.

        Args:
            log: Logger for failed and aborted exchanges.
        """
        self._logger = log

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: SendMessage,
    ) -> None:
        """Serves one ASGI scope.

        Args:
            scope: The scope: an HTTP request, the lifespan or a WebSocket.
            receive: Returns the scope's next message.
            send: Sends a message to the server.
        """
        match scope['type']:
            case 'http':
                await self._serve(Exchange(scope, receive, send))
            case 'lifespan':
                await _serve_lifespan(receive, send)
            case 'websocket':
                await send({'type': 'websocket.close'})

    async def _serve(self, exchange: Exchange) -> None:
        """Handles one exchange and sends its reply."""
        try:
            await exchange.send(await self._reply_or_error(exchange))
        except CallerDisconnectedError:
            self._logger.debug(
                '%s: caller disconnected before the reply',
                exchange.raw_path,
            )
        finally:
            exchange.close()

    async def _reply_or_error(self, exchange: Exchange) -> Reply:
        """Returns the handler's reply, or the internal error reply."""
        try:
            return await self._handle_exchange(exchange)
        except CallerDisconnectedError:
            raise
        except Exception:
            self._logger.exception(
                '%s %s failed',
                exchange.method,
                exchange.raw_path,
            )
            return self._internal_error_reply()

    @abstractmethod
    async def _handle_exchange(self, exchange: Exchange) -> Reply:
        """Returns the reply to an exchange."""

    @abstractmethod
    def _internal_error_reply(self) -> Reply:
        """Returns the reply for a handler that raised an exception."""


async def _serve_lifespan(receive: Receive, send: SendMessage) -> None:
    """Acknowledges the start-up and the shutdown of the server."""
    stage = ''
    while stage != 'shutdown':
        message = await receive()
        stage = message['type'].removeprefix('lifespan.')
        await send({'type': f'lifespan.{stage}.complete'})
