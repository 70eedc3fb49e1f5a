"""Prints the configuration of the demo; new keys go to standard error."""

from turmericrouter_operator.builder import Configuration


def main() -> None:
    """Build and print the document."""
    config = Configuration(
        domains=['north', 'south'],
        regions={'north': 'coast', 'south': 'coast'},
    )
    config.workspace('mosaic', rate_per_s=200, burst=200).key(label='tablets')
    config.route(
        'catalogue',
        service='design',
        path='/catalogue',
        methods=['GET'],
        importance='low',
    )
    config.route(
        'commission', service='design', path='/commission', importance='high'
    )
    config.route(
        'deposit',
        service='treasury',
        path='/deposit',
        methods=['POST'],
        importance='critical',
        idempotent=False,
    )
    print(config)


if __name__ == '__main__':
    main()
