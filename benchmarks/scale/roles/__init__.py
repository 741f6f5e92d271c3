"""The roles, each registered by its own module. Every module of this package is imported by `all_roles`."""

import importlib
import pkgutil

from benchmarks.scale.samples import Role

REGISTERED: dict[str, Role] = {}


def register(role: Role) -> Role:
    """Called once by each module for each of its roles; a name taken twice is a fault of the programmer."""
    if role.name in REGISTERED and type(REGISTERED[role.name]) is not type(role):
        raise ValueError(f"two roles are called {role.name}")
    REGISTERED[role.name] = role
    return role


def all_roles() -> dict[str, Role]:
    """Every role by name, in order of name."""
    for module in sorted(pkgutil.iter_modules(__path__), key=lambda module: module.name):
        importlib.import_module(f"{__name__}.{module.name}")
    return dict(sorted(REGISTERED.items()))
