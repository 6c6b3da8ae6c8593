"""Parsing of option values from the command line."""

import json
import math
from collections.abc import Sequence

from cactushead_core.errors import CactusheadError

from ..client import JsonValue, TaskInput, UsageError
from ..client.fields import Fields

TRUE_TEXTS = frozenset(('True', 'true', 'yes', '1'))
FALSE_TEXTS = frozenset(('False', 'false', 'no', '0'))
FLAGS = frozenset(
    (
        'alone',
        'flood',
        'json',
        'no_wait',
    )
)
TASK_FIELDS = frozenset(('input', 'cores', 'memory_mb'))


def expand_flags(arguments: Sequence[str]) -> list[str]:
    """Adds the value `True` to each flag.

    Fire would otherwise use the argument after a flag as its value.

    Examples:
        >>> expand_flags(['--json', 'status', 'sample', 'k1'])
        ['--json=True', 'status', 'sample', 'k1']

    Args:
        arguments: The arguments after the program's name.
    """
    return [
        f'{argument}=True' if _is_flag(argument) else argument
        for argument in arguments
    ]


def _is_flag(argument: str) -> bool:
    name = argument.removeprefix('--').replace('-', '_')
    return argument.startswith('--') and name in FLAGS


def parse_flag(text: str) -> bool:
    """Parses the value of a flag.

    Args:
        text: One of the texts for true and false, such as `True` or `no`.

    Raises:
        UsageError: If the text is none of them.
    """
    if text in TRUE_TEXTS:
        return True
    if text in FALSE_TEXTS:
        return False
    raise UsageError(f'expected True or False, got {text!r}')


def parse_number(text: str) -> float:
    """Parses a finite number.

    Examples:
        >>> parse_number('0.7')
        0.7

    Raises:
        UsageError: If the text is not a finite number.
    """
    try:
        number = float(text)
    except ValueError:
        raise UsageError(f'expected a number, got {text!r}') from None
    if not math.isfinite(number):
        raise UsageError(f'expected a finite number, got {text!r}')
    return number


def parse_integer(text: str) -> int:
    """Parses an integer.

    Raises:
        UsageError: If the text is not an integer.
    """
    try:
        return int(text)
    except ValueError:
        raise UsageError(f'expected an integer, got {text!r}') from None


def parse_task_inputs(texts: Sequence[str]) -> 'tuple[JsonValue, ...]':
    """Parses the inputs of tasks and reports all invalid ones.

    Args:
        texts: JSON texts.

    Raises:
        UsageError: If any text is not JSON.
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
    """Parses a file with one task per line and reports all invalid lines.

    Examples:
        >>> parse_task_lines('tasks.jsonl', b'{"input": 1, "cores": 2}')
        (TaskInput(content=1, cores=2.0, memory_mb=None),)

    Args:
        name: Name of the file, for the findings.
        body: Lines of JSON: `{"input": any, "cores"?: n, "memory_mb"?: n}`.

    Raises:
        UsageError: If any line is not a valid task.
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
