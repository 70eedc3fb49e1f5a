"""Port numbers as they are written in addresses."""

_MAX_PORT = 65535
_MAX_PORT_DIGITS = 5


def parse_port(text: str) -> int:
    """Read a port number from 1 to 65535.

    Raises:
        ValueError: The text is no such number.
    """
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > _MAX_PORT_DIGITS:
        raise ValueError(f'port {text!r} is not a number up to {_MAX_PORT}')
    port = int(text)
    if not 1 <= port <= _MAX_PORT:
        raise ValueError(f'port {port} is not from 1 to {_MAX_PORT}')
    return port
