"""The operators' file: off by default, and an error that names file, line and key for whatever is wrong."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollyport.settings.options import BadValue, OptionsError, Section, line_of, load

ROOT = Path(__file__).parent.parent
ECHO = (Section("echo", "test_options:read_echo"),)


def read_echo(table):
    for key, value in table.items():
        if key != "size":
            raise BadValue((key,), "no such key; known: size")
        if not isinstance(value, int):
            raise BadValue(("size",), f"must be a whole number, is {value!r}")
    return table.get("size", 1)


def written(tmp_path, text):
    path = tmp_path / "hollyport.toml"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return str(path)


def test_nothing_is_on_without_a_file_or_with_the_shipped_one():
    assert load(None).sections == {} == load(str(ROOT / "deploy" / "hollyport.toml")).sections


def test_a_section_gets_its_table(tmp_path):
    assert load(written(tmp_path, "[echo]\nsize = 3\n"), ECHO).sections == {"echo": 3}


@pytest.mark.parametrize(
    ("text", "line", "names"),
    [
        ("format = 1\n\n[eco]\nsize = 1\n", 3, "eco"),
        ("[echo]\n\nsise = 1\n", 3, "echo.sise"),
        ("[echo]\n# size\nsize = 'x'\n", 3, "echo.size"),
        ("echo = 5\n", 1, "echo"),
        ("\nformat = 2\n", 2, "format"),
        ("format = true\n", 1, "format"),
        ("echo.size = 1.5\n", 1, "echo.size"),
        ("[echo]\nsize = \n", 2, "line 2"),
    ],
)
def test_what_is_wrong_is_named_with_its_line(tmp_path, text, line, names):
    with pytest.raises(OptionsError) as caught:
        load(written(tmp_path, text), ECHO)
    message = str(caught.value)
    assert names in message and "\n" not in message
    assert f"hollyport.toml:{line}:" in message or f"line {line}" in message


def test_a_file_that_is_absent_or_no_text_is_an_error_of_one_line(tmp_path):
    for path in (str(tmp_path / "none.toml"), written(tmp_path, b"\xff\xfe\x00")):
        with pytest.raises(OptionsError, match=r"\.toml: "):
            load(path)


def test_the_program_refuses_a_bad_file_and_checks_a_good_one(tmp_path):
    def run(*words):
        return subprocess.run(
            [sys.executable, "-m", "hollyport", *words], cwd=ROOT, capture_output=True, text=True
        )

    bad = run("--options", written(tmp_path, "[nothing]\n"))
    assert bad.returncode == 2 and re.search(r"hollyport\.toml:1: nothing: no such key", bad.stderr)
    good = run("--check", "deploy/hollyport.toml")
    assert good.returncode == 0 and "good" in good.stdout
    assert run("--check", written(tmp_path, "x = 1\n")).returncode == 2


def test_lines_of_arrays_of_tables_and_quoted_keys():
    text = "[[fault]]\nat = 1\n\n[[fault]]\nat = 2\n[fault.more]\n'a b' = 1\n[x.\"y\"]\nz.w = 4\n"
    assert line_of(text, ("fault", 0, "at")) == 2
    assert line_of(text, ("fault", 1, "at")) == 5
    assert line_of(text, ("fault", 1, "more", "a b")) == 7
    assert line_of(text, ("x", "y", "z", "w")) == 9
    assert line_of(text, ("fault", 1, "absent")) == 4


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.lists(st.sampled_from("klm"), unique=True, max_size=3)),
        unique_by=lambda pair: pair[0],
        max_size=3,
    )
)
def test_every_key_of_a_plain_file_is_found_on_its_own_line(tables):
    lines = []
    for name, keys in tables:
        lines += [f"[{name}]", *(f"{key} = 1  # {name}.{key}" for key in keys)]
    text = "\n".join(lines)
    for name, keys in tables:
        assert lines[line_of(text, (name,)) - 1] == f"[{name}]"
        for key in keys:
            assert lines[line_of(text, (name, key)) - 1].endswith(f"# {name}.{key}")
