"""Describes msgspec types by their encoded names alone, and makes examples of them: both outlive renames."""

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
    """What a type takes, as plain JSON values: kinds, bounds, choices, and the fields of its structs."""
    return _type(inspect.type_info(kind))


def tags(union: Any) -> dict[str, Any]:
    """The structs of a union by the tag that tells them apart, in text."""
    info = inspect.type_info(union)
    members = info.types if isinstance(info, inspect.UnionType) else (info,)
    return {str(member.tag): _struct(member) for member in members if isinstance(member, inspect.StructType)}


def _type(info: Any) -> Any:
    if isinstance(info, inspect.Metadata):
        return _type(info.type)
    if isinstance(info, inspect.StructType):
        return _struct(info)
    if isinstance(info, inspect.UnionType):
        return {"any of": sorted((_type(one) for one in info.types), key=str)}
    if isinstance(info, inspect.LiteralType):
        return {"choices": sorted(info.values)}
    if isinstance(info, inspect.EnumType):
        return {"choices": sorted(member.value for member in info.cls)}
    if isinstance(info, inspect.DictType):
        return {"map of": _type(info.value_type)}
    if isinstance(info, inspect.TupleType):
        return {"tuple of": [_type(one) for one in info.item_types]}
    if isinstance(info, inspect.ListType | inspect.VarTupleType):
        return {"list of": _type(info.item_type)} | _bounds(info)
    name = SCALARS[type(info)]
    bounds = _bounds(info)
    return {name: bounds} if bounds else name


def _bounds(info: Any) -> dict[str, Any]:
    found = {name: getattr(info, name, None) for name in BOUNDS}
    return {name: bound for name, bound in found.items() if bound is not None}


def _struct(info: inspect.StructType) -> Any:
    """Of an object the names count, and their order shows in the examples; of an array only the order."""
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
    """By tag two messages as plain values: one with all fields away from their defaults, one without them."""
    info = inspect.type_info(union)
    members = info.types if isinstance(info, inspect.UnionType) else (info,)
    return {
        str(member.tag): [_sample_struct(member, True), _sample_struct(member, False)]
        for member in members
        if isinstance(member, inspect.StructType)
    }


def sample(kind: Any) -> Any:
    """A plain value of a type that is no union, with every field away from its default."""
    return _sample(inspect.type_info(kind), "")


def _sample_struct(info: inspect.StructType, full: bool) -> Any:
    fields = [field for field in info.fields if full or field.required]
    values = {field.encode_name: _away(field) for field in fields}
    if info.array_like:
        return ([] if info.tag is None else [info.tag]) + list(values.values())
    return ({} if info.tag is None else {info.tag_field: info.tag}) | values


def _away(field: inspect.Field) -> Any:
    value = _sample(field.type, field.encode_name)
    return not value if isinstance(value, bool) and field.default is value else value


def _sample(info: Any, name: str) -> Any:
    if isinstance(info, inspect.Metadata):
        return _sample(info.type, name)
    if isinstance(info, inspect.StructType):
        return _sample_struct(info, True)
    if isinstance(info, inspect.UnionType):
        return _sample(next(one for one in info.types if not isinstance(one, inspect.NoneType)), name)
    if isinstance(info, inspect.LiteralType):
        return info.values[-1]
    if isinstance(info, inspect.EnumType):
        return list(info.cls)[-1].value
    if isinstance(info, inspect.DictType):
        return {"a name": _sample(info.value_type, name)}
    if isinstance(info, inspect.TupleType):
        return [_sample(one, name) for one in info.item_types]
    if isinstance(info, inspect.ListType | inspect.VarTupleType):
        return [_sample(info.item_type, name)]
    return _sample_scalar(info, name)


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
