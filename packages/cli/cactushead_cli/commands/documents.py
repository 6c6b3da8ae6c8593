"""Commands for service documents."""

import json

from cactushead_core.documents import ServiceDocument
from cactushead_core.documents.schema import parse_document
from cactushead_core.errors import DocumentError

from ..addresses import read_input_file
from ..output import with_progress, write_json, write_line
from .context import EXIT_SUCCESS, Action, Context


class DocumentCommands:
    """Validate, submit and show service documents."""

    def __init__(self, context: Context) -> None:
        """Stores the options of all commands."""
        self._context = context

    def check(self, file: str) -> Action:
        """Validates a document offline and reports all findings.

        Args:
            file: File with the document, JSON.
        """
        return Action(lambda: check_document(self._context, file))

    def submit(self, file: str) -> Action:
        """Submits a document after it has been validated offline.

        Args:
            file: File with the document, JSON.
        """
        return Action(lambda: submit_document(self._context, file))

    def show(self, service: str = '') -> Action:
        """Shows the documents in force.

        Args:
            service: Name of a service; default: all services.
        """
        return Action(lambda: show_documents(self._context, service))


async def check_document(context: Context, file_name: str) -> int:
    """Validates a document offline.

    Raises:
        UsageError: If the file can't be read.
        DocumentError: With all findings.
    """
    document = _parse(file_name, read_input_file(file_name))
    if context.as_json:
        write_json(
            {
                'service': document.service,
                'version': document.version,
                'findings': [],
            }
        )
    else:
        write_line(
            f'{file_name}: service {document.service} '
            f'version {document.version} is correct',
        )
    return EXIT_SUCCESS


async def submit_document(context: Context, file_name: str) -> int:
    """Validates and submits a document and shows where it is in force."""
    body = read_input_file(file_name)
    document = _parse(file_name, body)
    client = context.make_client()
    view = await with_progress(
        f'submitting document {document.service}',
        lambda: client.submit_document(document.service, body),
    )
    if context.as_json:
        write_json(
            {
                'service': view.service,
                'version': view.version,
                'in_force': list(view.in_force),
                'pending': list(view.pending),
            }
        )
        return EXIT_SUCCESS
    write_line(f'service {view.service} version {view.version} is accepted')
    write_line(f'  in force at: {", ".join(view.in_force) or "none yet"}')
    if view.pending:
        write_line(f'  not yet confirmed by: {", ".join(view.pending)}')
    return EXIT_SUCCESS


async def show_documents(context: Context, service: str) -> int:
    """Shows a service's document in force, or all for an empty name."""
    documents = await context.make_client().documents(service)
    if context.as_json:
        write_json(documents)
    else:
        write_line(json.dumps(documents, indent=2, ensure_ascii=False))
    return EXIT_SUCCESS


def _parse(file_name: str, body: bytes) -> ServiceDocument:
    """Parses a document; findings are reported with the file's name."""
    try:
        return parse_document(body)
    except DocumentError as error:
        raise DocumentError(file_name, error.findings) from error
