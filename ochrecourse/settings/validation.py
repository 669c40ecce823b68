"""Validates constraints between fields of a resolved record, beyond the types and bounds of the schema."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from ochrecourse.settings.addresses import parse_address
from ochrecourse.settings.bgp_validation import bgp_problems
from ochrecourse.settings.fleet_validation import fleet_problems
from ochrecourse.settings.problems import Problem
from ochrecourse.settings.syntax import InvalidSettingError, SourceLocation


def cross_field_errors(
    record: Mapping[str, Any], locations: Mapping[str, SourceLocation], start: SourceLocation
) -> list[InvalidSettingError]:
    """Returns the problems of a record whose fields are individually valid.

    `locations`: of each value in the file, by path. A problem with a value that the file omits is reported at
    the section that contains it, or at `start`.
    """
    errors = _located(_request_class_and_tenant_problems(record), locations, start)
    errors += _located(_webdav_problems(record), locations, start)
    errors += _located(fleet_problems(record), locations, locations.get("fleet", start))
    errors += _site_errors(record, locations, start)
    errors += _located(bgp_problems(record), locations, start)
    errors += _located(_endpoint_source_problems(record), locations, start)
    return errors


def _located(
    problems: Iterable[Problem], locations: Mapping[str, SourceLocation], default: SourceLocation
) -> list[InvalidSettingError]:
    return [
        InvalidSettingError(locations.get(each.at or each.path, default), f"{each.path} {each.text}")
        for each in problems
    ]


def _request_class_and_tenant_problems(record: Mapping[str, Any]) -> Iterator[Problem]:
    for kind in ("products", "plans"):
        yield from _name_problems(kind, [each["name"] for each in record[kind]])
    travel = record["gateway"]["travel"]
    for i, request_class in enumerate(record["products"]):
        if request_class["promised"] > request_class["client_timeout"]:
            yield Problem(f"products[{i}].promised", "is longer than its client_timeout")
        if travel >= request_class["client_timeout"]:
            yield Problem("gateway.travel", f"leaves no time within products[{i}].client_timeout")
    # With this depth, each gateway's share of an evenly divided token bucket holds a largest request.
    least_burst = record["units"]["most"] * record["gateway"]["gateways"]
    for i, tenant in enumerate(record["plans"]):
        if tenant["limit"] and tenant["limit_burst"] < least_burst:
            text = f"must hold a largest job of every gateway: {least_burst:g} units"
            yield Problem(f"plans[{i}].limit_burst", text)


def _name_problems(kind: str, names: list[str]) -> Iterator[Problem]:
    """Checks that there is at least one request class (or tenant), and that names are unique."""
    if not names:
        yield Problem(kind, "is empty; a gateway needs at least one")
    for i, name in enumerate(names):
        if name in names[:i]:
            yield Problem(f"{kind}[{i}].name", f"is {name!r}, as is {kind}[{names.index(name)}].name")


def _webdav_problems(record: Mapping[str, Any]) -> Iterator[Problem]:
    """Checks that the tables of the WebDAV server refer to existing request classes and tenants."""
    if "webdav" not in record:
        return
    for table, field, kind in (("products", "product", "products"), ("volumes", "plan", "plans")):
        known = [each["name"] for each in record[kind]]
        for i, rule in enumerate(record["webdav"][table]):
            if rule[field] not in known:
                text = f"is {rule[field]!r}; it may be {' or '.join(map(repr, known))}"
                yield Problem(f"webdav.{table}[{i}].{field}", text)
    if parse_address(record["webdav"]["listen"]) is None:
        yield Problem("webdav.listen", "is no HOST:PORT")


def _endpoint_source_problems(record: Mapping[str, Any]) -> Iterator[Problem]:
    """Checks that exactly one source of endpoints, a list server or a registry, is set, and all addresses."""
    if record["gateway"]["number"] >= record["gateway"]["gateways"]:
        yield Problem("gateway.number", "counts from 0 to gateways - 1")
    has_registry = "registry" in record
    servers = record["registry"]["servers"] if has_registry else []
    list_address = record["list"]["address"]
    if has_registry and not servers:
        yield Problem("registry.servers", "names none", at="registry")
    if servers and list_address:
        yield Problem("list.address and registry", "both tell of nodes; one of them must", at="registry")
    addresses = [("gateway.listen", record["gateway"]["listen"])]
    if not has_registry:
        addresses.append(("list.address", list_address))
    addresses += [(f"registry.servers[{i}]", each) for i, each in enumerate(servers)]
    for path, text in addresses:
        if parse_address(text) is None:
            yield Problem(path, f"is {text!r}; an address is HOST:PORT")


def _site_errors(
    record: Mapping[str, Any], locations: Mapping[str, SourceLocation], start: SourceLocation
) -> list[InvalidSettingError]:
    if not record.get("sites") and not {"copies", "purges"} & record.get("fleet", {}).keys():
        return []
    # Imported late: the libraries of time zones and holidays are needed only for sites.
    from ochrecourse.settings.site_validation import site_problems

    return [
        InvalidSettingError(_nearest(each.path, locations, start), f"{each.path} {each.text}")
        for each in site_problems(record)
    ]


def _nearest(path: str, locations: Mapping[str, SourceLocation], start: SourceLocation) -> SourceLocation:
    """Returns the location of a field, else of the section that contains it, else of the first field inside
    it.
    """
    inside = [location for name, location in locations.items() if name.startswith(f"{path}.")]
    at = path
    while at not in locations and at and not inside:
        at = at.rpartition(".")[0] if "." in at else at.partition("[")[0] if "[" in at else ""
    first = min(inside, key=lambda location: (location.line, location.column), default=start)
    return locations.get(at, first)
