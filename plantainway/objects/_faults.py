"""Validation fault in a set of declared objects."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One validation fault.

    ``code`` identifies the rule, ``subject`` the object as ``kind/name``
    (or the file or list entry it was read from), ``field`` the offending
    field.
    """

    code: str
    subject: str
    field: str
    message: str

    def to_dict(self) -> dict:
        """Returns the JSON form that operators receive."""
        return dataclasses.asdict(self)

    def __str__(self) -> str:
        return f'{self.code} {self.subject} {self.field}: {self.message}'
