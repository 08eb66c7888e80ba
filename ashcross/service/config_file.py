"""Location and reading of the configuration file of this process."""

from __future__ import annotations

import json
import os
import resource
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path

from ashcross.service.backoff import retry_transient_errors
from ashcross.service.config_reader import ConfigError, ConfigUnreadableError
from ashcross.service.config_schema import START_RETRY_MS, Config, parse_config

PATH_VARIABLE = "ROUTER_CONFIG"


def load_config(path: str | None, environ: Mapping[str, str]) -> Config:
    """Read and check the file at `path`, or the one that `environ` names if `path` is empty.

    Raises `ConfigUnreadableError` if the file cannot be read, `ConfigError` if its content is invalid.
    """
    path = path or environ.get(PATH_VARIABLE)
    if not path:
        remedy = "set it, or name the file with --config FILE"
        raise ConfigError(PATH_VARIABLE, "the path of the configuration file", "no value", remedy)
    try:
        content = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        unreadable = ConfigUnreadableError(path, "a file that can be read", str(error.strerror))
        unreadable.errno = error.errno
        raise unreadable from None
    except ValueError as error:
        raise ConfigError(path, "JSON", str(error)) from None
    return parse_config(content, environ)


def process_config(path: str | None) -> Config:
    """Return the configuration of this process; raises the errors of `load_config`."""
    return load_config(path, os.environ)


def process_config_with_retry(path: str | None, should_stop: Callable[[], bool]) -> Config:
    """Return the configuration at a start; a file that is briefly unreadable is read again."""
    return retry_transient_errors(partial(process_config, path), START_RETRY_MS / 1000, should_stop)


def set_descriptor_limit(max_descriptors: int) -> None:
    """Allow this process `max_descriptors` open descriptors, or the system's hard limit if that is lower."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard_limit != resource.RLIM_INFINITY:
        max_descriptors = min(max_descriptors, hard_limit)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, hard_limit))
