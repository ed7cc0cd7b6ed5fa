"""Breadth-first search over all states of a model, each kept once.

A state is made of plain tuples, strings, whole numbers and truth values, so that it has one encoding. Kept
of each state are 16 bytes of a hash of it and of the state that led to it: two that share these would be
taken for one, with a chance of about n**2 / 2**129 for n states. The frontier lies there encoded. As the
search goes by breadth, the first trace to a state that breaks a property is a shortest one.
"""

from __future__ import annotations

import hashlib
import marshal
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any, NamedTuple

State = Any
Property = Callable[[Any, State], str]  # of the model and a state: what is wrong, "" where it holds
StepProperty = Callable[[Any, State, State], str]  # of the model, a state and one that follows
LIMIT = 3_000_000  # states kept: under 600 MB of hashes
PLAIN = 2  # the encoding in which equal values give equal bytes: no references


class Model:
    """What a search goes over. Steps are told in words, and come in one order."""

    name = ""
    about = ""
    properties: Sequence[Property] = ()
    step_properties: Sequence[StepProperty] = ()

    def start(self) -> State:
        """Where everything begins."""
        raise NotImplementedError

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """All that may come next."""
        raise NotImplementedError

    def plain(self, state: State) -> State:
        """Without what makes no difference to anything that may come."""
        return state

    def same(self, state: State) -> State:
        """One of all plain states that differ by names only."""
        return state

    def bounds(self) -> dict[str, Any]:
        """What the search is bounded by."""
        return {}


class Broken(NamedTuple):
    """A property that fell: its name, what is wrong, and the steps to there."""

    property: str
    why: str
    trace: tuple[str, ...]


class Result(NamedTuple):
    """What a search came to."""

    states: int
    moves: int
    depth: int
    whole: bool  # whether all states were seen
    seconds: float
    broken: Broken | None


def _packed(state: State) -> bytes:
    return marshal.dumps(state, PLAIN)


def _key(packed: bytes) -> bytes:
    return hashlib.blake2b(packed, digest_size=16).digest()


def search(model: Model, limit: int = LIMIT) -> Result:
    """Look at all states, or at the first `limit` of them, until a property falls."""
    began = time.perf_counter()
    first = model.same(model.plain(model.start()))
    packed = _packed(first)
    key = _key(packed)
    before: dict[bytes, bytes] = {key: b""}
    frontier = [(key, packed)]
    moves = depth = 0

    def result(broken: Broken | None = None, whole: bool = False) -> Result:
        return Result(len(before), moves, depth, whole, time.perf_counter() - began, broken)

    found = _wrong(model, first)
    if found:
        return result(Broken(*found, ()))
    while frontier:
        depth += 1
        coming: list[tuple[bytes, bytes]] = []
        for key, packed in frontier:
            state = marshal.loads(packed)
            for _, follower in model.steps(state):
                moves += 1
                found = _wrong_step(model, state, follower)
                follower = model.same(model.plain(follower))
                packed = _packed(follower)
                made = _key(packed)
                fresh = made not in before
                if found or fresh:
                    found = found or _wrong(model, follower)
                    if found:
                        trace = (*_trace(model, before, key), made)
                        return result(Broken(*found, tuple(_told(model, trace))))
                if fresh:
                    if len(before) >= limit:
                        return result()
                    before[made] = key
                    coming.append((made, packed))
        frontier = coming
    return result(whole=True)


def _wrong(model: Model, state: State) -> tuple[str, str] | None:
    for holds in model.properties:
        why = holds(model, state)
        if why:
            return named(holds), why
    return None


def _wrong_step(model: Model, state: State, follower: State) -> tuple[str, str] | None:
    for holds in model.step_properties:
        why = holds(model, state, follower)
        if why:
            return named(holds), why
    return None


def named(holds: Callable[..., str]) -> str:
    """A property's name, as it is printed."""
    return holds.__name__.replace("_", " ")


def _trace(model: Model, before: dict[bytes, bytes], key: bytes) -> Iterable[bytes]:
    keys = []
    while before[key]:
        keys.append(key)
        key = before[key]
    return reversed(keys)


def _told(model: Model, keys: Iterable[bytes]) -> Iterator[str]:
    """The steps to a state, with one name for one thing all the way: states are kept up to names, so the way
    is gone once more with the names that it began with."""
    state = model.plain(model.start())
    for key in keys:
        for label, follower in model.steps(state):
            follower = model.plain(follower)
            if _key(_packed(model.same(follower))) == key:
                state = follower
                yield label
                break
        else:
            raise AssertionError("states that differ by names only do not go on alike")


def put(row: tuple[Any, ...], at: int, value: Any) -> tuple[Any, ...]:
    """A row with another value at one place."""
    return (*row[:at], value, *row[at + 1 :])


def first_words(text: str | None) -> str:
    """The first line of a docstring."""
    return (text or "").strip().split("\n")[0]
