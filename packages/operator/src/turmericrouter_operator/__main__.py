"""Runs the turmericctl command as `python -m turmericrouter_operator`."""

from turmericrouter_operator.cli import main

if __name__ == '__main__':
    main()
