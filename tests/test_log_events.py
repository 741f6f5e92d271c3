"""The page for on-call engineers and the code name the same log events, with the same fields."""

import ast
import re
from collections import defaultdict
from functools import cache
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "oncall.md"
SECTION = "## Log events"
NOT_IN_SERVICE = {"standins", "checks", "model", "benchlink"}  # packages that no program in service logs from
LOG = re.compile(r"_?log(_line|_event)?")  # a log under any of the names that objects have it by
ANY_FIELD = "..."  # in the table: fields that the code passes on as a mapping

Definition = ast.FunctionDef | ast.AsyncFunctionDef | ast.Lambda
Events = dict[
    str, set[str]
]  # event or text of a mode line, with {} for what is filled in: names of its fields


class Module(NamedTuple):
    """A file and what it names at its top level."""

    path: Path
    tree: ast.Module
    constants: dict[str, str]
    imports: dict[str, str]  # local name: full name


class LogCall(NamedTuple):
    """One call of a log, and the functions around it, the innermost first."""

    module: Module
    call: ast.Call
    around: tuple[Definition, ...]


@cache
def modules() -> dict[str, Module]:
    """By full name, all files of the packages in service."""
    found: dict[str, Module] = {}
    for path in sorted((ROOT / "lapistrestle").rglob("*.py")):
        parts = path.relative_to(ROOT).with_suffix("").parts
        if parts[1] in NOT_IN_SERVICE:
            continue
        tree = ast.parse(path.read_text())
        constants: dict[str, str] = {}
        imports: dict[str, str] = {}
        for node in tree.body:
            if isinstance(node, ast.Assign) and isinstance(node.value, ast.Constant):
                if isinstance(node.value.value, str):
                    constants |= {t.id: node.value.value for t in node.targets if isinstance(t, ast.Name)}
            elif isinstance(node, ast.ImportFrom):
                imports |= {a.asname or a.name: f"{node.module}.{a.name}" for a in node.names}
        found[".".join(parts)] = Module(path, tree, constants, imports)
    return found


def parameters(function: Definition) -> list[str]:
    """Names of the positional parameters, without the object itself."""
    names = [argument.arg for argument in [*function.args.posonlyargs, *function.args.args]]
    return names[1:] if names[:1] == ["self"] else names


def called_name(call: ast.Call) -> str:
    """The last part of the name that is called."""
    if isinstance(call.func, ast.Attribute):
        return call.func.attr
    return call.func.id if isinstance(call.func, ast.Name) else ""


def calls_in(module: Module) -> list[LogCall]:
    """All calls of a file with a positional argument, with the functions around each."""
    found: list[LogCall] = []

    def visit(node: ast.AST, around: tuple[Definition, ...]) -> None:
        if isinstance(node, ast.Call) and node.args:
            found.append(LogCall(module, node, around))
        inner = (node, *around) if isinstance(node, Definition) else around
        for child in ast.iter_child_nodes(node):
            visit(child, inner)

    visit(module.tree, ())
    return found


def is_passed_on(call: LogCall, argument: ast.expr) -> bool:
    """Whether an argument is a parameter of a function around the call."""
    return isinstance(argument, ast.Name) and any(argument.id in parameters(f) for f in call.around)


@cache
def log_calls() -> tuple[LogCall, ...]:
    """Calls of a log, and of the functions that pass their first argument on to one (as `count_and_log`)."""
    every = [call for module in modules().values() for call in calls_in(module)]
    forwarders = set[str]()

    def is_log(call: LogCall) -> bool:
        name = called_name(call.call)
        if isinstance(call.call.func, ast.Name) and call.module.imports.get(name, "").startswith("math."):
            return False  # a logarithm
        return bool(LOG.fullmatch(name)) or name in forwarders

    while True:
        more = set[str]()
        for call in every:
            argument = call.call.args[0]
            if not is_log(call) or not isinstance(argument, ast.Name):
                continue
            for function in call.around:
                if isinstance(function, ast.Lambda) or function.name == "__init__":
                    continue
                if parameters(function)[:1] == [argument.id]:
                    more.add(function.name)
        if more <= forwarders:
            return tuple(call for call in every if is_log(call))
        forwarders |= more


def texts(call: LogCall, argument: ast.expr) -> list[str] | None:
    """What the first argument may be, with {} for what is filled in; `None` where it can't be told."""
    match argument:
        case ast.Constant(value=str(text)):
            return [text]
        case ast.JoinedStr(values=values):
            return ["".join(part(call, value) for value in values)]
        case ast.IfExp(body=body, orelse=orelse):
            either = texts(call, body), texts(call, orelse)
            return None if None in either else [t for each in either for t in each or ()]
        case ast.Name(id=name):
            return values_of(call, name)
    return None


def part(call: LogCall, value: ast.expr) -> str:
    """A part of an f-string: its text, also where a local name stands for just one, else {}."""
    match value:
        case ast.Constant(value=text):
            return str(text)
        case ast.FormattedValue(value=ast.Name(id=name), format_spec=None):
            named = None if is_passed_on(call, ast.Name(name)) else values_of(call, name)
            return named[0] if named and len(named) == 1 else "{}"
    return "{}"


def values_of(call: LogCall, name: str) -> list[str] | None:
    """The literal values of a name: of the function around the call, of its module, or imported."""
    values = [
        node.value
        for function in call.around
        for node in ast.walk(function)
        if isinstance(node, ast.Assign)
        and any(isinstance(t, ast.Name) and t.id == name for t in node.targets)
    ]
    if values:
        found = [texts(call, value) for value in values]
        return None if None in found else [text for each in found for text in each or ()]
    if name in call.module.constants:
        return [call.module.constants[name]]
    module, _, imported = call.module.imports.get(name, "").rpartition(".")
    constant = modules()[module].constants.get(imported) if module in modules() else None
    return None if constant is None else [constant]


def events_of_the_code() -> Events:
    """All events that the code logs, with their fields."""
    found: Events = defaultdict(set)
    for call in log_calls():
        argument = call.call.args[0]
        if is_passed_on(call, argument):
            continue
        for text in texts(call, argument) or ():
            found[text] |= {ANY_FIELD if k.arg is None else k.arg for k in call.call.keywords}
    return dict(found)


def events_of_the_page() -> list[tuple[str, set[str]]]:
    """The rows of the tables under "Log events": event with {} for what is filled in, and its fields."""
    section = PAGE.read_text().split(f"\n{SECTION}\n", 1)[1].split("\n## ", 1)[0]
    rows: list[tuple[str, set[str]]] = []
    for line in section.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split(" | ")]
        event = re.fullmatch(r"`([^`]+)`", cells[0].strip())
        if line.startswith("| `") and event:
            rows.append((re.sub(r"\{[^}]*\}", "{}", event[1]), set(re.findall(r"`([^`]+)`", cells[1]))))
    return rows


def test_every_log_call_says_a_text_that_can_be_read_from_the_code() -> None:
    unread = [
        f"{call.module.path.relative_to(ROOT)}:{call.call.lineno}"
        for call in log_calls()
        if not is_passed_on(call, call.call.args[0]) and not texts(call, call.call.args[0])
    ]
    assert not unread, f"the first argument is no literal, so docs/oncall.md can't be held to it: {unread}"


def test_the_collection_finds_events_of_every_kind() -> None:
    """Guards the test itself: with a log under another name the others would hold of nothing."""
    code = events_of_the_code()
    assert len(code) > 60
    assert {"listening", "stopped", "list {}: {} at {}, {} known", "passed over", "mode"} <= set(code)


def test_every_event_of_the_code_stands_on_the_page() -> None:
    on_page = {event for event, _ in events_of_the_page()}
    missing = {event: fields for event, fields in events_of_the_code().items() if event not in on_page}
    rows = "\n".join(
        f"| `{event}` | {', '.join(f'`{field}`' for field in sorted(fields)) or '-'} | meaning | what to do |"
        for event, fields in sorted(missing.items())
    )
    assert not missing, f"rows that {PAGE.name} lacks:\n{rows}"


def test_the_page_names_no_event_that_the_code_does_not_log() -> None:
    code = events_of_the_code()
    gone = [event for event, _ in events_of_the_page() if event not in code]
    assert not gone, f"rows of {PAGE.name} to take out or mend:\n" + "\n".join(gone)


def test_each_event_stands_once_with_the_fields_that_the_code_gives() -> None:
    rows = events_of_the_page()
    names = [event for event, _ in rows]
    assert len(names) == len(set(names))
    code = events_of_the_code()
    other = {e: (fields, code[e]) for e, fields in rows if e in code and fields != code[e]}
    assert not other, f"event: (fields on {PAGE.name}, fields in the code): {other}"
