"""Checks the documentation against the repository.

Links, commands, options, make targets and tests that the pages name must
exist. Also checks module docstrings and imports between packages.
"""

import ast
import pathlib
import re

import pytest
import typer.main

from bulrushgrade_cli import __main__ as cli
from bulrushgrade_daemon import __main__ as daemon
from bulrushgrade_standins import __main__ as standins

ROOT = pathlib.Path(__file__).parents[3]
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/*.md")])
PROGRAMS = {
    "bulrushgrade": typer.main.get_command(cli.app),
    "python -m bulrushgrade_standins": typer.main.get_command(standins.app),
}

# The allowed imports between packages, as CONTRIBUTING.md lists them.
ALLOWED_IMPORTS = {
    "bulrushgrade": set(),
    "bulrushgrade_daemon": {"bulrushgrade"},
    "bulrushgrade_standins": {"bulrushgrade"},
    "bulrushgrade_cli": {
        "bulrushgrade", "bulrushgrade_daemon", "bulrushgrade_standins",
    },
}  # fmt: skip

# Platform-specific terms, which only the platform adapter may use.
PLATFORM_TERMS = re.compile(
    r"x-(?:kv-|not-executed|expect-|prompt-prefix|serving-stage)"
    r"|kv-(?:fetch|events|handle)|log-(?:read|newest|append)|keyed\.",
    re.IGNORECASE,
)


def _read_commands(page):
    """Yields the lines of the indented and fenced code blocks of a page."""
    fenced = False
    for line in page.read_text().splitlines():
        if line.startswith("```"):
            fenced = not fenced
        elif fenced or line.startswith("    "):
            yield line.strip()


def _options(command):
    return {name for item in command.params for name in item.opts}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_and_named_pages_exist(page):
    text = page.read_text()
    links = re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", text)
    missing = [link for link in links if not (page.parent / link).exists()]
    assert missing == []
    paths = re.findall(r"\b(?:docs|examples|tools|packages)/[\w./-]*\w", text)
    missing = [path for path in paths if not (ROOT / path).exists()]
    assert missing == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_commands_and_their_options_exist(page):
    for line in _read_commands(page):
        if line.startswith("make "):
            target = line.split()[1]
            makefile = (ROOT / "Makefile").read_text()
            assert re.search(rf"^{target}:", makefile, re.MULTILINE), line
        if line.startswith("bulrushgraded "):
            _check_line(typer.main.get_command(daemon.app), line)
        for name, group in PROGRAMS.items():
            if line.startswith(f"{name} "):
                word = line.removeprefix(name).split()[0]
                assert word in group.commands, line
                _check_line(group.commands[word], line)


def _check_line(command, line):
    options = set(re.findall(r"(?<= )--[a-z][a-z-]*", line))
    assert options <= _options(command), line


def test_proofs_name_tests_that_exist():
    page = (ROOT / "docs" / "PROOFS.md").read_text()
    paths = [
        *ROOT.glob("packages/*/tests/*.py"),
        *ROOT.glob("platform/tests/*.py"),
    ]
    files = {path.name: path for path in paths}
    current = ""
    for file, name in re.findall(r"`(test_\w+\.py)?(?:::(\w+))?`", page):
        current = file or current
        if file or name:
            assert current in files
            defined = rf"^(?:def |class )?{name}\b"
            text = files[current].read_text()
            assert re.search(defined, text, re.MULTILINE), name


def test_only_the_adapter_uses_the_platforms_terms():
    found = {
        path.name
        for path in ROOT.glob("packages/*/*/*.py")
        if "tests" not in path.parts and PLATFORM_TERMS.search(path.read_text())
    }
    assert found == set()


def test_the_adapter_is_small():
    paths = ROOT.glob("platform/bulrushgrade_platform/*.py")
    assert sum(len(path.read_text().splitlines()) for path in paths) < 1500


def test_every_module_has_a_docstring():
    paths = [
        *ROOT.glob("packages/*/*/*.py"),
        *ROOT.glob("platform/*/*.py"),
        *ROOT.glob("examples/*.py"),
    ]
    assert len(paths) > len(PAGES)
    undocumented = [
        p for p in paths if not ast.get_docstring(ast.parse(p.read_text()))
    ]
    assert undocumented == []


@pytest.mark.parametrize("package", ALLOWED_IMPORTS)
def test_packages_import_in_one_direction(package):
    found = set()
    for path in ROOT.glob(f"packages/{package}/{package}/*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                found.update(item.name.split(".")[0] for item in node.names)
            elif isinstance(node, ast.ImportFrom):
                found.add(node.module.split(".")[0])
    imported = found & ALLOWED_IMPORTS.keys() - {package}
    assert imported <= ALLOWED_IMPORTS[package]
