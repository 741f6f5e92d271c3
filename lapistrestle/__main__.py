"""`python -m lapistrestle`: the command line."""

from lapistrestle.command.main import main

if __name__ == "__main__":
    main()
