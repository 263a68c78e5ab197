"""Registry of plug-ins."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

from pondquay.errors import UnknownPluginError
from pondquay.findings import suggest_name

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


class Registry(Generic[T]):
    """Named factories of one kind of plug-in.

    :param kind: the kind of plug-in, used in error messages
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._factories: dict[str, Callable[[], T]] = {}

    def register(self, name: str) -> Callable[[type[T]], type[T]]:
        """Return a class decorator that registers the class under a name."""

        def add(factory: type[T]) -> type[T]:
            self._factories[name] = factory
            return factory

        return add

    def names(self) -> list[str]:
        """Return the registered names in alphabetical order."""
        return sorted(self._factories)

    def create(self, name: str) -> T:
        """Create the plug-in registered under a name.

        :raises UnknownPluginError: if no plug-in has this name
        """
        factory = self._factories.get(name)
        if factory is None:
            hint = suggest_name(name, self._factories)
            raise UnknownPluginError(f"no {self._kind} named {name!r}{hint}")
        return factory()
