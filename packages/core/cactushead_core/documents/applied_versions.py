"""The document versions that one process holds."""

from .messages import DocumentUpdate, DocumentUpdateAck, DocumentVersion


class AppliedVersions:
    """Takes the leader's notices; a version never goes back.

    Examples:
        >>> from .messages import DocumentUpdate
        >>> versions = AppliedVersions('a0', 'a0-1')
        >>> versions.apply_update(DocumentUpdate(1, ())).versions
        ()
        >>> versions.version('sample')
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

    def apply_update(self, notice: DocumentUpdate) -> DocumentUpdateAck:
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
        return DocumentUpdateAck(self._process, self._incarnation, tuple(held))
