"""The location of an instance of the fleet."""

from __future__ import annotations

from dataclasses import dataclass

from pondquay.addresses import Address


@dataclass(frozen=True, slots=True)
class Member:
    """An instance's address and failure domain.

    :param address: address at which it accepts links
    """

    address: Address
    domain: str

    @classmethod
    def parse(cls, address: str, domain: str) -> Member:
        """Return the member with an address in text form.

        :raises ValueError: if the address is malformed
        """
        return cls(Address.parse(address), domain)
