"""The quota language: the places that errors name."""

from __future__ import annotations

import pytest

from ashcross.quotas.quota_language import QuotaError, parse


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ("quota a { limit 5 in 1s limit 6 in 1s }", ":1:31"),
        ("quota a { per team }", ":1:7"),
        ("quota a { per cow limit 5 in 1s }", ":1:15"),
        ("quota a { limit 0 in 1s }", ":1:17"),
        ("quota a { limit 5 in 1s apart 95% }", ":1:31"),
        ("quota a { limit 5 in 1s }\nquota b { limit 5 in }", ":2:22"),
        ("quota a { limit 5 in 1s } quota a { limit 5 in 1s }", "quota a"),
    ],
)
def test_error_on_an_invalid_quota_names_its_place(text: str, place: str) -> None:
    with pytest.raises(QuotaError) as raised:
        parse(text)
    assert place in str(raised.value)
