"""One fault in a set of declared objects."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Fault:
    """A fault with its code, the object and the field it is in."""

    code: str
    subject: str
    field: str
    message: str

    def to_dict(self) -> dict:
        """Returns the fault as it is sent to operators."""
        return dataclasses.asdict(self)

    def __str__(self) -> str:
        return f'{self.code} {self.subject} {self.field}: {self.message}'
