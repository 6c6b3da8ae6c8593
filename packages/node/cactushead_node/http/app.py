"""An ASGI application that answers exchange by exchange."""

import logging
from abc import ABC, abstractmethod

from .errors import CallerDisconnectedError
from .exchange import Exchange, Receive, Scope, SendMessage
from .reply import Reply


class HttpApp(ABC):
    """Serves ASGI scopes; subclasses answer the exchanges."""

    def __init__(self, log: logging.Logger) -> None:
        """Serves nothing yet.

        Args:
            log: Takes the lines about exchanges that fail.
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
            scope: The scope.
            receive: Gives the scope's next message.
            send: Takes the next message to the server.
        """
        match scope['type']:
            case 'http':
                await self._serve(Exchange(scope, receive, send))
            case 'lifespan':
                await _serve_lifespan(receive, send)
            case 'websocket':
                await send({'type': 'websocket.close'})

    async def _serve(self, exchange: Exchange) -> None:
        try:
            await exchange.send(await self._reply(exchange))
        except CallerDisconnectedError:
            self._logger.debug('%s: caller hung up', exchange.raw_path)

    async def _reply(self, exchange: Exchange) -> Reply:
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
        """Returns the reply to an exchange whose answer failed."""


async def _serve_lifespan(receive: Receive, send: SendMessage) -> None:
    stage = ''
    while stage != 'shutdown':
        message = await receive()
        stage = message['type'].removeprefix('lifespan.')
        await send({'type': f'lifespan.{stage}.complete'})
