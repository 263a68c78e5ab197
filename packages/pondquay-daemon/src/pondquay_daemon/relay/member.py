"""Where an instance of the fleet is."""

from __future__ import annotations

from dataclasses import dataclass

from pondquay.addresses import Address


@dataclass(frozen=True, slots=True)
class Member:
    """Where an instance is.

    :param address: where it accepts links
    """

    address: Address
    domain: str

    @classmethod
    def parse(cls, address: str, domain: str) -> Member:
        """Read the form in which it is sent.

        :raises ValueError: if the address has another form
        """
        return cls(Address.parse(address), domain)
