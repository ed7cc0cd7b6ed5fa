"""The daemon with one of its defences taken out: `python undefended.py KIND ...`."""

from __future__ import annotations

import sys

import hollyport.__main__ as program
from hollyport.registries import feed, merge
from hollyport.registries.eureka import source


def believes_empty_lists() -> None:
    plain = feed.Feed._rules

    def rules(self, options):
        import dataclasses

        return dataclasses.replace(plain(self, options), doubted=frozenset())

    feed.Feed._rules = rules


def forgets_in_an_outage() -> None:
    plain = source.EurekaSource._failed

    def failed(self, number, why):
        plain(self, number, why)
        gone = [self._identity(instance) for instance in self._view.instances.values()]
        self._tell_changes([source.Change(identity, None) for identity in gone])
        self._schedule.mismatch(self._schedule.due)

    source.EurekaSource._failed = failed


def takes_the_new_for_the_old() -> None:
    plain = source.EurekaSource._record

    def record(self, instance):
        made = plain(self, instance)
        return made and made._replace(identity=f"{made.address.host}:{made.address.port}", started_ns=0)

    def identity(self, instance):
        return f"{instance.ip}:{instance.port}"

    source.EurekaSource._record = record
    source.EurekaSource._identity = identity


def sends_to_what_is_out_of_service() -> None:
    source.STATUS = {**source.STATUS, "OUT_OF_SERVICE": "up"}


def reads_one_source_alone() -> None:
    merge.Merger.changes, changes = (
        (lambda self, name, rows, now: changes(self, name, rows, now) if name != "eureka" else []),
        merge.Merger.changes,
    )
    whole = merge.Merger.taking_whole

    def taking(self, name, records, now, by=0):
        if name != "eureka":
            yield from whole(self, name, records, now, by)

    merge.Merger.taking_whole = taking


if __name__ == "__main__":
    globals()[sys.argv[1]]()
    sys.exit(program.main(sys.argv[2:]))
