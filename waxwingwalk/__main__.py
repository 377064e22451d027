"""Entry point of the command line: ``python -m waxwingwalk``."""

from waxwingwalk import management

if __name__ == "__main__":
    management.main()
