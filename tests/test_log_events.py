"""The page for on-call engineers lists the log events of the code, with the same fields."""

import ast
import re
from collections import defaultdict
from functools import cache
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "oncall.md"
SECTION = "## Log events"
NOT_IN_SERVICE = {
    "standins",
    "checks",
    "model",
    "benchlink",
}  # packages that production programs do not log from
LOG = re.compile(r"_?log(_line|_event)?")  # the names under which objects have a log function
ANY_FIELD = "..."  # in the table: fields that the code passes as a mapping

Definition = ast.FunctionDef | ast.AsyncFunctionDef | ast.Lambda
Events = dict[str, set[str]]  # names of fields by event, with {} in place of formatted values


class Module(NamedTuple):
    """A file with its top-level constants and imports."""

    path: Path
    tree: ast.Module
    constants: dict[str, str]
    imports: dict[str, str]  # local name: full name


class LogCall(NamedTuple):
    """A call of a log function, and the enclosing functions from the innermost."""

    module: Module
    call: ast.Call
    around: tuple[Definition, ...]


@cache
def modules() -> dict[str, Module]:
    """Return all modules of the packages in production, by full name."""
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
    """Return the names of the positional parameters without `self`."""
    names = [argument.arg for argument in [*function.args.posonlyargs, *function.args.args]]
    return names[1:] if names[:1] == ["self"] else names


def called_name(call: ast.Call) -> str:
    """Return the last component of the called name."""
    if isinstance(call.func, ast.Attribute):
        return call.func.attr
    return call.func.id if isinstance(call.func, ast.Name) else ""


def calls_in(module: Module) -> list[LogCall]:
    """Return all calls with a positional argument in a module, with their enclosing functions."""
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
    """Whether an argument is a parameter of an enclosing function."""
    return isinstance(argument, ast.Name) and any(argument.id in parameters(f) for f in call.around)


@cache
def log_calls() -> tuple[LogCall, ...]:
    """Return the calls of log functions, and of functions that forward their first argument to one."""
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
    """Return the possible texts of an argument, with {} for formatted values; None if they are unknown."""
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
    """Return the text of a part of an f-string; {} unless it is a literal or a name with a single value."""
    match value:
        case ast.Constant(value=text):
            return str(text)
        case ast.FormattedValue(value=ast.Name(id=name), format_spec=None):
            named = None if is_passed_on(call, ast.Name(name)) else values_of(call, name)
            return named[0] if named and len(named) == 1 else "{}"
    return "{}"


def values_of(call: LogCall, name: str) -> list[str] | None:
    """Return the literal values of a name from the enclosing functions, the module or its imports."""
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
    """Return all events that the code logs, with their fields."""
    found: Events = defaultdict(set)
    for call in log_calls():
        argument = call.call.args[0]
        if is_passed_on(call, argument):
            continue
        for text in texts(call, argument) or ():
            found[text] |= {ANY_FIELD if k.arg is None else k.arg for k in call.call.keywords}
    return dict(found)


def events_of_the_page() -> list[tuple[str, set[str]]]:
    """Return the rows of the tables under "Log events": event, with {} for formatted values, and fields."""
    section = PAGE.read_text().split(f"\n{SECTION}\n", 1)[1].split("\n## ", 1)[0]
    rows: list[tuple[str, set[str]]] = []
    for line in section.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split(" | ")]
        event = re.fullmatch(r"`([^`]+)`", cells[0].strip())
        if line.startswith("| `") and event:
            rows.append((re.sub(r"\{[^}]*\}", "{}", event[1]), set(re.findall(r"`([^`]+)`", cells[1]))))
    return rows


def test_the_event_of_every_log_call_is_a_literal() -> None:
    unknown = [
        f"{call.module.path.relative_to(ROOT)}:{call.call.lineno}"
        for call in log_calls()
        if not is_passed_on(call, call.call.args[0]) and not texts(call, call.call.args[0])
    ]
    assert not unknown, f"the event is not a literal, so it can't be compared with docs/oncall.md: {unknown}"


def test_the_collection_finds_events_of_every_kind() -> None:
    """Guards the collection: if it found no log calls, the other tests would pass vacuously."""
    code = events_of_the_code()
    assert len(code) > 60
    assert {"listening", "stopped", "list {}: {} at {}, {} known", "passed over", "mode"} <= set(code)


def test_the_page_lists_every_event_of_the_code() -> None:
    on_page = {event for event, _ in events_of_the_page()}
    missing = {event: fields for event, fields in events_of_the_code().items() if event not in on_page}
    rows = "\n".join(
        f"| `{event}` | {', '.join(f'`{field}`' for field in sorted(fields)) or '-'} | meaning | what to do |"
        for event, fields in sorted(missing.items())
    )
    assert not missing, f"rows missing in {PAGE.name}:\n{rows}"


def test_the_page_lists_only_events_of_the_code() -> None:
    code = events_of_the_code()
    gone = [event for event, _ in events_of_the_page() if event not in code]
    assert not gone, f"rows of {PAGE.name} to remove or correct:\n" + "\n".join(gone)


def test_each_event_is_listed_once_with_its_fields() -> None:
    rows = events_of_the_page()
    names = [event for event, _ in rows]
    assert len(names) == len(set(names))
    code = events_of_the_code()
    other = {e: (fields, code[e]) for e, fields in rows if e in code and fields != code[e]}
    assert not other, f"event: (fields on {PAGE.name}, fields in the code): {other}"
