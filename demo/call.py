"""Sends a request as a caller and checks the answer.

The key is taken from the environment variable DEMO_KEY, since arguments can
be read by other users of the machine.
"""

import argparse
import os
import random
import sys
import time
import urllib.error
import urllib.request

from turmericrouter_core.identity import OperationId

_RETRY_PERIOD_S = 0.25
_TIMEOUT_S = 30.0


def send(options: argparse.Namespace) -> tuple[int, str, str, bytes]:
    """Send the request; return status, verdict, reason and body.

    Without an answer the status is 0 and the reason is the error.
    """
    request = urllib.request.Request(
        options.url, method='POST' if options.once else 'GET'
    )
    if os.environ.get('DEMO_KEY'):
        request.add_header('Authorization', f'Bearer {os.environ["DEMO_KEY"]}')
    if options.once:
        identifier = OperationId.mint(time.time(), 0, random.SystemRandom())
        request.add_header('Idempotency-Key', identifier.text)
    try:
        with urllib.request.urlopen(request, timeout=_TIMEOUT_S) as response:
            answer = response
            body = response.read()
    except urllib.error.HTTPError as error:
        answer = error
        body = error.read()
    except OSError as error:
        return 0, '', str(error), b''
    headers = answer.headers
    return (
        answer.status,
        headers.get('Turmeric-Verdict', ''),
        headers.get('Turmeric-Reason', ''),
        body,
    )


def main() -> None:
    """Send until the expected answer arrives or the time is over."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('url')
    parser.add_argument('--expect', default='200 ran')
    parser.add_argument('--within-s', type=float, default=0.0)
    parser.add_argument(
        '--once', action='store_true', help='POST with an idempotency key'
    )
    options = parser.parse_args()
    deadline = time.monotonic() + options.within_s
    while True:
        status, verdict, reason, body = send(options)
        actual = ' '.join(filter(None, [str(status), verdict, reason]))
        if actual == options.expect or time.monotonic() > deadline:
            break
        time.sleep(_RETRY_PERIOD_S)
    method = 'POST' if options.once else 'GET '
    path = '/' + options.url.split('/', 3)[3]
    print(f'  {method} {path}: {actual}')
    print(f'       {body.decode(errors="replace")[:120]}')
    if actual != options.expect:
        sys.exit(f'expected {options.expect!r}, got {actual!r}')


if __name__ == '__main__':
    main()
