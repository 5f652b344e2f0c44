"""Bearer keys and their salted digests."""

import hashlib
import hmac
import secrets

SALT_BYTES = 16
SECRET_BYTES = 24


def digest(secret: str, salt_hex: str) -> str:
    """Returns the salted digest of a secret, in hexadecimal.

    Args:
        secret: Secret part of a key.
        salt_hex: Salt in hexadecimal.
    """
    return hashlib.blake2b(
        secret.encode(), salt=bytes.fromhex(salt_hex), digest_size=32
    ).hexdigest()


def create(name: str) -> tuple[str, dict]:
    """Creates a new key.

    Args:
        name: Name of the client account or operator.

    Returns:
        The key that clients send, and its salt and digest to declare.
    """
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    return f'{name}.{secret}', {'salt': salt, 'digest': digest(secret, salt)}


def verify(secret: str, entries) -> bool:
    """Checks a secret against salted digests in constant time.

    Args:
        secret: Secret part of a key.
        entries: Objects with ``salt`` and ``digest``; several may be valid
            while keys rotate.

    Returns:
        Whether any of them matches.
    """
    matched = False
    for entry in entries:
        is_match = hmac.compare_digest(
            digest(secret, entry.salt), entry.digest
        )
        matched = matched or is_match
    return matched


def parse_authorization(bearer: str) -> tuple[str, str]:
    """Parses the value of an ``Authorization`` header.

    Args:
        bearer: Header value, ``Bearer NAME.SECRET``.

    Returns:
        Name and secret, both empty if the value is malformed.
    """
    scheme, _, key = bearer.partition(' ')
    name, _, secret = key.strip().partition('.')
    if scheme.lower() != 'bearer' or not secret:
        return '', ''
    return name, secret
