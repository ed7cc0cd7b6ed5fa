"""The record store: every record reported as written can be loaded, whatever happened to the others."""

import asyncio
import pathlib

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from mesh.storage import record_store
from mesh.storage.record_store import BLOCK_BYTES, RecordStore, decode_batches, encode_batch

BATCHES = st.lists(
    st.lists(st.tuples(st.integers(0, 9), st.binary(max_size=700)).map(list), min_size=1, max_size=3),
    max_size=5,
)


def lay_out(batches):
    """Returns a data file as dbm.dumb writes it, each value at the start of a block, and the offsets."""
    data, places = b"", []
    for batch in batches:
        data += b"\0" * (-len(data) % BLOCK_BYTES)
        places.append(len(data))
        data += encode_batch(batch)
    return data, places


def flatten(batches):
    return [record for batch in batches for record in batch]


# --- the file format


@given(BATCHES)
def test_encoded_batches_can_be_decoded(batches):
    assert list(decode_batches(lay_out(batches)[0])) == flatten(batches)


@given(BATCHES, st.data())
def test_a_torn_tail_loses_only_the_batches_it_affects(batches, data):
    stored, places = lay_out(batches)
    cut = data.draw(st.integers(0, len(stored)))
    ends = [place + len(encode_batch(batch)) for place, batch in zip(places, batches, strict=True)]
    kept = [batch for batch, end in zip(batches, ends, strict=True) if end <= cut]
    assert list(decode_batches(stored[:cut])) == flatten(kept)


@given(BATCHES.filter(bool), st.data())
def test_a_flipped_bit_loses_only_its_own_batch(batches, data):
    stored, places = lay_out(batches)
    damaged = data.draw(st.integers(0, len(batches) - 1))
    at = places[damaged] + data.draw(st.integers(0, len(encode_batch(batches[damaged])) - 1))
    corrupted = bytearray(stored)
    corrupted[at] ^= 1 << data.draw(st.integers(0, 7))
    assert list(decode_batches(bytes(corrupted))) == flatten(batches[:damaged] + batches[damaged + 1 :])


@given(BATCHES.filter(bool), st.data())
def test_a_missing_or_empty_block_loses_only_its_own_batch(batches, data):
    stored, places = lay_out(batches)
    at = data.draw(st.integers(0, (len(stored) - 1) // BLOCK_BYTES)) * BLOCK_BYTES
    damaged = max(i for i, place in enumerate(places) if place <= at)
    left = flatten(batches[:damaged] + batches[damaged + 1 :])
    filler = data.draw(st.sampled_from((b"", b"\0" * BLOCK_BYTES, b"\xff" * BLOCK_BYTES)))
    assert list(decode_batches(stored[:at] + filler + stored[at + BLOCK_BYTES :])) == left


@given(st.binary(max_size=2000))
def test_decoding_arbitrary_bytes_does_not_raise(data):
    assert list(decode_batches(data)) == [] or data[:4] == record_store.MAGIC


# --- on a disk


class StoreWithState:
    """A record store with a state of all records ever put or loaded, like that of a controller."""

    def __init__(self, folder):
        self.held = []
        self.record_store = RecordStore(str(folder), lambda: self.held)
        self.held += self.record_store.load()

    async def put(self, *records):
        """Puts records in one batch. Returns the outcome reported for each."""
        loop = asyncio.get_running_loop()
        outcomes = [loop.create_future() for _ in records]
        for record, done in zip(records, outcomes, strict=True):
            self.held.append(record)
            self.record_store.put(record, done.set_result)
        return await asyncio.gather(*outcomes)


def load_in_new_process(folder):
    """Returns the records that another process loads."""
    return RecordStore(str(folder), list).load()


def file_names(folder):
    return sorted(path.name for path in pathlib.Path(folder).iterdir())


def unique(records):
    """Returns the records without duplicates, in the order of their first occurrence."""
    return list(dict.fromkeys(tuple(record) for record in records))


@pytest.fixture
def failing_syncs(monkeypatch):
    """Makes chosen sync calls fail, counted from 1. Returns the list of calls and the set of chosen ones."""
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
    async def scenario():
        store = StoreWithState(tmp_path / "deep" / "er")
        assert await store.put([0, "a"], [1, b"\xff" * 2000], [2, None]) == [True] * 3
        assert await store.put([3, [1.5, {"x": "é"}]]) == [True]
        store.held.append([4, "nobody waits"])
        store.record_store.put([4, "nobody waits"])
        assert await store.put([5, "z"]) == [True]
        return store.held

    held = asyncio.run(scenario())
    # the first batch is stored twice: in the state with which its generation starts, and as a batch
    assert load_in_new_process(tmp_path / "deep" / "er") == held[:3] + held
    assert load_in_new_process(tmp_path / "none") == []


def test_records_put_at_the_same_time_share_one_sync(tmp_path, failing_syncs):
    async def scenario():
        store = StoreWithState(tmp_path)
        await store.put([0])
        before = len(failing_syncs[0])
        first = asyncio.ensure_future(store.put([1], [2]))
        assert await asyncio.gather(first, *(store.put([i]) for i in range(3, 20)))
        assert len(failing_syncs[0]) == before + 1

    asyncio.run(scenario())
    assert unique(load_in_new_process(tmp_path)) == [(i,) for i in range(20)]


def test_each_process_starts_a_generation_with_the_whole_state(tmp_path):
    async def scenario(number):
        assert await StoreWithState(tmp_path).put([number]) == [True]

    for number in range(4):
        asyncio.run(scenario(number))
        assert [name for name in file_names(tmp_path) if name.endswith(".dat")] == [f"g{number + 1:08d}.dat"]
    assert unique(load_in_new_process(tmp_path)) == [(i,) for i in range(4)]


def test_a_large_generation_is_followed_by_one_without_dropped_records(tmp_path, monkeypatch):
    monkeypatch.setattr(record_store, "MAX_GENERATION_BYTES", 6000)

    async def scenario():
        store = StoreWithState(tmp_path)
        for number in range(40):
            assert await store.put([number, b"x" * 300]) == [True]
            assert unique(load_in_new_process(tmp_path))[-len(store.held) :] == [
                tuple(record) for record in store.held
            ]
            store.held = store.held[-3:]
        return store.held

    held = asyncio.run(scenario())
    files = file_names(tmp_path)
    assert len(files) == 2 and files[0] > "g00000003" and {name[-4:] for name in files} == {".dat", ".dir"}
    assert (tmp_path / files[0]).stat().st_size < 12000
    loaded = load_in_new_process(tmp_path)
    assert all(record in loaded for record in held) and [0, b"x" * 300] not in loaded


@pytest.mark.parametrize("grown", [1 << 20, 1500])
@pytest.mark.parametrize("chosen", [*({n} for n in range(1, 15)), {2, 3}, {4, 5, 6}, {1, 3, 5, 7, 9, 11}])
def test_a_failed_sync_is_reported_to_its_own_batch_and_written_records_stay(
    tmp_path, monkeypatch, failing_syncs, chosen, grown
):
    monkeypatch.setattr(record_store, "MAX_GENERATION_BYTES", grown)
    calls = failing_syncs[0]
    failing_syncs[1].update(chosen)

    async def scenario():
        store = StoreWithState(tmp_path)
        kept = []
        for number in range(6):
            before = len(calls)
            outcomes = await store.put([number, 0], [number, 1])
            failed = any(call in chosen for call in range(before + 1, len(calls) + 1))
            assert outcomes == [not failed] * 2 and store.record_store.healthy is not failed
            kept += [] if failed else [[number, 0], [number, 1]]
            loaded = load_in_new_process(tmp_path)
            assert all(record in loaded for record in kept)
            assert all(record in store.held for record in loaded)

    asyncio.run(scenario())


def test_writes_fail_while_encoding_fails_and_succeed_afterwards(tmp_path, monkeypatch):
    async def scenario():
        store = StoreWithState(tmp_path)
        assert await store.put([0]) == [True]
        with monkeypatch.context() as patch:
            patch.setattr(record_store, "encode_batch", lambda records: 1 / 0)
            assert await store.put([1]) == [False] and await store.put([2]) == [False]
            assert load_in_new_process(tmp_path) == [[0], [0]]
        assert await store.put([3]) == [True]

    asyncio.run(scenario())
    assert unique(load_in_new_process(tmp_path)) == [(0,), (1,), (2,), (3,)]


@pytest.mark.parametrize("damage", ["gone", "empty", "torn", "noise"])
def test_a_damaged_index_does_not_matter(tmp_path, damage):
    async def scenario(number):
        store = StoreWithState(tmp_path)
        assert await store.put([number, "x"]) == [True] and await store.put([number, "y"]) == [True]

    asyncio.run(scenario(0))
    index = tmp_path / "g00000001.dir"
    if damage == "gone":
        index.unlink()
    else:
        text = index.read_bytes()
        index.write_bytes({"empty": b"", "torn": text[:-5], "noise": b"\xff(" * 40}[damage])
    assert unique(load_in_new_process(tmp_path)) == [(0, "x"), (0, "y")]
    asyncio.run(scenario(1))
    assert unique(load_in_new_process(tmp_path)) == [(0, "x"), (0, "y"), (1, "x"), (1, "y")]


@pytest.mark.parametrize("size", [10, 400, 3000])
def test_a_tail_lost_after_the_last_sync_loses_nothing_synced(tmp_path, failing_syncs, size):
    path = tmp_path / "g00000001.dat"

    async def scenario():
        store = StoreWithState(tmp_path)
        assert await store.put([0, b"x" * size]) == [True] and await store.put([1, b"y" * size]) == [True]
        synced = path.stat().st_size
        failing_syncs[1].add(len(failing_syncs[0]) + 1)
        assert await store.put([2, b"z" * size]) == [False]
        return synced

    synced = asyncio.run(scenario())
    data = path.read_bytes()
    ends = {
        synced,
        len(data) - 1,
        len(data),
        *range(-(-synced // BLOCK_BYTES) * BLOCK_BYTES, len(data), BLOCK_BYTES),
    }
    for end in sorted(ends, reverse=True):
        for tail in (b"", b"\0" * (len(data) - end)):
            path.write_bytes(data[:end] + tail)
            assert unique(load_in_new_process(tmp_path))[:2] == [(0, b"x" * size), (1, b"y" * size)]
            assert len(unique(load_in_new_process(tmp_path))) == 2 + (end == len(data))


@examples(max_examples=25)
@given(st.lists(st.tuples(st.integers(0, 1200), st.booleans()), min_size=1, max_size=12), st.integers(1, 9))
def test_any_mix_of_sizes_and_failures_keeps_written_records(tmp_path_factory, batches, grown):
    folder, real = tmp_path_factory.mktemp("mix"), RecordStore._sync
    wrong = False

    def sync(path):
        if wrong:
            raise OSError(5, "no")
        real(path)

    async def scenario():
        nonlocal wrong
        store, kept = StoreWithState(folder), []
        for number, (size, wrong) in enumerate(batches):  # noqa: B007 - read by sync
            record = [number, b"x" * size]
            if await store.put(record) == [True]:
                kept.append(record)
        loaded = load_in_new_process(folder)
        assert len(kept) == sum(not wrong for _, wrong in batches) and all(r in loaded for r in kept)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(record_store, "MAX_GENERATION_BYTES", grown * 512)
        patch.setattr(RecordStore, "_sync", staticmethod(sync))
        asyncio.run(scenario())


def test_a_generation_that_could_not_start_leaves_no_files_behind(tmp_path, monkeypatch):
    def full(path):
        raise OSError(28, "no space left")

    async def scenario():
        outcomes, made = [], RecordStore(str(tmp_path), lambda: [["old", 1]])
        made.load()
        for _ in range(3):
            end = asyncio.get_running_loop().create_future()
            made.put(["new", 1], end.set_result)
            outcomes.append(await end)
            if len(outcomes) == 2:
                assert not [path for path in tmp_path.iterdir() if path.suffix == ".dat"]
                monkeypatch.undo()
        return outcomes

    monkeypatch.setattr(RecordStore, "_sync", staticmethod(full))
    assert asyncio.run(scenario()) == [False, False, True]
    assert RecordStore(str(tmp_path), list).load() == [["old", 1], ["new", 1]]
