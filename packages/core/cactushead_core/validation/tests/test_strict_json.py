"""Tests of the strict JSON parser."""

import pytest
from cactushead_core.validation import load_json


@pytest.mark.parametrize(
    ('body', 'place'),
    [
        (b'{"a": [1, {"b": 1, "b": 2}]}', 'a[1].b'),
        (b'[0, NaN]', '[1]'),
        (b'{"a": -Infinity}', 'a'),
        (b'1e999', '$'),
    ],
)
def test_invalid_value_is_reported_with_its_place(body, place):
    assert [found.place for found in load_json(body).findings] == [place]


def test_all_invalid_values_are_reported():
    loaded = load_json(b'{"a": NaN, "b": {"c": 1, "c": [Infinity]}}')
    assert [found.place for found in loaded.findings] == ['a', 'b.c', 'b.c[0]']


def test_lone_surrogate_is_accepted():
    assert load_json(b'"\\ud800"').content == '\ud800'
