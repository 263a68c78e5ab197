"""Network addresses."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``host:port``.

        :raises ValueError: if the text is not a host and a port number
        """
        host, colon, port = text.rpartition(":")
        if not colon or not host or not port.isdigit() or int(port) > 65535:
            raise ValueError("must be HOST:PORT")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
