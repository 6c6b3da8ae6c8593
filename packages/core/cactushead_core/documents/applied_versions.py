"""The document versions that one process has applied."""

from .messages import DocumentUpdate, DocumentUpdateAck, DocumentVersion


class AppliedVersions:
    """Tracks the document version that a process has applied per service.

    Explanation:
        A version never decreases, also when an update has an older one.

    Examples:
        >>> from .messages import DocumentUpdate
        >>> versions = AppliedVersions('a0', 'a0-1')
        >>> versions.apply_update(DocumentUpdate(1, ())).versions
        ()
        >>> versions.version('sample')
        0
    """

    def __init__(self, process: str, incarnation: str) -> None:
        """Creates a tracker without documents.

        Args:
            process: Name of the process.
            incarnation: Its incarnation.
        """
        self._process = process
        self._incarnation = incarnation
        self._versions: dict[str, int] = {}

    def version(self, service: str) -> int:
        """Returns the applied version of a service's document, 0 for none.

        Args:
            service: Name of the service.
        """
        return self._versions.get(service, 0)

    def apply_update(self, update: DocumentUpdate) -> DocumentUpdateAck:
        """Applies an update and returns its acknowledgement.

        Args:
            update: The leader's update.
        """
        applied: list[DocumentVersion] = []
        for document in update.documents:
            service = document.service
            version = max(self.version(service), document.version)
            self._versions[service] = version
            applied.append(DocumentVersion(service, version))
        return DocumentUpdateAck(
            self._process,
            self._incarnation,
            tuple(applied),
        )
