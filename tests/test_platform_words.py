"""The border of `platform/` (docs/system.md §3): none of its words in the product, no state and no size of its own."""

from __future__ import annotations

import ast
import re
import unittest
from collections.abc import Iterable, Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PLATFORM = ROOT / "platform"
PRODUCT = ROOT / "src" / "pearhead"

# Words that are the platform's alone: found wherever they stand, also in comments. Headers in any case. X-Request-Id is
# not among them: many speak it, and the product's own calls to workers had it before the platform came.
HEADERS = (
    "X-Answer-Seal",
    "X-Cache-Salt",
    "X-Cache-Source",
    "X-Cache-Target",
    "X-Deadline",
    "X-Expect-Instance",
    "X-Expect-Version",
    "X-Instance",
    "X-Model",
    "X-Not-Run",
    "X-Prompt-Prefix",
    "X-Tenant",
    "X-Token-Count",
    "X-Urgency",
    "X-Weight-Versions",
    "Wait-Ms",
)
PATHS = (
    "/v1/config",
    "/v1/kv-events",
    "/v1/kv-list",
    "/v1/order",
    "/v1/readiness",
    "/v1/report",
    "/v1/version-put",
    "kv-events",
    "kv-list",
    "version-put",
    "/etc/pearhead",
    "node.json",
    "PEARHEAD_NODE_FILE",
)
FIELDS = (
    # of the settings file
    "AckMs",
    "ApplyMs",
    "BeatPeriodMs",
    "BindAddresses",
    "CloudApi",
    "ContactMs",
    "CpuShare",
    "DataDir",
    "DiskMb",
    "DrainMs",
    "FdLimit",
    "FirstStart",
    "GraceS",
    "LagMs",
    "LeaseMs",
    "LinkMbps",
    "LossSlackMs",
    "MachineClass",
    "MemoryMb",
    "PortRange",
    "RatePerS",
    "RecoveryS",
    "RetryRatio",
    "RetrySlack",
    "RetryWindowS",
    "ReuseAfterS",
    "RevertSlackMs",
    "RevokeMs",
    "SeedLagS",
    "SeedNodes",
    "SettleS",
    "StretchMs",
    "StrictRevoke",
    "ThawMs",
    "TransitMs",
    "VersionMs",
    # of configurations
    "BodyBytes",
    "CacheStore",
    "CacheTokens",
    "ConnLimit",
    "DeadlineMs",
    "GapSetpointMs",
    "HeaderBytes",
    "HeaderReadMs",
    "Hostname",
    "IdleMs",
    "RouteTable",
    "SetpointMs",
    "TokenBytes",
    "If-Match",
    # of workers, the list and the operator's calls
    "CacheTotal",
    "CacheUsed",
    "CallSeq",
    "ColdLeftMs",
    "NextPage",
    "Upsert",
    "Saturated",
)
# Words that are others' as well: found where they are the whole of a text, as a name of a field is.
COMMON = (
    "Active",
    "Adapters",
    "Address",
    "Capacity",
    "Concurrency",
    "Contracts",
    "Cores",
    "Counted",
    "Control",
    "Discovery",
    "Dropped",
    "Duties",
    "Engine",
    "Entry",
    "Events",
    "Expected",
    "Fence",
    "Fenced",
    "Front",
    "Handles",
    "Held",
    "Holder",
    "Id",
    "Incarnation",
    "Ip",
    "Isolated",
    "Keys",
    "Limits",
    "Machines",
    "Mode",
    "Model",
    "Models",
    "Name",
    "Node",
    "Operation",
    "Page",
    "Phase",
    "Pinned",
    "Prefix",
    "Probe",
    "Protocol",
    "Public",
    "Queued",
    "Readiness",
    "Region",
    "Regions",
    "Remove",
    "Resume",
    "Revision",
    "Role",
    "Serves",
    "Servers",
    "Service",
    "Services",
    "Share",
    "Since",
    "Split",
    "State",
    "Stride",
    "Tenants",
    "Tls",
    "Tolerance",
    "Tries",
    "Type",
    "Urgency",
    "Zone",
    "Zones",
    "preempt",
    "retain",
)
PROPER = re.compile(rf"(?<![\w-])({'|'.join(map(re.escape, (*PATHS, *FIELDS)))})(?![\w-])")
HEADER = re.compile(rf"(?<![\w-])({'|'.join(HEADERS)})(?![\w-])", re.IGNORECASE)

LOCKS_AND_TIMERS = {"call_later", "call_at", "sleep", "Timer", "PeriodicCallback", "add_timeout", "spawn_callback"}
TASKS = {"create_task", "ensure_future", "Thread", "ThreadPoolExecutor", "run_in_executor", "to_thread", "gather"}
MUTATORS = {
    "add",
    "append",
    "clear",
    "discard",
    "extend",
    "insert",
    "pop",
    "popitem",
    "popleft",
    "remove",
    "setdefault",
    "update",
}
# What a connection, or the reading of one body, holds while it lasts: these classes are made anew for each.
PASSING = {
    "config_api.py": {"ControlHandler"},
    "request_dialect.py": {"ReadinessHandler"},
    "platform_worker_client.py": {"_BufferedResponse"},
    "config_translation.py": {"YieldingJsonReader"},
}
# The one thing of a process's life: connections kept open to stores, workers and the list, told by their address.
KEPT_CONNECTIONS = {"idle_connections"}


def words_in(source: str) -> list[str]:
    found = [match.group(1) for pattern in (PROPER, HEADER) for match in pattern.finditer(source)]
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Constant) and isinstance(node.value, str) and node.value in COMMON:
            found.append(node.value)
    return found


def name_of(node: ast.AST) -> str:
    """The last part of `a.b.c`."""
    return node.attr if isinstance(node, ast.Attribute) else node.id if isinstance(node, ast.Name) else ""


def root_of(node: ast.AST) -> tuple[str, str]:
    """`self` and `kept` of `self.kept[x].y`; the second is empty for a plain name."""
    below = ""
    while isinstance(node, (ast.Attribute, ast.Subscript)):
        below = node.attr if isinstance(node, ast.Attribute) else below
        node = node.value
    return (node.id if isinstance(node, ast.Name) else ""), below


def timers_and_tasks(source: str) -> Iterator[str]:
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Call) and name_of(node.func) in LOCKS_AND_TIMERS | TASKS:
            yield f"{node.lineno}: calls {name_of(node.func)}"
        if isinstance(node, ast.Call) and name_of(node.func) == "sleep_for":
            # A rest of no time lets others run, as a loop over much has to; any other is a timer.
            last = node.args[-1] if node.args else None
            if not isinstance(last, ast.Constant) or last.value != 0:
                yield f"{node.lineno}: rests"


def kept_by_module(tree: ast.Module) -> Iterator[str]:
    """State of the module: names that functions change, by `global`, by a call that changes, or by an item."""
    names = {
        target.id
        for node in tree.body
        if isinstance(node, (ast.Assign, ast.AnnAssign))
        for target in (node.targets if isinstance(node, ast.Assign) else [node.target])
        if isinstance(target, ast.Name)
    }
    for node in ast.walk(tree):
        if isinstance(node, (ast.Global, ast.Nonlocal)):
            yield f"{node.lineno}: {type(node).__name__.lower()} {', '.join(node.names)}"
        if isinstance(node, ast.FunctionDef) and any("cache" in ast.unparse(d) for d in node.decorator_list):
            yield f"{node.lineno}: caches"
        for changed, line in changed_by(node):
            if isinstance(changed, (ast.Attribute, ast.Subscript)) or isinstance(node, ast.Call):
                if root_of(changed)[0] in names:
                    yield f"{line}: changes {root_of(changed)[0]}"


def changed_by(node: ast.AST) -> list[tuple[ast.expr, int]]:
    """What a statement or a call changes."""
    if isinstance(node, ast.Assign):
        found = [item for target in node.targets for item in parts_of(target)]
    elif isinstance(node, (ast.AugAssign, ast.AnnAssign)):
        found = [node.target]
    elif isinstance(node, ast.Delete):
        found = list(node.targets)
    elif isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.func.attr in MUTATORS:
        found = [node.func.value]
    else:
        return []
    return [(item, node.lineno) for item in found]


def parts_of(target: ast.expr) -> Iterable[ast.expr]:
    return target.elts if isinstance(target, (ast.Tuple, ast.List)) else [target]


def kept_by_objects(tree: ast.Module, passing: set[str]) -> Iterator[str]:
    """State of objects: whatever of `self` changes after it was made, but in classes that pass with a connection."""
    for found_class in (node for node in tree.body if isinstance(node, ast.ClassDef)):
        if found_class.name in passing:
            continue
        for method in found_class.body:
            if not isinstance(method, (ast.FunctionDef, ast.AsyncFunctionDef)) or method.name == "__init__":
                continue
            for node in ast.walk(method):
                for changed, line in changed_by(node):
                    root, field = root_of(changed)
                    if root == "self" and field and field not in KEPT_CONNECTIONS:
                        yield f"{line}: changes self.{field} of {found_class.name}"
                    if root == "cls" or (root == found_class.name and field):
                        yield f"{line}: changes the class {found_class.name}"


def kept_state(source: str, passing: Iterable[str] = ()) -> list[str]:
    tree = ast.parse(source)
    return [*kept_by_module(tree), *kept_by_objects(tree, set(passing))]


def made_once(source: str, passing: Iterable[str]) -> list[str]:
    """Objects of passing classes that a module makes for itself would not pass."""
    return [
        f"{node.lineno}: {name_of(node.value.func)} lasts"
        for node in ast.parse(source).body
        if isinstance(node, (ast.Assign, ast.AnnAssign))
        and isinstance(node.value, ast.Call)
        and name_of(node.value.func) in set(passing)
    ]


def line_count(paths: Iterable[Path]) -> int:
    return sum(len(path.read_text(encoding="utf-8").splitlines()) for path in paths)


def product_files() -> list[Path]:
    generated = {"wire_pb2.py", "wire_pb2.pyi"}
    return [
        path
        for path in sorted(PRODUCT.rglob("*.py"))
        if path.relative_to(PRODUCT).parts[0] != "testbed" and path.name not in generated
    ]


class WordsTest(unittest.TestCase):
    def test_no_word_of_the_platform_stands_in_the_product(self) -> None:
        for path in [*product_files(), PRODUCT / "rpc" / "wire.proto"]:
            source = path.read_text(encoding="utf-8")
            found = words_in(source) if path.suffix == ".py" else PROPER.findall(source) + HEADER.findall(source)
            self.assertEqual(found, [], str(path.relative_to(ROOT)))

    def test_the_product_imports_nothing_of_the_folder(self) -> None:
        modules = {path.stem for path in PLATFORM.glob("*.py")}
        for path in product_files():
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                names = [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
                if isinstance(node, ast.ImportFrom) and node.level == 0:
                    names = [node.module or ""]
                self.assertFalse(modules.intersection(names), str(path.relative_to(ROOT)))

    def test_words_that_are_planted_are_found(self) -> None:
        for source, word in (
            ('HEADER = "X-Answer-Seal"', "X-Answer-Seal"),
            ('get("x-not-run", "")', "x-not-run"),
            ("# as SeedNodes says", "SeedNodes"),
            ('"""Reads RouteTable."""', "RouteTable"),
            ('PATH = f"/v1/kv-events?Since={n}"', "/v1/kv-events"),
            ('os.environ["PEARHEAD_NODE_FILE"]', PATHS[-1]),
            ('data["Revision"]', "Revision"),
            ('{"Name": 1}', "Name"),
            ("class CloudApi: pass", "CloudApi"),
            ('POST = "/v1/version-put"', "/v1/version-put"),
            ("GapSetpointMs = 3", "GapSetpointMs"),
        ):
            self.assertIn(word, words_in(source), source)
        self.assertEqual(words_in('class Service: """A Route by Name."""\nNames = "a Model of ours"'), [])

    def test_every_word_is_met_in_the_folder_or_the_pages_words_only(self) -> None:
        """A word that nobody speaks would be looked for in vain: most of them stand in the folder."""
        spoken = "".join(path.read_text(encoding="utf-8") for path in PLATFORM.glob("*.py"))
        unknown = [word for word in (*FIELDS, *HEADERS) if word not in spoken]
        self.assertLess(len(unknown), len((*FIELDS, *HEADERS)) // 4, unknown)


class StateTest(unittest.TestCase):
    def test_the_folder_is_no_package(self) -> None:
        self.assertEqual(list(PLATFORM.rglob("__init__.py")), [])

    def test_the_folder_has_no_timer_and_no_task(self) -> None:
        for path in sorted(PLATFORM.glob("*.py")):
            self.assertEqual(list(timers_and_tasks(path.read_text(encoding="utf-8"))), [], path.name)

    def test_the_folder_keeps_nothing_beyond_a_connection(self) -> None:
        for path in sorted(PLATFORM.glob("*.py")):
            source, passing = path.read_text(encoding="utf-8"), PASSING.get(path.name, set())
            self.assertEqual(kept_state(source, passing), [], path.name)
            self.assertEqual(made_once(source, passing), [], path.name)
            for name in passing:
                self.assertTrue(kept_state(source, passing - {name}), f"{path.name}: {name} needs no exception")

    def test_planted_timers_and_tasks_are_found(self) -> None:
        for line in (
            "loop.call_later(1, f)",
            "await asyncio.sleep(1)",
            "asyncio.create_task(f())",
            "await sleep_for(clock, 5)",
            "await sleep_for(clock, MILLI)",
            "PeriodicCallback(f, 9)",
            "Thread(target=f)",
            "asyncio.ensure_future(f())",
        ):
            self.assertTrue(list(timers_and_tasks(f"async def g():\n    {line}")), line)
        self.assertEqual(list(timers_and_tasks("async def g():\n    await sleep_for(clock, 0)")), [])

    def test_planted_state_is_found(self) -> None:
        for source in (
            "SEEN = {}\ndef f(a):\n    SEEN[a] = 1",
            "SEEN = set()\ndef f(a):\n    SEEN.add(a)",
            "N = 0\ndef f():\n    global N\n    N += 1",
            "@functools.cache\ndef f(a):\n    return a",
            "class A:\n    def f(self):\n        self.n = 1",
            "class A:\n    def f(self):\n        self.n += 1",
            "class A:\n    def f(self, a):\n        self.seen.append(a)",
            "class A:\n    def f(self, a):\n        self.seen[a].last = 1",
            "class A:\n    def f(self):\n        del self.seen[0]",
            "class A:\n    def f(self):\n        A.n = 1",
            "class A:\n    @classmethod\n    def f(cls):\n        cls.n = 1",
            "class A:\n    def f(self):\n        self.a, self.b = 1, 2",
            "def f():\n    n = 0\n    def g():\n        nonlocal n\n        n += 1",
            "class PlatformWorkerClient:\n    def f(self, a):\n        self.last[a] = 1",
        ):
            self.assertTrue(kept_state(source), source)
        self.assertTrue(made_once("READER = _Reader({})", {"_Reader"}))
        for source in (
            "class A:\n    def __init__(self):\n        self.n = 1",
            "LIMIT = 3\ndef f(a):\n    a.n = LIMIT",
            "class PlatformWorkerClient:\n    def f(self, a):\n        self.idle_connections.pop(a)",
            "def f():\n    found = {}\n    found['a'] = 1",
        ):
            self.assertEqual(kept_state(source), [], source)


class SizeTest(unittest.TestCase):
    def test_the_folder_has_at_most_a_quarter_of_the_products_lines(self) -> None:
        self.assertLessEqual(line_count(sorted(PLATFORM.glob("*.py"))) * 4, line_count(product_files()))
