"""Project rules that flake8 does not check."""

import ast
import importlib.util
import pathlib
import unittest

SOURCE = pathlib.Path(__file__).resolve().parent.parent / "src"


def find_non_module_imports(path: pathlib.Path) -> list[str]:
    """Return ``from`` imports of the package that are not modules."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    imports = (
        (node.module, alias.name)
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom) and node.module
        for alias in node.names
    )
    return [
        f"{path.name}: {module}.{name}"
        for module, name in imports
        if module.split(".")[0] == "egretfork"
        and importlib.util.find_spec(f"{module}.{name}") is None
    ]


# Modules that own sockets or are used only by those that do.
SHELL_MODULES = {"shell", "program", "ingress", "proxy"}


class StyleTest(unittest.TestCase):
    def test_imports_name_modules(self) -> None:
        found = [
            imported_name
            for path in SOURCE.rglob("*.py")
            for imported_name in find_non_module_imports(path)
        ]
        self.assertEqual(found, [])

    def test_cores_use_no_sockets_files_threads_or_clock(self) -> None:
        # Guards against nondeterminism that makes a trace replay differ.
        forbidden = {"socket", "time", "threading", "asyncio", "os", "zmq"}
        cores = [
            path
            for path in SOURCE.rglob("*.py")
            if path.parent.name in {"agent", "entry", "gossip", "routing"}
            and path.stem not in SHELL_MODULES
        ]
        for path in cores:
            tree = ast.parse(path.read_text(encoding="utf-8"))
            names = {
                alias.name.split(".")[0]
                for node in ast.walk(tree)
                if isinstance(node, ast.Import)
                for alias in node.names
            }
            self.assertEqual(names & forbidden, set(), path)


if __name__ == "__main__":
    unittest.main()
