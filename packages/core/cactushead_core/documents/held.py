"""The document versions that one process holds."""

from .messages import DocumentNotice, DocumentsHeld, DocumentVersion


class HeldVersions:
    """Takes the leader's notices; a version never goes back.

    Examples:
        >>> from .messages import DocumentNotice
        >>> held = HeldVersions('a0', 'a0-1')
        >>> held.take(DocumentNotice(1, ())).versions
        ()
        >>> held.version('sample')
        0
    """

    def __init__(self, process: str, incarnation: str) -> None:
        """Starts without documents.

        Args:
            process: Name of the process.
            incarnation: Its incarnation.
        """
        self._process = process
        self._incarnation = incarnation
        self._versions: dict[str, int] = {}

    def version(self, service: str) -> int:
        """Returns the version held of a service's document, 0 for none.

        Args:
            service: Name of the service.
        """
        return self._versions.get(service, 0)

    def take(self, notice: DocumentNotice) -> DocumentsHeld:
        """Takes the documents of a notice and returns the confirmation.

        Args:
            notice: The leader's notice.
        """
        held: list[DocumentVersion] = []
        for document in notice.documents:
            service = document.service
            version = max(self.version(service), document.version)
            self._versions[service] = version
            held.append(DocumentVersion(service, version))
        return DocumentsHeld(self._process, self._incarnation, tuple(held))
