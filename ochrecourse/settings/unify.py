"""Unifies what is said of each field: types, bounds, defaults, choices and values, as CUE does.

The schema and the file are two statements about the same record. Both are merged field by field; a field that
is left with a type or a bound but no value is missing, a field that the schema does not name is unknown, and
two values that differ are a conflict. Each message names the place of what is wrong, and the nearest right
name where one is near.
"""

from __future__ import annotations

import difflib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from ochrecourse.settings.syntax import (
    BadSettings,
    Both,
    Bound,
    Choice,
    Field,
    List,
    Literal,
    Place,
    Quantity,
    Reference,
    Struct,
    Value,
)

TYPES = ("string", "bool", "int", "number", "duration", "size", "rate", "null")
DEEPEST = 64  # structures within each other; more is a record that contains itself
EXAMPLES = {
    "duration": "150ms",
    "size": "64KiB",
    "rate": "12/s",
    "int": "3",
    "number": "0.5",
    "string": '"text"',
    "bool": "true",
}


@dataclass(frozen=True)
class Said:
    """One statement about a field, and where its names are looked up."""

    value: Value
    scopes: tuple[Struct, ...]


class Resolver:
    """Resolves a schema and a file into plain values. All troubles are collected, one message each."""

    def __init__(self, schema: Struct) -> None:
        self.schema = schema
        self.troubles: list[BadSettings] = []
        self.places: dict[str, Place] = {}  # of the values that the file gave, by path

    def resolve(self, file: Struct) -> dict[str, Any]:
        """The whole record. What is wrong is in `troubles` afterwards, in order of place."""
        resolved = self._struct(
            [Said(self.schema, (self.schema,)), Said(file, (self.schema, file))], "", file.place, 0
        )
        self.troubles.sort(key=lambda each: (each.place.file, each.place.line, each.place.column))
        return resolved

    # --- structures ---

    def _struct(self, said: list[Said], path: str, place: Place, depth: int) -> dict[str, Any]:
        by_label: dict[str, list[tuple[Field, Said]]] = {}
        known: set[str] | None = None
        for number, each in enumerate(said):
            struct = each.value
            assert isinstance(struct, Struct)
            if number == 0 and self._from_schema(struct):
                known = {field.label for field in struct.fields}
            for field in struct.fields:
                inner = Said(field.value, (*each.scopes, struct))
                by_label.setdefault(field.label, []).append((field, inner))
        resolved: dict[str, Any] = {}
        for label, parts in by_label.items():
            if label.startswith("#"):
                continue
            where = f"{path}.{label}" if path else label
            given = [(field, inner) for field, inner in parts if not self._from_schema(field)]
            if known is not None and label not in known:
                self._bad(given[0][0].place, f"there is no field {where!r}{_near(label, known)}")
                continue
            if all(field.optional for field, _ in parts) and not given:
                continue
            if given:
                self.places[where] = given[-1][0].value.place
            at = given[-1][0].value.place if given else place
            value = self._value([inner for _, inner in parts], where, at, depth + 1)
            if value is not _NOTHING:
                resolved[label] = value
        return resolved

    def _from_schema(self, part: Struct | Field) -> bool:
        return part.place.file == self.schema.place.file

    # --- one field ---

    def _value(self, said: list[Said], path: str, place: Place, depth: int) -> Any:
        """What all statements about a field leave; `_NOTHING` after a message."""
        if depth > DEEPEST:
            return self._bad(place, f"{path} contains itself")
        try:
            flat = [one for each in said for one in self._flat(each, depth)]
        except BadSettings as trouble:
            self.troubles.append(trouble)
            return _NOTHING
        structs = [each for each in flat if isinstance(each.value, Struct)]
        lists = [each for each in flat if isinstance(each.value, List)]
        choices = [each for each in flat if isinstance(each.value, Choice)]
        rest = [each for each in flat if not isinstance(each.value, Struct | List | Choice)]
        if choices:
            return self._choose(choices, structs + lists + rest, path, place, depth)
        if structs:
            if lists or rest:
                return self._bad(place, f"{path} is a record; {_shown((lists + rest)[0].value)} is not")
            return self._struct(structs, path, place, depth)
        if lists:
            if rest:
                return self._bad(place, f"{path} is a list; {_shown(rest[0].value)} is not")
            return self._list(lists, path, place, depth)
        return self._scalar(rest, path, place)

    def _flat(self, said: Said, depth: int) -> list[Said]:
        """A statement without its references and conjunctions. Raises BadSettings."""
        value = said.value
        if isinstance(value, Both):
            return [one for part in value.parts for one in self._flat(Said(part, said.scopes), depth)]
        if not isinstance(value, Reference):
            return [said]
        if len(value.path) == 1 and value.path[0] in TYPES:
            return [said]
        if depth > DEEPEST:
            raise BadSettings(value.place, f"{'.'.join(value.path)} refers to itself")
        found = self._look_up(value, said.scopes)
        return self._flat(found, depth + 1)

    def _look_up(self, reference: Reference, scopes: tuple[Struct, ...]) -> Said:
        first, *further = reference.path
        for i in range(len(scopes) - 1, -1, -1):
            for field in scopes[i].fields:
                if field.label == first and field.value is not reference:
                    found = Said(field.value, scopes[: i + 1])
                    return self._step(found, further, reference)
        names = {field.label for scope in scopes for field in scope.fields} | set(TYPES)
        raise BadSettings(reference.place, f"nothing is named {first!r}{_near(first, names)}")

    def _step(self, found: Said, further: list[str], reference: Reference) -> Said:
        for name in further:
            value = found.value
            if not isinstance(value, Struct):
                raise BadSettings(
                    reference.place, f"{'.'.join(reference.path)}: there is no record to look {name!r} up in"
                )
            fields = {field.label: field for field in value.fields}
            if name not in fields:
                raise BadSettings(
                    reference.place,
                    f"{'.'.join(reference.path)}: no field {name!r}{_near(name, set(fields))}",
                )
            found = Said(fields[name].value, (*found.scopes, value))
        return found

    # --- choices ---

    def _choose(self, choices: list[Said], others: list[Said], path: str, place: Place, depth: int) -> Any:
        """The one option that fits what else is said; without more said, the default."""
        choice, *more = choices
        assert isinstance(choice.value, Choice)
        options = [(marked, Said(value, choice.scopes)) for marked, value in choice.value.options]
        said = more + others
        if not said:
            marked = [option for is_default, option in options if is_default]
            if len(marked) == 1:
                return self._value(marked, path, place, depth + 1)
            return self._bad(place, f"{path} is missing; it is one of {_options(choice.value)}")
        tries: list[tuple[Any, list[BadSettings]]] = []
        for _, option in options:
            attempt = Resolver(self.schema)
            attempt.places = {}
            value = attempt._value([option, *said], path, place, depth + 1)
            if not attempt.troubles and value is not _NOTHING:
                self.places.update(attempt.places)
                return value
            tries.append((value, attempt.troubles))
        simple = all(isinstance(option.value, Literal) for _, option in options)
        if simple or not tries[-1][1]:
            given = next((each.value for each in said if isinstance(each.value, Literal)), None)
            names = {str(option.value.value) for _, option in options if isinstance(option.value, Literal)}
            near = _near(str(given.value), names) if given is not None else ""
            told = f"{path} is {_shown(given)}" if given is not None else f"{path} is none of these"
            return self._bad(place, f"{told}; it may be {_options(choice.value)}{near}")
        self.troubles.extend(tries[-1][1])  # the widest option stands last: its message says most
        return _NOTHING

    # --- lists ---

    def _list(self, lists: list[Said], path: str, place: Place, depth: int) -> Any:
        length = max(len(each.value.items) for each in lists if isinstance(each.value, List))
        items = []
        for i in range(length):
            said = []
            at = place
            for each in lists:
                value = each.value
                assert isinstance(value, List)
                if i < len(value.items):
                    said.append(Said(value.items[i], each.scopes))
                    if value.place.file != self.schema.place.file:
                        at = value.items[i].place
                elif value.rest is not None:
                    said.append(Said(value.rest, each.scopes))
                else:
                    return self._bad(place, f"{path} has {length} items; it may have {len(value.items)}")
            items.append(self._value(said, f"{path}[{i}]", at, depth + 1))
        return items

    # --- plain values ---

    def _scalar(self, said: list[Said], path: str, place: Place) -> Any:
        values = [each.value for each in said if isinstance(each.value, Literal)]
        kinds = [each.value.path[0] for each in said if isinstance(each.value, Reference)]
        bounds = [each.value for each in said if isinstance(each.value, Bound)]
        if not values:
            kind = kinds[0] if kinds else "value"
            example = EXAMPLES.get(kind)
            return self._bad(
                place, f"{path} is missing; it is a {kind}" + (f", as in {example}" if example else "")
            )
        value = values[0].value
        for other in values[1:]:
            if other.value != value or isinstance(other.value, bool) != isinstance(value, bool):
                first = values[0].place
                return self._bad(
                    other.place, f"{path} is {_shown(other)} here and {_shown(values[0])} at {first}"
                )
        at = values[-1].place
        for kind in kinds:
            if not _is(kind, value):
                example = EXAMPLES.get(kind, kind)
                return self._bad(at, f"{path} is {_shown(values[-1])}; it is a {kind}, as in {example}")
        for bound in bounds:
            if not self._within(bound, value):
                return self._bad(
                    at, f"{path} is {_shown(values[-1])}; it must be {bound.compare}{_shown(bound.limit)}"
                )
        return value.value if isinstance(value, Quantity) else value

    def _within(self, bound: Bound, value: object) -> bool:
        limit = bound.limit.value
        if isinstance(value, Quantity) and isinstance(limit, Quantity):
            if value.kind != limit.kind:
                return False
            value, limit = value.value, limit.value
        numbers = isinstance(value, int | float) and isinstance(limit, int | float)
        if bound.compare == "!=":
            return value != limit
        return numbers and COMPARES[bound.compare](value, limit)

    def _bad(self, place: Place, text: str) -> Any:
        self.troubles.append(BadSettings(place, text))
        return _NOTHING


COMPARES: Mapping[str, Callable[[Any, Any], bool]] = {
    ">=": lambda a, b: a >= b,
    "<=": lambda a, b: a <= b,
    ">": lambda a, b: a > b,
    "<": lambda a, b: a < b,
}


class _Nothing:
    pass


_NOTHING = _Nothing()


def _is(kind: str, value: object) -> bool:
    if isinstance(value, Quantity):
        return value.kind == kind
    if isinstance(value, bool):
        return kind == "bool"
    if isinstance(value, int):
        return kind in ("int", "number")
    if isinstance(value, float):
        return kind == "number"
    if isinstance(value, str):
        return kind == "string"
    return kind == "null"


def _near(name: str, names: set[str]) -> str:
    found = difflib.get_close_matches(name, sorted(names), 1, 0.6)
    return f"; did you mean {found[0]!r}?" if found else ""


def _options(choice: Choice) -> str:
    told = [_shown(value) for _, value in choice.options]
    return " or ".join(told)


def _shown(value: object) -> str:
    """A value as one would write it."""
    if isinstance(value, Literal):
        inner = value.value
        if isinstance(inner, Quantity):
            unit = {"duration": "ms", "size": "B", "rate": "/s"}[inner.kind]
            return f"{inner.value:g}{unit}"
        if isinstance(inner, bool):
            return "true" if inner else "false"
        return f'"{inner}"' if isinstance(inner, str) else f"{inner:g}" if inner is not None else "null"
    if isinstance(value, Reference):
        return "a " + ".".join(value.path)
    if isinstance(value, Bound):
        return f"{value.compare}{_shown(value.limit)}"
    if isinstance(value, Both):
        return " & ".join(_shown(part) for part in value.parts)
    if isinstance(value, Struct):
        return "a record"
    if isinstance(value, List):
        return "a list"
    return "one of several"
