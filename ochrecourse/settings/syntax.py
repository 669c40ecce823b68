"""Parses the text of settings, CUE-like records, into a syntax tree. The grammar is in grammar.lark."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from functools import lru_cache
from importlib.resources import files

from lark import Lark, Token, Transformer, Tree, v_args
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken

from ochrecourse.common.errors import OchrecourseError


@dataclass(frozen=True)
class SourceLocation:
    """A position in a file; lines and columns count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class InvalidSettingError(OchrecourseError):
    """An error in a settings file, with its location."""

    def __init__(self, location: SourceLocation, text: str) -> None:
        super().__init__(f"{location}: {text}")
        self.location = location
        self.text = text


@dataclass(frozen=True)
class Quantity:
    """A number with a unit, converted to the base unit of its kind: ms for durations, bytes for sizes, per
    second for rates.
    """

    kind: str
    value: float


@dataclass(frozen=True)
class Literal:
    """A literal value."""

    location: SourceLocation
    value: float | int | str | bool | Quantity | None


@dataclass(frozen=True)
class Constraint:
    """A bound on a value, such as `>=3`; `compare` is its operator."""

    location: SourceLocation
    compare: str
    limit: Literal


@dataclass(frozen=True)
class Reference:
    """The name of a type, or a path to another field."""

    location: SourceLocation
    path: tuple[str, ...]


@dataclass(frozen=True)
class Struct:
    """A record in braces."""

    location: SourceLocation
    fields: tuple[Field, ...]


@dataclass(frozen=True)
class List:
    """A list; `rest` constrains further items, None if there must not be any."""

    location: SourceLocation
    items: tuple[Value, ...]
    rest: Value | None


@dataclass(frozen=True)
class Conjunction:
    """Values joined by `&`, which must all hold."""

    location: SourceLocation
    parts: tuple[Value, ...]


@dataclass(frozen=True)
class Disjunction:
    """Options joined by `|`."""

    location: SourceLocation
    options: tuple[tuple[bool, Value], ...]  # (is the default, option)


Value = Literal | Constraint | Reference | Struct | List | Conjunction | Disjunction


@dataclass(frozen=True)
class Field:
    """A field of a record; `optional`: it may be omitted."""

    location: SourceLocation
    label: str
    optional: bool
    value: Value = field(compare=False)


UNITS = {
    "ns": ("duration", 1e-6), "us": ("duration", 1e-3), "ms": ("duration", 1.0), "s": ("duration", 1e3),
    "min": ("duration", 6e4), "h": ("duration", 3.6e6),
    "B": ("size", 1.0), "kB": ("size", 1e3), "MB": ("size", 1e6), "GB": ("size", 1e9),
    "KiB": ("size", 1024.0), "MiB": ("size", 1024.0**2), "GiB": ("size", 1024.0**3),
    "/s": ("rate", 1.0), "/min": ("rate", 1 / 60),
    "%": ("share", 0.01),
}  # fmt: skip


class _TreeBuilder(Transformer[Token, Value]):
    """Converts lark's tree to the classes above; has a method for each rule of the grammar."""

    def __init__(self, file: str) -> None:
        super().__init__()
        self.file = file

    def location(self, meta: object) -> SourceLocation:
        return SourceLocation(self.file, getattr(meta, "line", 1), getattr(meta, "column", 1))

    @v_args(meta=True)
    def start(self, meta: object, fields: list[Field]) -> Struct:
        return Struct(self.location(meta), tuple(fields))

    @v_args(meta=True)
    def struct(self, meta: object, fields: list[Field]) -> Struct:
        return Struct(self.location(meta), tuple(fields))

    @v_args(meta=True)
    def field(self, meta: object, parts: list[object]) -> Field:
        label, value = parts[0], parts[-1]
        return Field(self.location(meta), str(label), len(parts) == 3, value)  # type: ignore[arg-type]

    @v_args(meta=True)
    def nested(self, meta: object, fields: list[Field]) -> Struct:
        return Struct(self.location(meta), tuple(fields))

    def label(self, parts: list[Token]) -> str:
        return json.loads(parts[0]) if parts[0].type == "STRING" else str(parts[0])

    @v_args(meta=True)
    def disjunction(self, meta: object, parts: list[tuple[bool, Value]]) -> Value:
        if len(parts) == 1 and not parts[0][0]:
            return parts[0][1]
        return Disjunction(self.location(meta), tuple(parts))

    def alternative(self, parts: list[object]) -> tuple[bool, Value]:
        return len(parts) == 2, parts[-1]  # type: ignore[return-value]

    @v_args(meta=True)
    def conjunction(self, meta: object, parts: list[Value]) -> Value:
        return parts[0] if len(parts) == 1 else Conjunction(self.location(meta), tuple(parts))

    @v_args(meta=True)
    def sequence(self, meta: object, parts: list[tuple[bool, Value]]) -> List:
        rest = [value for is_rest, value in parts if is_rest]
        if len(rest) > 1 or (rest and not parts[-1][0]):
            raise InvalidSettingError(self.location(meta), "'...' may stand once in a list, at its end")
        return List(
            self.location(meta),
            tuple(value for is_rest, value in parts if not is_rest),
            rest[0] if rest else None,
        )

    def item(self, parts: list[Value]) -> tuple[bool, Value]:
        return False, parts[0]

    def rest(self, parts: list[object]) -> tuple[bool, Value]:
        return True, parts[-1]  # type: ignore[return-value]

    @v_args(meta=True)
    def bound(self, meta: object, parts: list[object]) -> Constraint:
        return Constraint(self.location(meta), str(parts[0]), parts[1])  # type: ignore[arg-type]

    @v_args(meta=True)
    def quantity(self, meta: object, parts: list[Token]) -> Literal:
        text = str(parts[0]).replace("_", "")
        unit = text.lstrip("-0123456789.")
        kind, factor = UNITS[unit]
        value = float(text[: len(text) - len(unit)]) * factor
        if kind == "share":
            return Literal(self.location(meta), round(value, 12))
        return Literal(self.location(meta), Quantity(kind, round(value, 9)))

    @v_args(meta=True)
    def number(self, meta: object, parts: list[Token]) -> Literal:
        text = str(parts[0]).replace("_", "")
        whole = text.lstrip("-").isdigit()
        return Literal(self.location(meta), int(text) if whole else float(text))

    @v_args(meta=True)
    def string(self, meta: object, parts: list[Token]) -> Literal:
        return Literal(self.location(meta), json.loads(str(parts[0])))

    @v_args(meta=True)
    def boolean(self, meta: object, parts: list[Token]) -> Literal:
        return Literal(self.location(meta), str(parts[0]) == "true")

    @v_args(meta=True)
    def null(self, meta: object, parts: list[Token]) -> Literal:
        return Literal(self.location(meta), None)

    @v_args(meta=True)
    def reference(self, meta: object, parts: list[Token]) -> Reference:
        return Reference(self.location(meta), tuple(str(token) for token in parts))


@lru_cache(maxsize=1)
def _parser() -> Lark:
    text = (files("ochrecourse.settings") / "grammar.lark").read_text()
    return Lark(text, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def parse(text: str, file: str) -> Struct:
    """Parses a file's text. Raises InvalidSettingError with the location and what was expected there."""
    try:
        tree: Tree[Token] = _parser().parse(text)
    except UnexpectedInput as error:
        raise _syntax_error(error, text, file) from None
    try:
        made = _TreeBuilder(file).transform(tree)
    except Exception as error:
        cause = getattr(error, "orig_exc", error)
        if isinstance(cause, InvalidSettingError):
            raise cause from None
        raise
    assert isinstance(made, Struct)
    return made


def _syntax_error(error: UnexpectedInput, text: str, file: str) -> InvalidSettingError:
    lines = text.split("\n")
    location = SourceLocation(file, max(1, error.line), max(1, error.column))
    if isinstance(error, UnexpectedToken) and error.token.type == "$END":
        opened = text.count("{") - text.count("}")
        location = SourceLocation(file, len(lines), len(lines[-1]) + 1)
        if opened > 0:
            return InvalidSettingError(location, f"the file ends with {opened} '{{' not closed")
        return InvalidSettingError(location, "the file ends in the middle of a field")
    line = lines[location.line - 1] if location.line <= len(lines) else ""
    here = line[location.column - 1 :].split(" ")[0][:20]
    if isinstance(error, UnexpectedCharacters) and here[:1] in "0123456789-":
        return InvalidSettingError(
            location, f"{here!r} is not a number with a unit that is known: {', '.join(UNITS)}"
        )
    if here.startswith('"'):
        return InvalidSettingError(
            location, "a text that is not closed on its line, or holds an unknown escape"
        )
    if not here:
        return InvalidSettingError(location, "the line ends where a value was expected")
    if isinstance(error, UnexpectedToken) and ":" in error.expected | {""} and "=" in line:
        return InvalidSettingError(location, f"{here!r} where ':' was expected; a field is NAME: VALUE")
    return InvalidSettingError(location, f"{here!r} was not expected here; a field is NAME: VALUE")
