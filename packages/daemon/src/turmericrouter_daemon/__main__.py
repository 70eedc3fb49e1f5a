"""Runs the daemon as `python -m turmericrouter_daemon`."""

from turmericrouter_daemon.cli import main

if __name__ == '__main__':
    main()
