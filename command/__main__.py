"""Entry point of `python -m command`, the same as the installed `hollyport`."""

import sys

try:
    from command.cli import main
except ModuleNotFoundError as error:
    print(
        f"hollyport: {error.name} is not installed; the command needs the extra hollyport[kit]",
        file=sys.stderr,
    )
    sys.exit(2)

if __name__ == "__main__":
    main(prog_name="hollyport")
