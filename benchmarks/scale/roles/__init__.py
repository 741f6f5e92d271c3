"""The roles of the scale tests. Each module registers its own; `all_roles` imports all modules."""

import importlib
import pkgutil

from benchmarks.scale.samples import Role

REGISTERED: dict[str, Role] = {}


def register(role: Role) -> Role:
    """Registers a role; raises ValueError if another role has the same name."""
    if role.name in REGISTERED and type(REGISTERED[role.name]) is not type(role):
        raise ValueError(f"duplicate role name {role.name}")
    REGISTERED[role.name] = role
    return role


def all_roles() -> dict[str, Role]:
    """Every role by name, sorted by name."""
    for module in sorted(pkgutil.iter_modules(__path__), key=lambda module: module.name):
        importlib.import_module(f"{__name__}.{module.name}")
    return dict(sorted(REGISTERED.items()))
