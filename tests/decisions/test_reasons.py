"""The on-call page and the deploy file name all reasons and modules of the decisions."""

from __future__ import annotations

import importlib
import re
from operator import attrgetter
from pathlib import Path

from ashcross.decisions import admission, dispatch_queue, final_answers, retries, send_rules
from ashcross.decisions.send_rules import Denial

ON_CALL_PAGE = Path(__file__).parents[2] / "docs" / "oncall.md"
MODULES_BY_FINAL_ANSWER_REASON = {
    admission.NO_TIME_LEFT: "admission",
    dispatch_queue.NO_ENGINE_IN_TIME: "dispatch_queue",
    final_answers.DEADLINE_NEAR: "final_answers",
    final_answers.SHUTTING_DOWN: "final_answers",
    retries.RETRY_NOT_SAFE: "retries",
    retries.TOO_LATE_TO_RETRY: "retries",
    retries.ATTEMPTS_EXHAUSTED: "retries",
}


def listed_reasons() -> dict[str, str]:
    """Return the reasons that the on-call page lists, each with the function that gives it."""
    section = (
        ON_CALL_PAGE.read_text(encoding="utf-8")
        .partition("## Reasons of the decisions")[2]
        .partition("## ")[0]
    )
    return dict(re.findall(r"^\| `([^`]+)` \| `([\w.]+)` \|", section, re.MULTILINE))


def test_on_call_page_lists_each_reason() -> None:
    denials = {value.reason for value in vars(send_rules).values() if isinstance(value, Denial)}
    assert set(listed_reasons()) == denials | set(MODULES_BY_FINAL_ANSWER_REASON)


def test_on_call_page_names_the_function_that_gives_each_reason() -> None:
    for reason, function in listed_reasons().items():
        module, _, name = function.partition(".")
        assert module == MODULES_BY_FINAL_ANSWER_REASON.get(reason, "send_rules")
        assert callable(attrgetter(name)(importlib.import_module(f"ashcross.decisions.{module}")))


def test_deploy_file_names_each_module_that_decides() -> None:
    package = Path(send_rules.__file__).parent
    without_decisions = {"__init__", "actions", "context", "events", "regression", "settings"}
    without_decisions |= {"sliding_window", "token_bucket"}
    deciding = {path.stem for path in package.glob("*.py")} - without_decisions
    policy = re.search(
        r"^policy = (.*)$", (ON_CALL_PAGE.parents[1] / "deploy/balancer.toml").read_text(), re.MULTILINE
    )
    assert policy is not None
    assert set(re.findall(r"ashcross/decisions/(\w+)\.py", policy[1])) == deciding
