"""The text of settings as a tree: CUE-like records, parsed by lark with the grammar beside this file."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from functools import lru_cache
from importlib.resources import files

from lark import Lark, Token, Transformer, Tree, v_args
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken


@dataclass(frozen=True)
class Place:
    """Where something stands."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class BadSettings(Exception):
    """What is wrong with settings, and where."""

    def __init__(self, place: Place, text: str) -> None:
        super().__init__(f"{place}: {text}")
        self.place = place
        self.text = text


@dataclass(frozen=True)
class Quantity:
    """A number with a unit, in the unit of its kind: ms for a duration, bytes for a size, a second for a
    rate.
    """

    kind: str
    value: float


@dataclass(frozen=True)
class Literal:
    place: Place
    value: float | int | str | bool | Quantity | None


@dataclass(frozen=True)
class Bound:
    place: Place
    compare: str
    limit: Literal


@dataclass(frozen=True)
class Reference:
    place: Place
    path: tuple[str, ...]


@dataclass(frozen=True)
class Struct:
    place: Place
    fields: tuple[Field, ...]


@dataclass(frozen=True)
class List:
    place: Place
    items: tuple[Value, ...]
    rest: Value | None


@dataclass(frozen=True)
class Both:
    place: Place
    parts: tuple[Value, ...]


@dataclass(frozen=True)
class Choice:
    place: Place
    options: tuple[tuple[bool, Value], ...]  # is it the default, and what


Value = Literal | Bound | Reference | Struct | List | Both | Choice


@dataclass(frozen=True)
class Field:
    place: Place
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


class _Tree(Transformer[Token, Value]):
    """Lark's tree to ours."""

    def __init__(self, file: str) -> None:
        super().__init__()
        self.file = file

    def at(self, meta: object) -> Place:
        return Place(self.file, getattr(meta, "line", 1), getattr(meta, "column", 1))

    @v_args(meta=True)
    def start(self, meta: object, fields: list[Field]) -> Struct:
        return Struct(self.at(meta), tuple(fields))

    @v_args(meta=True)
    def struct(self, meta: object, fields: list[Field]) -> Struct:
        return Struct(self.at(meta), tuple(fields))

    @v_args(meta=True)
    def field(self, meta: object, parts: list[object]) -> Field:
        label, value = parts[0], parts[-1]
        return Field(self.at(meta), str(label), len(parts) == 3, value)  # type: ignore[arg-type]

    @v_args(meta=True)
    def nested(self, meta: object, fields: list[Field]) -> Struct:
        return Struct(self.at(meta), tuple(fields))

    def label(self, parts: list[Token]) -> str:
        return json.loads(parts[0]) if parts[0].type == "STRING" else str(parts[0])

    @v_args(meta=True)
    def disjunction(self, meta: object, parts: list[tuple[bool, Value]]) -> Value:
        if len(parts) == 1 and not parts[0][0]:
            return parts[0][1]
        return Choice(self.at(meta), tuple(parts))

    def alternative(self, parts: list[object]) -> tuple[bool, Value]:
        return len(parts) == 2, parts[-1]  # type: ignore[return-value]

    @v_args(meta=True)
    def conjunction(self, meta: object, parts: list[Value]) -> Value:
        return parts[0] if len(parts) == 1 else Both(self.at(meta), tuple(parts))

    @v_args(meta=True)
    def sequence(self, meta: object, parts: list[tuple[bool, Value]]) -> List:
        rest = [value for is_rest, value in parts if is_rest]
        if len(rest) > 1 or (rest and not parts[-1][0]):
            raise BadSettings(self.at(meta), "'...' may stand once in a list, at its end")
        return List(
            self.at(meta), tuple(value for is_rest, value in parts if not is_rest), rest[0] if rest else None
        )

    def item(self, parts: list[Value]) -> tuple[bool, Value]:
        return False, parts[0]

    def rest(self, parts: list[object]) -> tuple[bool, Value]:
        return True, parts[-1]  # type: ignore[return-value]

    @v_args(meta=True)
    def bound(self, meta: object, parts: list[object]) -> Bound:
        return Bound(self.at(meta), str(parts[0]), parts[1])  # type: ignore[arg-type]

    @v_args(meta=True)
    def quantity(self, meta: object, parts: list[Token]) -> Literal:
        text = str(parts[0]).replace("_", "")
        unit = text.lstrip("-0123456789.")
        kind, factor = UNITS[unit]
        value = float(text[: len(text) - len(unit)]) * factor
        if kind == "share":
            return Literal(self.at(meta), round(value, 12))
        return Literal(self.at(meta), Quantity(kind, round(value, 9)))

    @v_args(meta=True)
    def number(self, meta: object, parts: list[Token]) -> Literal:
        text = str(parts[0]).replace("_", "")
        whole = text.lstrip("-").isdigit()
        return Literal(self.at(meta), int(text) if whole else float(text))

    @v_args(meta=True)
    def string(self, meta: object, parts: list[Token]) -> Literal:
        return Literal(self.at(meta), json.loads(str(parts[0])))

    @v_args(meta=True)
    def boolean(self, meta: object, parts: list[Token]) -> Literal:
        return Literal(self.at(meta), str(parts[0]) == "true")

    @v_args(meta=True)
    def null(self, meta: object, parts: list[Token]) -> Literal:
        return Literal(self.at(meta), None)

    @v_args(meta=True)
    def reference(self, meta: object, parts: list[Token]) -> Reference:
        return Reference(self.at(meta), tuple(str(part) for part in parts))


@lru_cache(maxsize=1)
def _parser() -> Lark:
    text = (files("ochrecourse.settings") / "grammar.lark").read_text()
    return Lark(text, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def parse(text: str, file: str) -> Struct:
    """The tree of one file. Raises BadSettings with the place and what was expected there."""
    try:
        tree: Tree[Token] = _parser().parse(text)
    except UnexpectedInput as trouble:
        raise _told(trouble, text, file) from None
    try:
        made = _Tree(file).transform(tree)
    except Exception as trouble:
        cause = getattr(trouble, "orig_exc", trouble)
        if isinstance(cause, BadSettings):
            raise cause from None
        raise
    assert isinstance(made, Struct)
    return made


def _told(trouble: UnexpectedInput, text: str, file: str) -> BadSettings:
    lines = text.split("\n")
    place = Place(file, max(1, trouble.line), max(1, trouble.column))
    if isinstance(trouble, UnexpectedToken) and trouble.token.type == "$END":
        opened = text.count("{") - text.count("}")
        place = Place(file, len(lines), len(lines[-1]) + 1)
        if opened > 0:
            return BadSettings(place, f"the file ends with {opened} '{{' not closed")
        return BadSettings(place, "the file ends in the middle of a field")
    line = lines[place.line - 1] if place.line <= len(lines) else ""
    here = line[place.column - 1 :].split(" ")[0][:20]
    if isinstance(trouble, UnexpectedCharacters) and here[:1] in "0123456789-":
        return BadSettings(place, f"{here!r} is not a number with a unit that is known: {', '.join(UNITS)}")
    if here.startswith('"'):
        return BadSettings(place, "a text that is not closed on its line, or holds an unknown escape")
    if not here:
        return BadSettings(place, "the line ends where a value was expected")
    if isinstance(trouble, UnexpectedToken) and ":" in trouble.expected | {""} and "=" in line:
        return BadSettings(place, f"{here!r} where ':' was expected; a field is NAME: VALUE")
    return BadSettings(place, f"{here!r} was not expected here; a field is NAME: VALUE")
