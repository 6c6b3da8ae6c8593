"""Base class of the pydantic models, and conversion of their errors."""

from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

from ..errors import Finding
from .fields import shorten
from .strict_json import ROOT_PLACE, LoadedJson, child_place, item_place

_MESSAGES_BY_TYPE = {
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
_TYPES_WITHOUT_INPUT = frozenset(('missing', 'extra_forbidden'))

_Schema = TypeVar('_Schema', bound='Schema')


class Schema(BaseModel):
    """A strict model: no type conversions, unknown fields, NaN or infinity."""

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
    """Validates a loaded JSON text with a model.

    Args:
        schema: The model class.
        loaded: The loaded text.

    Returns:
        The instance of the model, None if the text could not be parsed or
        the model rejects it, and the findings of parser and model. A place
        with a finding of the parser gets none of the model.
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
    """Converts one error of pydantic to a finding."""
    error_type = detail['type']
    message = _MESSAGES_BY_TYPE.get(error_type) or _lower_first(detail['msg'])
    if error_type in _TYPES_WITHOUT_INPUT:
        return Finding(_place(detail['loc']), message)
    got = shorten(detail['input'])
    return Finding(_place(detail['loc']), f'{message}, got {got}')


def _lower_first(message: str) -> str:
    cause = message.removeprefix('Value error, ')
    return cause[:1].lower() + cause[1:]


def _place(location: tuple[int | str, ...]) -> str:
    """Converts a location of pydantic to the path of the value."""
    place = ''
    for step in location:
        if isinstance(step, int):
            place = item_place(place, step)
        elif step != '[key]':
            place = child_place(place, step)
    return place or ROOT_PLACE
