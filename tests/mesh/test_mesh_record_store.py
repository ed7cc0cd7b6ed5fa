"""Records on disk: what was told to be there is there, whatever became of the rest."""

import asyncio
import pathlib

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from mesh.storage import record_store
from mesh.storage.record_store import BLOCK, RecordStore, frame, unframe

BATCHES = st.lists(
    st.lists(st.tuples(st.integers(0, 9), st.binary(max_size=700)).map(list), min_size=1, max_size=3),
    max_size=5,
)


def laid(batches):
    """A data file as dbm.dumb lays it: each value at a block's beginning. Also where each begins."""
    data, places = b"", []
    for batch in batches:
        data += b"\0" * (-len(data) % BLOCK)
        places.append(len(data))
        data += frame(batch)
    return data, places


def flat(batches):
    return [record for batch in batches for record in batch]


# --- the layout


@given(BATCHES)
def test_what_is_framed_comes_back(batches):
    assert list(unframe(laid(batches)[0])) == flat(batches)


@given(BATCHES, st.data())
def test_a_torn_tail_takes_only_what_it_reaches_into(batches, data):
    whole, places = laid(batches)
    cut = data.draw(st.integers(0, len(whole)))
    ends = [place + len(frame(batch)) for place, batch in zip(places, batches, strict=True)]
    kept = [batch for batch, end in zip(batches, ends, strict=True) if end <= cut]
    assert list(unframe(whole[:cut])) == flat(kept)


@given(BATCHES.filter(bool), st.data())
def test_a_flipped_bit_takes_only_its_own_batch(batches, data):
    whole, places = laid(batches)
    struck = data.draw(st.integers(0, len(batches) - 1))
    at = places[struck] + data.draw(st.integers(0, len(frame(batches[struck])) - 1))
    spoilt = bytearray(whole)
    spoilt[at] ^= 1 << data.draw(st.integers(0, 7))
    assert list(unframe(bytes(spoilt))) == flat(batches[:struck] + batches[struck + 1 :])


@given(BATCHES.filter(bool), st.data())
def test_a_missing_or_empty_block_takes_only_its_own_batch(batches, data):
    whole, places = laid(batches)
    at = data.draw(st.integers(0, (len(whole) - 1) // BLOCK)) * BLOCK
    struck = max(i for i, place in enumerate(places) if place <= at)
    left = flat(batches[:struck] + batches[struck + 1 :])
    filler = data.draw(st.sampled_from((b"", b"\0" * BLOCK, b"\xff" * BLOCK)))
    assert list(unframe(whole[:at] + filler + whole[at + BLOCK :])) == left


@given(st.binary(max_size=2000))
def test_no_bytes_at_all_raise(data):
    assert list(unframe(data)) == [] or data[:4] == record_store.MAGIC


# --- with a disk


class Box:
    """A record_store whose state is all that was ever put or found, as a controller's is."""

    def __init__(self, folder):
        self.held = []
        self.record_store = RecordStore(str(folder), lambda: self.held)
        self.held += self.record_store.load()

    async def put(self, *records):
        """Put records in one batch; what each was told."""
        loop = asyncio.get_running_loop()
        told = [loop.create_future() for _ in records]
        for record, done in zip(records, told, strict=True):
            self.held.append(record)
            self.record_store.put(record, done.set_result)
        return await asyncio.gather(*told)


def found(folder):
    """What another process finds."""
    return RecordStore(str(folder), list).load()


def names(folder):
    return sorted(path.name for path in pathlib.Path(folder).iterdir())


def unique(records):
    """Records once each, in the order of first sight."""
    return list(dict.fromkeys(tuple(record) for record in records))


@pytest.fixture
def fails(monkeypatch):
    """Let chosen calls of the sync fail, counted from 1; how many there were is told by the list."""
    calls, chosen = [], set()
    real = RecordStore._sync

    def sync(path):
        calls.append(path)
        if len(calls) in chosen:
            raise OSError(28, "no space left")
        real(path)

    monkeypatch.setattr(RecordStore, "_sync", staticmethod(sync))
    return calls, chosen


def test_records_come_back_in_order(tmp_path):
    async def play():
        box = Box(tmp_path / "deep" / "er")
        assert await box.put([0, "a"], [1, b"\xff" * 2000], [2, None]) == [True] * 3
        assert await box.put([3, [1.5, {"x": "é"}]]) == [True]
        box.held.append([4, "nobody waits"])
        box.record_store.put([4, "nobody waits"])
        assert await box.put([5, "z"]) == [True]
        return box.held

    held = asyncio.run(play())
    # the first batch is there twice: as the state when its generation began, and as itself
    assert found(tmp_path / "deep" / "er") == held[:3] + held
    assert found(tmp_path / "none") == []


def test_those_that_wait_together_share_one_sync(tmp_path, fails):
    async def play():
        box = Box(tmp_path)
        await box.put([0])
        before = len(fails[0])
        first = asyncio.ensure_future(box.put([1], [2]))
        assert await asyncio.gather(first, *(box.put([i]) for i in range(3, 20)))
        assert len(fails[0]) == before + 1

    asyncio.run(play())
    assert unique(found(tmp_path)) == [(i,) for i in range(20)]


def test_one_after_the_other_begins_a_generation_with_all_that_counts(tmp_path):
    async def play(number):
        assert await Box(tmp_path).put([number]) == [True]

    for number in range(4):
        asyncio.run(play(number))
        assert [name for name in names(tmp_path) if name.endswith(".dat")] == [f"g{number + 1:08d}.dat"]
    assert unique(found(tmp_path)) == [(i,) for i in range(4)]


def test_a_grown_generation_is_followed_by_one_without_what_was_dropped(tmp_path, monkeypatch):
    monkeypatch.setattr(record_store, "GROWN", 6000)

    async def play():
        box = Box(tmp_path)
        for number in range(40):
            assert await box.put([number, b"x" * 300]) == [True]
            assert unique(found(tmp_path))[-len(box.held) :] == [tuple(record) for record in box.held]
            box.held = box.held[-3:]
        return box.held

    held = asyncio.run(play())
    files = names(tmp_path)
    assert len(files) == 2 and files[0] > "g00000003" and {name[-4:] for name in files} == {".dat", ".dir"}
    assert (tmp_path / files[0]).stat().st_size < 12000
    there = found(tmp_path)
    assert all(record in there for record in held) and [0, b"x" * 300] not in there


@pytest.mark.parametrize("grown", [1 << 20, 1500])
@pytest.mark.parametrize("chosen", [*({n} for n in range(1, 15)), {2, 3}, {4, 5, 6}, {1, 3, 5, 7, 9, 11}])
def test_a_failed_sync_is_told_to_its_batch_alone_and_what_was_told_to_be_there_is(
    tmp_path, monkeypatch, fails, chosen, grown
):
    monkeypatch.setattr(record_store, "GROWN", grown)
    calls = fails[0]
    fails[1].update(chosen)

    async def play():
        box = Box(tmp_path)
        kept = []
        for number in range(6):
            before = len(calls)
            told = await box.put([number, 0], [number, 1])
            failed = any(call in chosen for call in range(before + 1, len(calls) + 1))
            assert told == [not failed] * 2 and box.record_store.well is not failed
            kept += [] if failed else [[number, 0], [number, 1]]
            there = found(tmp_path)
            assert all(record in there for record in kept)
            assert all(record in box.held for record in there)

    asyncio.run(play())


def test_a_disk_that_takes_no_bytes_at_all_is_told_and_comes_back(tmp_path, monkeypatch):
    async def play():
        box = Box(tmp_path)
        assert await box.put([0]) == [True]
        with monkeypatch.context() as patch:
            patch.setattr(record_store, "frame", lambda records: 1 / 0)
            assert await box.put([1]) == [False] and await box.put([2]) == [False]
            assert found(tmp_path) == [[0], [0]]
        assert await box.put([3]) == [True]

    asyncio.run(play())
    assert unique(found(tmp_path)) == [(0,), (1,), (2,), (3,)]


@pytest.mark.parametrize("harm", ["gone", "empty", "torn", "noise"])
def test_the_index_does_not_matter(tmp_path, harm):
    async def play(number):
        box = Box(tmp_path)
        assert await box.put([number, "x"]) == [True] and await box.put([number, "y"]) == [True]

    asyncio.run(play(0))
    index = tmp_path / "g00000001.dir"
    if harm == "gone":
        index.unlink()
    else:
        text = index.read_bytes()
        index.write_bytes({"empty": b"", "torn": text[:-5], "noise": b"\xff(" * 40}[harm])
    assert unique(found(tmp_path)) == [(0, "x"), (0, "y")]
    asyncio.run(play(1))
    assert unique(found(tmp_path)) == [(0, "x"), (0, "y"), (1, "x"), (1, "y")]


@pytest.mark.parametrize("size", [10, 400, 3000])
def test_a_tail_lost_at_any_block_after_the_last_sync_takes_nothing_before_it(tmp_path, fails, size):
    path = tmp_path / "g00000001.dat"

    async def play():
        box = Box(tmp_path)
        assert await box.put([0, b"x" * size]) == [True] and await box.put([1, b"y" * size]) == [True]
        synced = path.stat().st_size
        fails[1].add(len(fails[0]) + 1)
        assert await box.put([2, b"z" * size]) == [False]
        return synced

    synced = asyncio.run(play())
    data = path.read_bytes()
    ends = {synced, len(data) - 1, len(data), *range(-(-synced // BLOCK) * BLOCK, len(data), BLOCK)}
    for end in sorted(ends, reverse=True):
        for tail in (b"", b"\0" * (len(data) - end)):
            path.write_bytes(data[:end] + tail)
            assert unique(found(tmp_path))[:2] == [(0, b"x" * size), (1, b"y" * size)]
            assert len(unique(found(tmp_path))) == 2 + (end == len(data))


@examples(max_examples=25)
@given(st.lists(st.tuples(st.integers(0, 1200), st.booleans()), min_size=1, max_size=12), st.integers(1, 9))
def test_any_mix_of_sizes_and_failures_keeps_what_was_told(tmp_path_factory, batches, grown):
    folder, real = tmp_path_factory.mktemp("mix"), RecordStore._sync
    wrong = False

    def sync(path):
        if wrong:
            raise OSError(5, "no")
        real(path)

    async def play():
        nonlocal wrong
        box, kept = Box(folder), []
        for number, (size, wrong) in enumerate(batches):  # noqa: B007 - read by sync
            record = [number, b"x" * size]
            if await box.put(record) == [True]:
                kept.append(record)
        there = found(folder)
        assert len(kept) == sum(not wrong for _, wrong in batches) and all(r in there for r in kept)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(record_store, "GROWN", grown * 512)
        patch.setattr(RecordStore, "_sync", staticmethod(sync))
        asyncio.run(play())


def test_a_generation_that_could_not_begin_leaves_no_files_behind(tmp_path, monkeypatch):
    def full(path):
        raise OSError(28, "no space left")

    async def play():
        told, made = [], RecordStore(str(tmp_path), lambda: [["old", 1]])
        made.load()
        for _ in range(3):
            end = asyncio.get_running_loop().create_future()
            made.put(["new", 1], end.set_result)
            told.append(await end)
            if len(told) == 2:
                assert not [path for path in tmp_path.iterdir() if path.suffix == ".dat"]
                monkeypatch.undo()
        return told

    monkeypatch.setattr(RecordStore, "_sync", staticmethod(full))
    assert asyncio.run(play()) == [False, False, True]
    assert RecordStore(str(tmp_path), list).load() == [["old", 1], ["new", 1]]
