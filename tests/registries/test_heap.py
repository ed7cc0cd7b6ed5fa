"""The garbage collector and a large list: not walked, not leaked, and everything back as it was."""

from __future__ import annotations

import gc
import json
import weakref

import pytest

from hollyport.registries.eureka.codec import Payload, read_json
from hollyport.registries.eureka.view import View
from hollyport.registries.heap import GROWTH, WORTH, Heap


@pytest.fixture(autouse=True)
def as_before():
    thresholds = gc.get_threshold()
    assert gc.isenabled(), "another module has switched the collector off in this worker"
    yield
    gc.unfreeze()
    assert gc.get_threshold() == thresholds


def answer(a, b):
    rows = [{"instanceId": name, "status": status} for name, status in (("a", a), ("b", b))]
    payload = Payload()
    text = json.dumps({"applications": {"application": {"name": "NODE", "instance": rows}}})
    for _ in read_json([text.encode()], payload):
        pass
    return payload.instances


def old_collections():
    return gc.get_stats()[2]["collections"]


def test_no_full_collection_while_a_list_is_built_and_full_ones_again_after():
    gc.freeze()  # a full collection comes with growth by a quarter: what other tests have left must not count
    gc.collect()
    heap = Heap()
    before = old_collections()
    with heap.building():
        kept = [[n] for n in range(300_000)]
        assert old_collections() == before
    del kept
    more = [[n] for n in range(300_000)]
    assert old_collections() > before, "the same growth outside brings one: the check can fail"
    assert len(more) == 300_000


def test_the_limits_return_when_reading_fails():
    with pytest.raises(ValueError), Heap().building():
        raise ValueError


def test_a_freeze_comes_with_growth_and_not_with_every_fetch():
    heap = Heap()
    assert not heap.built(WORTH - 1)
    assert heap.built(WORTH)
    assert not any(heap.built(WORTH) for _ in range(100))
    assert not heap.built(int(GROWTH * WORTH) - 1)
    assert heap.built(int(GROWTH * WORTH))


def test_what_is_frozen_is_still_freed_when_the_list_lets_go_of_it():
    class Node:
        pass

    node = Node()
    seen = weakref.ref(node)
    assert Heap().built(WORTH)
    del node
    assert seen() is None


def test_a_refresh_that_changes_nothing_makes_no_new_objects():
    view = View(lambda _: True)
    view.whole(answer("UP", "UP"))
    first = dict(view.instances)
    view.whole(answer("UP", "DOWN"))
    key = ("NODE", "a")
    assert view.instances[key] is first[key]
    assert view.instances["NODE", "b"] is not first["NODE", "b"]
