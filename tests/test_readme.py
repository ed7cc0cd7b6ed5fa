"""The README's embedding example runs as written."""

import pathlib
import re


def test_example_runs(capsys):
    text = (pathlib.Path(__file__).parent.parent / "README.md").read_text(encoding="utf-8")
    example = re.search(r"```python\n(.*?)```", text, re.DOTALL)
    exec(compile(example.group(1), "README.md", "exec"), {})
    assert capsys.readouterr().out.startswith("send call-1 to 10.0.0.")
