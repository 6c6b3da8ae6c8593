"""Choice of the entries to which a process keeps links.

Explanation:
    Each process ranks the entries by rendezvous hashing and keeps links to
    the first ones. Processes with the same members therefore agree without
    communication, the entries get about equal numbers of links, and the
    arrival or loss of an entry changes only the links to that entry.

References:
    D. G. Thaler, C. V. Ravishankar: Using name-based mappings to increase hit
    rates. IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import hashlib
from collections.abc import Callable, Iterable

# Below this number of entries a subset would save few links.
MAX_FULL_MESH_ENTRIES = 9
# Six entries give each entry enough agents for the widest jobs and leave one
# in a data centre that is cut off with the agent in most fleets.
ENTRIES_PER_AGENT = 6
# An entry reaches its peers through these if all entries with a disk fail.
PEERS_PER_ENTRY = 3

# An agent dials twice as many replacements as entries have failed, since those
# that failed for the same reason are found only after a second.
REPLACEMENTS_PER_FAILED_ENTRY = 2

_WEIGHT_BYTES = 8


def rank(own: str, names: Iterable[str]) -> list[str]:
    """Returns names by descending weight for one process.

    Args:
        own: Name of the process that ranks.
        names: Names to rank.

    Examples:
        >>> rank('a', ['x', 'y', 'z']) == rank('a', ['z', 'y', 'x'])
        True
    """
    return sorted(names, key=lambda name: (_weight(own, name), name))


class Subset:
    """The highest ranked names that can be reached.

    Explanation:
        A name that can't be reached stays selected, since it is tried again,
        but another one is selected in addition.
    """

    def __init__(
        self,
        own: str,
        size: int,
        full_mesh: int,
        replacements: int = 1,
    ) -> None:
        """Starts without names.

        Args:
            own: Name of the process that selects.
            size: Number of reachable names to select.
            full_mesh: Number of names up to which all are selected.
            replacements: Number of names that are tried at a time for each
                that has failed.
        """
        self._own = own
        self._size = size
        self._full_mesh = full_mesh
        self._replacements = replacements
        self._ranked: list[str] = []
        self._names: frozenset[str] = frozenset()

    def select(
        self,
        names: Iterable[str],
        is_reachable: Callable[[str], bool],
        is_connected: Callable[[str], bool],
    ) -> frozenset[str]:
        """Returns the selected names.

        Args:
            names: All names.
            is_reachable: Whether a name has not failed.
            is_connected: Whether a name is connected.
        """
        known = frozenset(names)
        if known != self._names:
            self._names = known
            self._ranked = rank(self._own, known)
        if len(known) <= self._full_mesh:
            return known
        selected = []
        reachable = 0.0
        failed = False
        for name in self._ranked:
            selected.append(name)
            if is_reachable(name):
                pending = failed and not is_connected(name)
                reachable += 1 / self._replacements if pending else 1
            else:
                failed = True
            if reachable >= self._size:
                break
        return frozenset(selected)


def _weight(own: str, name: str) -> bytes:
    text = f'{own}\n{name}'.encode()
    return hashlib.blake2b(text, digest_size=_WEIGHT_BYTES).digest()
