"""Reload on SIGHUP: the configuration is read again, and what may change at run time is applied."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger

from ashcross.service.assembly import Components
from ashcross.service.config_reader import ConfigError
from ashcross.service.config_schema import Config
from ashcross.service.phases import Phase

# An invalid or unreadable file is read again, because it may be half written or briefly impossible to open.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
MAX_ATTEMPTS = 30


class ConfigReload:
    """The reload of the configuration; a new reload cancels the pending retry of the previous one."""

    def __init__(self, components: Components) -> None:
        self._components = components
        self._retry: Any = None  # Twisted's delayed call

    def start(self, read_config: Callable[[], Config]) -> None:
        """Read and apply the configuration; an invalid one changes nothing and is read again later."""
        if self._retry is not None and self._retry.active():
            self._retry.cancel()
        self._attempt(read_config, 1, MIN_BACKOFF_S)

    def _attempt(self, read_config: Callable[[], Config], attempt_number: int, backoff_s: float) -> None:
        if self._components.phases.current is Phase.STOPPED:
            return
        with self._components.phases.reloading():
            try:
                new_config = read_config()
            except ConfigError as error:
                self._rejected(error, read_config, attempt_number, backoff_s)
                return
            self._apply(new_config)

    def _rejected(
        self, error: ConfigError, read_config: Callable[[], Config], attempt_number: int, backoff_s: float
    ) -> None:
        """Keep the previous configuration, and read the file again after the backoff."""
        will_retry = attempt_number < MAX_ATTEMPTS
        retry_text = f"; reading it again in {backoff_s:g} s" if will_retry else "; no further attempt"
        logger.error(
            "configuration rejected: {} (attempt {} of {}{})", error, attempt_number, MAX_ATTEMPTS, retry_text
        )
        if will_retry:
            next_backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
            self._retry = self._components.reactor.callLater(
                backoff_s, self._attempt, read_config, attempt_number + 1, next_backoff_s
            )

    def _apply(self, new_config: Config) -> None:
        """Move discovery to its new address, and log the changed keys that need a restart."""
        if new_config.discovery is not None and self._components.discovery is not None:
            self._components.discovery.change_address(new_config.discovery)
        keys = self._components.config.restart_keys(new_config)
        if keys:
            logger.warning("only a restart changes these keys: {}", ", ".join(keys))
        address = "none" if new_config.discovery is None else "{}:{}".format(*new_config.discovery)
        logger.info("configuration reloaded: discovery={}", address)
