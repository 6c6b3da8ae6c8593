"""Base class of the pydantic models and their findings."""

from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

from ..errors import Finding
from .fields import shorten
from .strict_json import ROOT_PLACE, LoadedJson, child_place, item_place

_MESSAGES = {
    'missing': 'missing',
    'extra_forbidden': 'unknown field',
    'model_type': 'must be an object',
    'dict_type': 'must be an object',
    'list_type': 'must be an array',
    'string_type': 'must be a text',
    'int_type': 'must be a whole number',
    'float_type': 'must be a number',
    'bool_type': 'must be true or false',
}
_BARE = frozenset(('missing', 'extra_forbidden'))

_Schema = TypeVar('_Schema', bound='Schema')


class Schema(BaseModel):
    """A strict model: no conversions, no unknown fields, finite numbers."""

    model_config = ConfigDict(
        strict=True,
        extra='forbid',
        allow_inf_nan=False,
        hide_input_in_errors=True,
    )


def validate(
    schema: type[_Schema],
    loaded: LoadedJson,
) -> tuple[_Schema | None, list[Finding]]:
    """Checks a loaded JSON text against a model.

    Args:
        schema: The model.
        loaded: The text.

    Returns:
        The model's instance, None if there is any finding in the text's
        structure, and the findings of text and model.
    """
    findings = list(loaded.findings)
    if not loaded.parsed:
        return None, findings
    try:
        instance = schema.model_validate(loaded.content)
    except ValidationError as error:
        known = {finding.place for finding in findings}
        findings.extend(
            finding
            for finding in map(_to_finding, error.errors(include_url=False))
            if finding.place not in known
        )
        return None, findings
    return instance, findings


def _to_finding(detail: Any) -> Finding:
    kind = detail['type']
    message = _MESSAGES.get(kind) or _lower_first(detail['msg'])
    if kind in _BARE:
        return Finding(_place(detail['loc']), message)
    got = shorten(detail['input'])
    return Finding(_place(detail['loc']), f'{message}, got {got}')


def _lower_first(message: str) -> str:
    plain = message.removeprefix('Value error, ')
    return plain[:1].lower() + plain[1:]


def _place(location: tuple[int | str, ...]) -> str:
    place = ''
    for step in location:
        if isinstance(step, int):
            place = item_place(place, step)
        elif step != '[key]':
            place = child_place(place, step)
    return place or ROOT_PLACE
