"""Descriptions and examples of msgspec types by their encoded names, which Python renames don't change."""

from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import inspect

BOUNDS = ("gt", "ge", "lt", "le", "multiple_of", "pattern", "min_length", "max_length")
SCALARS: dict[type, str] = {
    inspect.AnyType: "any",
    inspect.BoolType: "bool",
    inspect.CustomType: "custom",
    inspect.FloatType: "float",
    inspect.IntType: "int",
    inspect.NoneType: "null",
    inspect.RawType: "raw",
    inspect.StrType: "str",
}


def described(kind: Any) -> Any:
    """Describe a type as plain JSON values: kinds, bounds, choices, and the fields of its structs."""
    return _type(inspect.type_info(kind))


def tags(union: Any) -> dict[str, Any]:
    """Describe the structs of a union by their tags, as text."""
    info = inspect.type_info(union)
    members = info.types if isinstance(info, inspect.UnionType) else (info,)
    return {str(member.tag): _struct(member) for member in members if isinstance(member, inspect.StructType)}


def _type(info: Any) -> Any:
    describe = DESCRIBED.get(type(info))
    if describe is not None:
        return describe(info)
    name, bounds = SCALARS[type(info)], _bounds(info)
    return {name: bounds} if bounds else name


def _list(info: Any) -> Any:
    return {"list of": _type(info.item_type)} | _bounds(info)


def _named_tuple(info: inspect.NamedTupleType) -> Any:
    """Only the tuple is encoded; the names exist only in Python."""
    assert all(field.required for field in info.fields), f"{info.cls}: a tuple of one length has no defaults"
    return {"tuple of": [_type(field.type) for field in info.fields]}


def _bounds(info: Any) -> dict[str, Any]:
    found = {name: getattr(info, name, None) for name in BOUNDS}
    return {name: bound for name, bound in found.items() if bound is not None}


def _struct(info: inspect.StructType) -> Any:
    """Describe a struct: an object by its field names, an array by the order of its fields."""
    config = info.cls.__struct_config__
    fields = {field.encode_name: [_type(field.type), _default(field)] for field in info.fields}
    return {
        "array": info.array_like,
        "tag field": None if info.array_like else info.tag_field,
        "tag": info.tag,
        "refuses unknown": info.forbid_unknown_fields,
        "omits defaults": config.omit_defaults,
        "fields": list(fields.values()) if info.array_like else fields,
    }


def _default(field: inspect.Field) -> Any:
    if field.required:
        return "required"
    value = field.default_factory() if field.default is msgspec.NODEFAULT else field.default
    return {"default": msgspec.json.decode(msgspec.json.encode(value, enc_hook=_plain))}


def _plain(value: Any) -> Any:
    if isinstance(value, int):
        return int(value)
    if isinstance(value, msgspec.Raw):
        return bytes(value).decode()
    raise NotImplementedError(f"no plain form of {value!r}")


def examples(union: Any) -> dict[str, list[Any]]:
    """Return two plain messages by tag: one with no field at its default, one with required fields only."""
    info = inspect.type_info(union)
    members = info.types if isinstance(info, inspect.UnionType) else (info,)
    return {
        str(member.tag): [_sample_struct(member, True), _sample_struct(member, False)]
        for member in members
        if isinstance(member, inspect.StructType)
    }


def sample(kind: Any) -> Any:
    """Return a plain value of a type that is no union, with no field at its default."""
    return _sample(inspect.type_info(kind), "")


def _sample_struct(info: inspect.StructType, full: bool) -> Any:
    fields = [field for field in info.fields if full or field.required]
    values = {field.encode_name: _non_default(field) for field in fields}
    if info.array_like:
        return ([] if info.tag is None else [info.tag]) + list(values.values())
    return ({} if info.tag is None else {info.tag_field: info.tag}) | values


def _non_default(field: inspect.Field) -> Any:
    value = _sample(field.type, field.encode_name)
    return not value if isinstance(value, bool) and field.default is value else value


def _sample(info: Any, name: str) -> Any:
    """Return a sample value; texts and numbers depend on `name`, the field's name."""
    make = SAMPLES.get(type(info), _sample_scalar)
    return make(info, name)


def _sample_union(info: inspect.UnionType, name: str) -> Any:
    return _sample(next(one for one in info.types if not isinstance(one, inspect.NoneType)), name)


def _sample_scalar(info: Any, name: str) -> Any:
    if isinstance(info, inspect.StrType):
        return f"{name} é"[: info.max_length]
    if isinstance(info, inspect.BoolType):
        return True
    if isinstance(info, inspect.IntType):
        return 7 + len(name)
    if isinstance(info, inspect.FloatType):
        return 0.625 if info.le == 1 else 3.5
    return {"a": ["body", 1, None]}


DESCRIBED: dict[type, Callable[[Any], Any]] = {
    inspect.Metadata: lambda info: _type(info.type),
    inspect.StructType: _struct,
    inspect.UnionType: lambda info: {"any of": sorted((_type(one) for one in info.types), key=str)},
    inspect.LiteralType: lambda info: {"choices": sorted(info.values)},
    inspect.EnumType: lambda info: {"choices": sorted(member.value for member in info.cls)},
    inspect.DictType: lambda info: {"map of": _type(info.value_type)},
    inspect.TupleType: lambda info: {"tuple of": [_type(one) for one in info.item_types]},
    inspect.NamedTupleType: _named_tuple,
    inspect.ListType: _list,
    inspect.VarTupleType: _list,
}
SAMPLES: dict[type, Callable[[Any, str], Any]] = {
    inspect.Metadata: lambda info, name: _sample(info.type, name),
    inspect.StructType: lambda info, _: _sample_struct(info, True),
    inspect.UnionType: _sample_union,
    inspect.LiteralType: lambda info, _: info.values[-1],
    inspect.EnumType: lambda info, _: list(info.cls)[-1].value,
    inspect.DictType: lambda info, name: {"a name": _sample(info.value_type, name)},
    inspect.TupleType: lambda info, name: [_sample(one, name) for one in info.item_types],
    inspect.NamedTupleType: lambda info, name: [_sample(field.type, name) for field in info.fields],
    inspect.ListType: lambda info, name: [_sample(info.item_type, name)],
    inspect.VarTupleType: lambda info, name: [_sample(info.item_type, name)],
}
