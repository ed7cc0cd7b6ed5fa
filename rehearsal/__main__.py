"""Entry point of `python -m rehearsal`."""

import sys

try:
    from rehearsal.cli import main
except ModuleNotFoundError as error:
    print(
        f"rehearsal: {error.name} is not installed; the kit needs the extra hollyport[kit]", file=sys.stderr
    )
    sys.exit(2)

if __name__ == "__main__":
    main(prog_name="rehearsal")
