"""Loading, validation and comparison of configuration files."""

import collections
import collections.abc
import dataclasses
import pathlib
import re

import msgspec
import yaml

from egretfork import model
from egretfork import reasons
from egretfork import settings

MAX_BYTES = 4 * 1024 * 1024


class Document(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Content of a configuration file."""

    services: tuple[model.Service, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAdded:
    """A service that exists only in the newer configuration."""

    service: str
    addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRemoved:
    """A service that exists only in the older configuration."""

    service: str
    addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FieldChanged:
    """A field of a service whose value changed."""

    service: str
    field: str
    before: str
    after: str


Change = ServiceAdded | ServiceRemoved | FieldChanged


def load(path: pathlib.Path) -> Document | reasons.Failure:
    """Read and validate a configuration file.

    Returns:
        The document with services sorted by name, or a failure that names
        the file, what was expected and, if known, the line and the path of
        the field.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        return _build_failure("read file", path, error.strerror or str(error))
    if len(data) > MAX_BYTES:
        return _build_failure(
            "read file", path, f"more than {MAX_BYTES} bytes"
        )
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        return _build_failure("read file", path, f"not UTF-8 text: {error}")
    return parse(text, path)


def parse(text: str, path: pathlib.Path) -> Document | reasons.Failure:
    """Parse and validate the text of a configuration file."""
    content = settings.parse(text, Document, path)
    if isinstance(content, reasons.Failure):
        detail = content.detail + _format_line_number(text, content.detail)
        return msgspec.structs.replace(
            content, step="check file", detail=detail
        )
    problem = check_services(content.services)
    if problem:
        line = _format_line_number(text, problem)
        return _build_failure("check file", path, problem + line)
    return Document(services=sort_services(content.services))


def sort_services(
    services: tuple[model.Service, ...],
) -> tuple[model.Service, ...]:
    """Return services sorted by name."""
    return tuple(sorted(services, key=lambda service: service.name))


def check_services(services: tuple[model.Service, ...]) -> str:
    """Return the first error in a list of services, empty if valid."""
    return (
        _check_unique_names(services)
        or _check_addresses(services)
        or _check_duplicate_addresses(services)
    )


def _check_unique_names(services: tuple[model.Service, ...]) -> str:
    counts = collections.Counter(service.name for service in services)
    return next(
        (
            f"service name {service.name!r} is used twice, expected unique"
            f" names - at `$.services[{index}].name`"
            for index, service in enumerate(services)
            if counts[service.name] > 1
        ),
        "",
    )


def _check_addresses(services: tuple[model.Service, ...]) -> str:
    for index, service in enumerate(services):
        for position, address in enumerate(service.addresses):
            problem = _check_address(address)
            if problem:
                field_path = f"$.services[{index}].addresses[{position}]"
                return f"{problem} - at `{field_path}`"
    return ""


def _check_address(address: str) -> str:
    try:
        endpoint = model.parse_endpoint(address)
    except ValueError as error:
        return f"{error}, expected an IPv4 address and a port"
    if str(endpoint) != address:
        return f"{address!r} is not canonical, expected {str(endpoint)!r}"
    if endpoint.host == "0.0.0.0":  # nosec: compared, not bound
        return f"{address!r} is a wildcard, expected one address"
    return ""


def _check_duplicate_addresses(services: tuple[model.Service, ...]) -> str:
    owners: dict[str, str] = {}
    for index, service in enumerate(services):
        for position, address in enumerate(service.addresses):
            owner = owners.setdefault(address, service.name)
            field_path = f"$.services[{index}].addresses[{position}]"
            if owner != service.name:
                return (
                    f"address {address} is already used by service"
                    f" {owner!r}, expected an unused one - at `{field_path}`"
                )
        if len(set(service.addresses)) < len(service.addresses):
            return (
                f"service {service.name!r} lists an address twice, expected"
                f" unique addresses - at `$.services[{index}].addresses`"
            )
    return ""


def _build_failure(
    step: str, path: pathlib.Path, detail: str
) -> reasons.Failure:
    return reasons.Failure(
        step=step, peer=str(path), reason="invalid", detail=detail
    )


def _format_line_number(text: str, detail: str) -> str:
    """Return the line number of the field path in a message, if any."""
    path_match = re.search(r"`\$([^`]*)`", detail)
    if path_match is None:
        return ""
    node = yaml.compose(text, Loader=yaml.SafeLoader)
    for key, index in re.findall(r"\.(\w+)|\[(\d+)\]", path_match.group(1)):
        node = _get_child_node(node, key, index) or node
    return f", line {node.start_mark.line + 1}" if node else ""


def _get_child_node(
    node: yaml.Node | None, key: str, index: str
) -> yaml.Node | None:
    if isinstance(node, yaml.MappingNode):
        return next(
            (value for name, value in node.value if name.value == key), None
        )
    if isinstance(node, yaml.SequenceNode) and index:
        items: list[yaml.Node] = node.value
        return items[int(index)] if int(index) < len(items) else None
    return None


def compare(
    before: tuple[model.Service, ...], after: tuple[model.Service, ...]
) -> tuple[Change, ...]:
    """Return the changes from one list of services to another."""
    old = {service.name: service for service in before}
    new = {service.name: service for service in after}
    removed = (
        ServiceRemoved(name, old[name].addresses)
        for name in sorted(old.keys() - new.keys())
    )
    added = (
        ServiceAdded(name, new[name].addresses)
        for name in sorted(new.keys() - old.keys())
    )
    changed = (
        change
        for name in sorted(old.keys() & new.keys())
        for change in _compare_fields(old[name], new[name])
    )
    return (*removed, *added, *changed)


def _compare_fields(
    before: model.Service, after: model.Service
) -> collections.abc.Iterator[FieldChanged]:
    for field in before.__struct_fields__:
        old, new = getattr(before, field), getattr(after, field)
        if old != new:
            yield FieldChanged(
                before.name, field, _format_value(old), _format_value(new)
            )


def _format_value(value: object) -> str:
    return msgspec.json.encode(value).decode()


def describe(change: Change) -> str:
    """Return a one-line description of a change."""
    match change:
        case ServiceAdded():
            return f"+ {change.service} ({', '.join(change.addresses)})"
        case ServiceRemoved():
            return f"- {change.service} ({', '.join(change.addresses)})"
        case FieldChanged():
            return (
                f"~ {change.service}.{change.field}:"
                f" {change.before} -> {change.after}"
            )
