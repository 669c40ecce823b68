"""`python -m ochrecourse` is the command line."""

from ochrecourse.cli.main import main

if __name__ == "__main__":
    main()
