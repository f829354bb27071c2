"""The decision core stays free of input and output."""

import ast
import pathlib

import bulrushgrade

ALLOWED = {
    "attrs", "automat", "bulrushgrade", "msgspec", "returns",
    "sortedcontainers", "xxhash",
    "bisect", "collections", "configparser", "contextlib", "copy", "enum",
    "functools", "hashlib", "heapq", "io", "itertools", "math", "operator",
    "random", "re", "statistics", "string", "typing", "uuid",
}  # fmt: skip


def _imported(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield (node.module or "").split(".")[0]


def test_library_imports_no_input_or_output():
    folder = pathlib.Path(bulrushgrade.__file__).parent
    found = {
        (path.name, name)
        for path in folder.glob("*.py")
        for name in _imported(path)
        if name not in ALLOWED
    }
    assert found == set()
