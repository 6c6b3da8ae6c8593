"""Parsing of option values, which the command line gives as text."""

import json
import math
from collections.abc import Sequence

from cactushead_core.errors import CactusheadError

from ..client import JsonValue, TaskInput, UsageError
from ..client.fields import Fields

TRUE_WORDS = frozenset(('True', 'true', 'yes', '1'))
FALSE_WORDS = frozenset(('False', 'false', 'no', '0'))
FLAGS = frozenset(
    (
        'alone',
        'flood',
        'json',
        'no_wait',
    )
)
TASK_FIELDS = frozenset(('input', 'cores', 'memory_mb'))


def complete_flags(arguments: Sequence[str]) -> list[str]:
    """Gives each flag its value, so that it takes no word after it.

    Examples:
        >>> complete_flags(['--json', 'status', 'sample', 'k1'])
        ['--json=True', 'status', 'sample', 'k1']

    Args:
        arguments: The command line after the program's name.
    """
    return [f'{word}=True' if _is_flag(word) else word for word in arguments]


def _is_flag(word: str) -> bool:
    name = word.removeprefix('--').replace('-', '_')
    return word.startswith('--') and name in FLAGS


def parse_flag(text: str) -> bool:
    """Parses a flag's value.

    Args:
        text: `True` or `False`.

    Raises:
        UsageError: If the text is neither.
    """
    if text in TRUE_WORDS:
        return True
    if text in FALSE_WORDS:
        return False
    raise UsageError(f'expected True or False, got {text!r}')


def parse_number(text: str) -> float:
    """Parses a finite number.

    Examples:
        >>> parse_number('0.7')
        0.7

    Raises:
        UsageError: If the text is no finite number.
    """
    try:
        number = float(text)
    except ValueError:
        raise UsageError(f'expected a number, got {text!r}') from None
    if not math.isfinite(number):
        raise UsageError(f'expected a finite number, got {text!r}')
    return number


def parse_whole(text: str) -> int:
    """Parses a whole number.

    Raises:
        UsageError: If the text is no whole number.
    """
    try:
        return int(text)
    except ValueError:
        raise UsageError(f'expected a whole number, got {text!r}') from None


def parse_task_inputs(texts: Sequence[str]) -> 'tuple[JsonValue, ...]':
    """Parses inputs of tasks, reporting all that are no JSON.

    Args:
        texts: JSON texts.

    Raises:
        UsageError: If any is no JSON.
    """
    contents: list[JsonValue] = []
    findings: list[str] = []
    for index, text in enumerate(texts):
        try:
            contents.append(json.loads(text))
        except ValueError as error:
            findings.append(f'input {index}: {error}, got {text!r:.60}')
    if findings:
        raise UsageError('; '.join(findings))
    return tuple(contents)


def parse_task_lines(name: str, body: bytes) -> tuple[TaskInput, ...]:
    """Parses a file with one task a line, reporting all bad lines.

    Examples:
        >>> parse_task_lines('tasks.jsonl', b'{"input": 1, "cores": 2}')
        (TaskInput(content=1, cores=2.0, memory_mb=None),)

    Args:
        name: Name of the file, for findings.
        body: Lines of JSON: `{"input": any, "cores"?: n, "memory_mb"?: n}`.

    Raises:
        UsageError: If any line is no task.
    """
    tasks: list[TaskInput] = []
    findings: list[str] = []
    for number, line in enumerate(body.splitlines(), start=1):
        if not line.strip():
            continue
        try:
            tasks.append(_parse_task(line))
        except (ValueError, CactusheadError) as error:
            findings.append(f'{name}:{number}: {error}')
    if findings:
        raise UsageError('; '.join(findings))
    return tuple(tasks)


def _parse_task(line: bytes) -> TaskInput:
    fields = Fields.decode(line)
    unknown = sorted(set(fields.raw) - TASK_FIELDS)
    if unknown:
        raise UsageError(f'unknown field {unknown[0]!r}')
    if 'input' not in fields.raw:
        raise UsageError('the field "input" is missing')
    return TaskInput(
        fields.raw['input'],
        _optional_number(fields, 'cores'),
        _optional_number(fields, 'memory_mb'),
    )


def _optional_number(fields: Fields, name: str) -> float | None:
    if name not in fields.raw:
        return None
    number = fields.number(name, math.nan)
    if not math.isfinite(number) or number < 0:
        raise UsageError(f'{name} must be a number, got {fields.raw[name]!r}')
    return number
