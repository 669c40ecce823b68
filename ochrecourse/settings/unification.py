"""Unifies all statements about each field: types, bounds, defaults, choices and values, as CUE does.

The schema and the file are two statements about the same record and are merged field by field. A field with a
type or a bound but no value is missing, a field that the schema does not define is unknown, and two different
values are a conflict. Each message has the location of the error, and suggests a similar valid name if there
is one.
"""

from __future__ import annotations

import difflib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from ochrecourse.settings.syntax import (
    InvalidSettingError,
    Conjunction,
    Constraint,
    Disjunction,
    Field,
    List,
    Literal,
    SourceLocation,
    Quantity,
    Reference,
    Struct,
    Value,
)

TYPES = ("string", "bool", "int", "number", "duration", "size", "rate", "null")
UNIT_OF_KIND = {"duration": "ms", "size": "B", "rate": "/s"}
MAX_DEPTH = 64  # of nested structures; deeper nesting is taken for a record that contains itself
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
class Statement:
    """A statement about a field, and the scopes in which its names are looked up."""

    value: Value
    scopes: tuple[Struct, ...]


class Resolver:
    """Resolves a schema and a file to plain values. Collects all errors, one message each."""

    def __init__(self, schema: Struct) -> None:
        self.schema = schema
        self.errors: list[InvalidSettingError] = []
        self.locations: dict[str, SourceLocation] = {}  # of the values in the file, by path

    def resolve(self, file: Struct) -> dict[str, Any]:
        """Resolves the whole record. Errors are then in `errors`, in order of location."""
        resolved = self._resolve_struct(
            [Statement(self.schema, (self.schema,)), Statement(file, (self.schema, file))],
            "",
            file.location,
            0,
        )
        self.errors.sort(key=lambda each: (each.location.file, each.location.line, each.location.column))
        return resolved

    # --- structures ---

    def _resolve_struct(
        self, statements: list[Statement], path: str, location: SourceLocation, depth: int
    ) -> dict[str, Any]:
        by_label, known = self._fields_by_label(statements)
        resolved: dict[str, Any] = {}
        for label, parts in by_label.items():
            if label.startswith("#"):
                continue
            where = f"{path}.{label}" if path else label
            given = [field for field, _ in parts if not self._from_schema(field)]
            if known is not None and label not in known:
                self._report(given[0].location, f"there is no field {where!r}{_suggestion(label, known)}")
                continue
            if all(field.optional for field, _ in parts) and not given:
                continue
            at = location
            if given:
                at = given[-1].value.location
                self.locations[where] = at
            value = self._resolve_value([inner for _, inner in parts], where, at, depth + 1)
            if value is not _NO_VALUE:
                resolved[label] = value
        return resolved

    def _fields_by_label(
        self, statements: list[Statement]
    ) -> tuple[dict[str, list[tuple[Field, Statement]]], set[str] | None]:
        """Groups statements by field; also returns the labels that the schema defines, None if it defines
        none.
        """
        by_label: dict[str, list[tuple[Field, Statement]]] = {}
        known: set[str] | None = None
        for number, statement in enumerate(statements):
            struct = statement.value
            assert isinstance(struct, Struct)
            if number == 0 and self._from_schema(struct):
                known = {field.label for field in struct.fields}
            for field in struct.fields:
                inner = Statement(field.value, (*statement.scopes, struct))
                by_label.setdefault(field.label, []).append((field, inner))
        return by_label, known

    def _from_schema(self, node: Struct | Field) -> bool:
        return node.location.file == self.schema.location.file

    # --- one field ---

    def _resolve_value(
        self, statements: list[Statement], path: str, location: SourceLocation, depth: int
    ) -> Any:
        """Unifies all statements about a field; returns `_NO_VALUE` after reporting an error."""
        if depth > MAX_DEPTH:
            return self._report(location, f"{path} contains itself")
        try:
            flat = [one for each in statements for one in self._flatten(each, depth)]
        except InvalidSettingError as error:
            self.errors.append(error)
            return _NO_VALUE
        choices = [each for each in flat if isinstance(each.value, Disjunction)]
        others = [each for each in flat if not isinstance(each.value, Disjunction)]
        if choices:
            return self._choose(choices, _records_and_lists_first(others), path, location, depth)
        return self._resolve_plain(others, path, location, depth)

    def _resolve_plain(
        self, statements: list[Statement], path: str, location: SourceLocation, depth: int
    ) -> Any:
        """Resolves statements without choices: all records, all lists or all scalars."""
        structs = [each for each in statements if isinstance(each.value, Struct)]
        lists = [each for each in statements if isinstance(each.value, List)]
        scalars = [each for each in statements if not isinstance(each.value, Struct | List)]
        if structs and (lists or scalars):
            other = _as_written((lists + scalars)[0].value)
            return self._report(location, f"{path} is a record; {other} is not")
        if structs:
            return self._resolve_struct(structs, path, location, depth)
        if lists and scalars:
            return self._report(location, f"{path} is a list; {_as_written(scalars[0].value)} is not")
        if lists:
            return self._resolve_list(lists, path, location, depth)
        return self._resolve_scalar(scalars, path, location)

    def _flatten(self, statement: Statement, depth: int) -> list[Statement]:
        """Expands a statement's references and conjunctions. Raises InvalidSettingError."""
        value = statement.value
        if isinstance(value, Conjunction):
            inner = [Statement(each, statement.scopes) for each in value.parts]
            return [flat for each in inner for flat in self._flatten(each, depth)]
        if not isinstance(value, Reference):
            return [statement]
        if len(value.path) == 1 and value.path[0] in TYPES:
            return [statement]
        if depth > MAX_DEPTH:
            raise InvalidSettingError(value.location, f"{'.'.join(value.path)} refers to itself")
        found = self._look_up(value, statement.scopes)
        return self._flatten(found, depth + 1)

    def _look_up(self, reference: Reference, scopes: tuple[Struct, ...]) -> Statement:
        first, *further = reference.path
        for i in range(len(scopes) - 1, -1, -1):
            for field in scopes[i].fields:
                if field.label == first and field.value is not reference:
                    found = Statement(field.value, scopes[: i + 1])
                    return self._follow(found, further, reference)
        names = {field.label for scope in scopes for field in scope.fields} | set(TYPES)
        raise InvalidSettingError(
            reference.location, f"nothing is named {first!r}{_suggestion(first, names)}"
        )

    def _follow(self, found: Statement, further: list[str], reference: Reference) -> Statement:
        for name in further:
            value = found.value
            if not isinstance(value, Struct):
                raise InvalidSettingError(
                    reference.location,
                    f"{'.'.join(reference.path)}: there is no record to look {name!r} up in",
                )
            fields = {field.label: field for field in value.fields}
            if name not in fields:
                raise InvalidSettingError(
                    reference.location,
                    f"{'.'.join(reference.path)}: no field {name!r}{_suggestion(name, set(fields))}",
                )
            found = Statement(fields[name].value, (*found.scopes, value))
        return found

    # --- choices ---

    def _choose(
        self,
        choices: list[Statement],
        others: list[Statement],
        path: str,
        location: SourceLocation,
        depth: int,
    ) -> Any:
        """Resolves to the first option that fits the other statements, or to the default if
        there are none.
        """
        choice, *more = choices
        assert isinstance(choice.value, Disjunction)
        options = [
            (is_default, Statement(value, choice.scopes)) for is_default, value in choice.value.options
        ]
        statements = more + others
        if not statements:
            defaults = [option for is_default, option in options if is_default]
            if len(defaults) == 1:
                return self._resolve_value(defaults, path, location, depth + 1)
            text = f"{path} is missing; it is one of {_options_as_written(choice.value)}"
            return self._report(location, text)
        errors: list[InvalidSettingError] = []
        for _, option in options:
            attempt = Resolver(self.schema)
            value = attempt._resolve_value([option, *statements], path, location, depth + 1)
            if not attempt.errors and value is not _NO_VALUE:
                self.locations.update(attempt.locations)
                return value
            errors = attempt.errors
        simple = all(isinstance(option.value, Literal) for _, option in options)
        if simple or not errors:
            return self._report(location, _no_option_fits(path, choice.value, statements))
        self.errors.extend(errors)  # those of the last option, which is the most general one
        return _NO_VALUE

    # --- lists ---

    def _resolve_list(self, lists: list[Statement], path: str, location: SourceLocation, depth: int) -> Any:
        length = max(len(each.value.items) for each in lists if isinstance(each.value, List))
        items = []
        for i in range(length):
            statements = []
            at = location
            for each in lists:
                value = each.value
                assert isinstance(value, List)
                if i < len(value.items):
                    statements.append(Statement(value.items[i], each.scopes))
                    if value.location.file != self.schema.location.file:
                        at = value.items[i].location
                elif value.rest is not None:
                    statements.append(Statement(value.rest, each.scopes))
                else:
                    return self._report(
                        location, f"{path} has {length} items; it may have {len(value.items)}"
                    )
            items.append(self._resolve_value(statements, f"{path}[{i}]", at, depth + 1))
        return items

    # --- plain values ---

    def _resolve_scalar(self, statements: list[Statement], path: str, location: SourceLocation) -> Any:
        values = [each.value for each in statements if isinstance(each.value, Literal)]
        kinds = [each.value.path[0] for each in statements if isinstance(each.value, Reference)]
        bounds = [each.value for each in statements if isinstance(each.value, Constraint)]
        if not values:
            kind = kinds[0] if kinds else "value"
            example = EXAMPLES.get(kind)
            return self._report(
                location, f"{path} is missing; it is a {kind}" + (f", as in {example}" if example else "")
            )
        value = values[0].value
        for other in values[1:]:
            if other.value != value or isinstance(other.value, bool) != isinstance(value, bool):
                first = f"{_as_written(values[0])} at {values[0].location}"
                return self._report(other.location, f"{path} is {_as_written(other)} here and {first}")
        problem = self._scalar_problem(value, kinds, bounds)
        if problem:
            return self._report(values[-1].location, f"{path} is {_as_written(values[-1])}; {problem}")
        return value.value if isinstance(value, Quantity) else value

    def _scalar_problem(self, value: object, kinds: list[str], bounds: list[Constraint]) -> str:
        """Describes the first type or bound that a value violates; empty if there is none."""
        for kind in kinds:
            if not _is_of_kind(kind, value):
                return f"it is a {kind}, as in {EXAMPLES.get(kind, kind)}"
        for bound in bounds:
            if not self._within(bound, value):
                return f"it must be {bound.compare}{_as_written(bound.limit)}"
        return ""

    def _within(self, bound: Constraint, value: object) -> bool:
        limit = bound.limit.value
        if isinstance(value, Quantity) and isinstance(limit, Quantity):
            if value.kind != limit.kind:
                return False
            value, limit = value.value, limit.value
        numbers = isinstance(value, int | float) and isinstance(limit, int | float)
        if bound.compare == "!=":
            return value != limit
        return numbers and COMPARISONS[bound.compare](value, limit)

    def _report(self, location: SourceLocation, text: str) -> Any:
        self.errors.append(InvalidSettingError(location, text))
        return _NO_VALUE


COMPARISONS: Mapping[str, Callable[[Any, Any], bool]] = {
    ">=": lambda a, b: a >= b,
    "<=": lambda a, b: a <= b,
    ">": lambda a, b: a > b,
    "<": lambda a, b: a < b,
}


class _NoValue:
    """Placeholder for a value that could not be resolved."""


_NO_VALUE = _NoValue()


def _is_of_kind(kind: str, value: object) -> bool:
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


def _suggestion(name: str, names: set[str]) -> str:
    found = difflib.get_close_matches(name, sorted(names), 1, 0.6)
    return f"; did you mean {found[0]!r}?" if found else ""


def _records_and_lists_first(statements: list[Statement]) -> list[Statement]:
    structs = [each for each in statements if isinstance(each.value, Struct)]
    lists = [each for each in statements if isinstance(each.value, List)]
    scalars = [each for each in statements if not isinstance(each.value, Struct | List)]
    return structs + lists + scalars


def _no_option_fits(path: str, choice: Disjunction, statements: list[Statement]) -> str:
    given = next((each.value for each in statements if isinstance(each.value, Literal)), None)
    if given is None:
        return f"{path} is none of these; it may be {_options_as_written(choice)}"
    names = {str(value.value) for _, value in choice.options if isinstance(value, Literal)}
    suggestion = _suggestion(str(given.value), names)
    return f"{path} is {_as_written(given)}; it may be {_options_as_written(choice)}{suggestion}"


def _options_as_written(choice: Disjunction) -> str:
    return " or ".join(_as_written(value) for _, value in choice.options)


def _as_written(value: object) -> str:
    """Formats a value as in a settings file."""
    if isinstance(value, Literal):
        return _literal_as_written(value.value)
    if isinstance(value, Reference):
        return "a " + ".".join(value.path)
    if isinstance(value, Constraint):
        return f"{value.compare}{_as_written(value.limit)}"
    if isinstance(value, Conjunction):
        return " & ".join(_as_written(each) for each in value.parts)
    if isinstance(value, Struct):
        return "a record"
    if isinstance(value, List):
        return "a list"
    return "one of several"


def _literal_as_written(value: float | int | str | bool | Quantity | None) -> str:
    if value is None:
        return "null"
    if isinstance(value, Quantity):
        return f"{value.value:g}{UNIT_OF_KIND[value.kind]}"
    if isinstance(value, bool):
        return "true" if value else "false"
    return f'"{value}"' if isinstance(value, str) else f"{value:g}"
