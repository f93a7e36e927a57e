"""Architecture tests for `platform/` (docs/system.md §3).

The product must not contain the platform's names nor import the adapters. The adapters must have no timers, no tasks
and no state but their connections, and must stay small. The searches are also run on planted violations.
"""

from __future__ import annotations

import ast
import re
import unittest
from collections.abc import Iterable, Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PLATFORM = ROOT / "platform"
PRODUCT = ROOT / "src" / "pearhead"

# Names that only the platform uses: they are searched for everywhere, also in comments, and headers in any case.
# X-Request-Id is left out: it is in general use, and the product sent it to workers before it ran on the platform.
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
    # in the settings file
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
    # in configurations
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
    # in the interfaces of workers, of the worker list and for operators
    "CacheTotal",
    "CacheUsed",
    "CallSeq",
    "ColdLeftMs",
    "NextPage",
    "Upsert",
    "Saturated",
)
# Names that are common words too: they are searched for only as whole string literals, as field names are written.
COMMON_NAMES = (
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
PLATFORM_NAME_PATTERN = re.compile(rf"(?<![\w-])({'|'.join(map(re.escape, (*PATHS, *FIELDS)))})(?![\w-])")
HEADER_PATTERN = re.compile(rf"(?<![\w-])({'|'.join(HEADERS)})(?![\w-])", re.IGNORECASE)

TIMER_CALLS = {"call_later", "call_at", "sleep", "Timer", "PeriodicCallback", "add_timeout", "spawn_callback"}
TASK_CALLS = {"create_task", "ensure_future", "Thread", "ThreadPoolExecutor", "run_in_executor", "to_thread", "gather"}
MUTATING_METHODS = {
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
# Classes that may change their attributes: they are instantiated for each request or for each body that is read.
SHORT_LIVED_CLASSES = {
    "config_api.py": {"OperatorApiHandler"},
    "platform_protocol_adapter.py": {"ReadinessHandler"},
    "platform_worker_client.py": {"_BufferedResponse"},
    "config_translation.py": {"YieldingJsonReader"},
}
# The only state that lasts as long as the process: idle connections to stores, workers and the list, by address.
CONNECTION_FIELDS = {"idle_connections"}


def find_platform_names(source: str) -> list[str]:
    found = [
        match.group(1) for pattern in (PLATFORM_NAME_PATTERN, HEADER_PATTERN) for match in pattern.finditer(source)
    ]
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Constant) and isinstance(node.value, str) and node.value in COMMON_NAMES:
            found.append(node.value)
    return found


def last_name(node: ast.AST) -> str:
    """Returns the last part of `a.b.c`, or the plain name."""
    return node.attr if isinstance(node, ast.Attribute) else node.id if isinstance(node, ast.Name) else ""


def root_and_field(node: ast.AST) -> tuple[str, str]:
    """Returns `self` and `kept` for `self.kept[x].y`; the second is empty for a plain name."""
    field = ""
    while isinstance(node, (ast.Attribute, ast.Subscript)):
        field = node.attr if isinstance(node, ast.Attribute) else field
        node = node.value
    return (node.id if isinstance(node, ast.Name) else ""), field


def find_timers_and_tasks(source: str) -> Iterator[str]:
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Call) and last_name(node.func) in TIMER_CALLS | TASK_CALLS:
            yield f"{node.lineno}: calls {last_name(node.func)}"
        if isinstance(node, ast.Call) and last_name(node.func) == "sleep_for":
            # A sleep of zero only yields to the event loop, which long loops have to do; any other is a timer.
            last_argument = node.args[-1] if node.args else None
            if not isinstance(last_argument, ast.Constant) or last_argument.value != 0:
                yield f"{node.lineno}: sleeps"


def find_module_state_changes(tree: ast.Module) -> Iterator[str]:
    """Yields changes of module-level names: by `global`, by a mutating method, by an item or an attribute."""
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
        for changed, line in changed_expressions(node):
            if isinstance(changed, (ast.Attribute, ast.Subscript)) or isinstance(node, ast.Call):
                if root_and_field(changed)[0] in names:
                    yield f"{line}: changes {root_and_field(changed)[0]}"


def changed_expressions(node: ast.AST) -> list[tuple[ast.expr, int]]:
    """Returns the expressions that a statement or a call changes, with their line."""
    if isinstance(node, ast.Assign):
        found = [item for target in node.targets for item in unpack_target(target)]
    elif isinstance(node, (ast.AugAssign, ast.AnnAssign)):
        found = [node.target]
    elif isinstance(node, ast.Delete):
        found = list(node.targets)
    elif isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.func.attr in MUTATING_METHODS:
        found = [node.func.value]
    else:
        return []
    return [(item, node.lineno) for item in found]


def unpack_target(target: ast.expr) -> Iterable[ast.expr]:
    return target.elts if isinstance(target, (ast.Tuple, ast.List)) else [target]


def find_object_state_changes(tree: ast.Module, short_lived: set[str]) -> Iterator[str]:
    """Yields changes of attributes outside `__init__`, except in the classes of `short_lived`."""
    for class_node in (node for node in tree.body if isinstance(node, ast.ClassDef)):
        if class_node.name in short_lived:
            continue
        for method in class_node.body:
            if not isinstance(method, (ast.FunctionDef, ast.AsyncFunctionDef)) or method.name == "__init__":
                continue
            for node in ast.walk(method):
                for changed, line in changed_expressions(node):
                    root, field = root_and_field(changed)
                    if root == "self" and field and field not in CONNECTION_FIELDS:
                        yield f"{line}: changes self.{field} of {class_node.name}"
                    if root == "cls" or (root == class_node.name and field):
                        yield f"{line}: changes the class {class_node.name}"


def find_state_changes(source: str, short_lived: Iterable[str] = ()) -> list[str]:
    tree = ast.parse(source)
    return [*find_module_state_changes(tree), *find_object_state_changes(tree, set(short_lived))]


def find_module_level_instances(source: str, short_lived: Iterable[str]) -> list[str]:
    """Returns instances of `short_lived` classes that a module creates at its top level, where they would last."""
    return [
        f"{node.lineno}: {last_name(node.value.func)} is created at module level"
        for node in ast.parse(source).body
        if isinstance(node, (ast.Assign, ast.AnnAssign))
        and isinstance(node.value, ast.Call)
        and last_name(node.value.func) in set(short_lived)
    ]


def count_lines(paths: Iterable[Path]) -> int:
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
            found = (
                find_platform_names(source)
                if path.suffix == ".py"
                else PLATFORM_NAME_PATTERN.findall(source) + HEADER_PATTERN.findall(source)
            )
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
            self.assertIn(word, find_platform_names(source), source)
        self.assertEqual(find_platform_names('class Service: """A Route by Name."""\nNames = "a Model of ours"'), [])

    def test_every_word_is_met_in_the_folder_or_the_pages_words_only(self) -> None:
        """Guards against outdated names, which would be searched for in vain: most of them must be in `platform/`."""
        platform_source = "".join(path.read_text(encoding="utf-8") for path in PLATFORM.glob("*.py"))
        unknown = [word for word in (*FIELDS, *HEADERS) if word not in platform_source]
        self.assertLess(len(unknown), len((*FIELDS, *HEADERS)) // 4, unknown)


class StateTest(unittest.TestCase):
    def test_the_folder_is_no_package(self) -> None:
        self.assertEqual(list(PLATFORM.rglob("__init__.py")), [])

    def test_the_folder_has_no_timer_and_no_task(self) -> None:
        for path in sorted(PLATFORM.glob("*.py")):
            self.assertEqual(list(find_timers_and_tasks(path.read_text(encoding="utf-8"))), [], path.name)

    def test_the_folder_keeps_nothing_beyond_a_connection(self) -> None:
        for path in sorted(PLATFORM.glob("*.py")):
            source, short_lived = path.read_text(encoding="utf-8"), SHORT_LIVED_CLASSES.get(path.name, set())
            self.assertEqual(find_state_changes(source, short_lived), [], path.name)
            self.assertEqual(find_module_level_instances(source, short_lived), [], path.name)
            for name in short_lived:
                self.assertTrue(
                    find_state_changes(source, short_lived - {name}), f"{path.name}: {name} needs no exemption"
                )

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
            self.assertTrue(list(find_timers_and_tasks(f"async def g():\n    {line}")), line)
        self.assertEqual(list(find_timers_and_tasks("async def g():\n    await sleep_for(clock, 0)")), [])

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
            self.assertTrue(find_state_changes(source), source)
        self.assertTrue(find_module_level_instances("READER = _Reader({})", {"_Reader"}))
        for source in (
            "class A:\n    def __init__(self):\n        self.n = 1",
            "LIMIT = 3\ndef f(a):\n    a.n = LIMIT",
            "class PlatformWorkerClient:\n    def f(self, a):\n        self.idle_connections.pop(a)",
            "def f():\n    found = {}\n    found['a'] = 1",
        ):
            self.assertEqual(find_state_changes(source), [], source)


class SizeTest(unittest.TestCase):
    def test_the_folder_has_at_most_a_quarter_of_the_products_lines(self) -> None:
        self.assertLessEqual(count_lines(sorted(PLATFORM.glob("*.py"))) * 4, count_lines(product_files()))
