"""YAML settings of the programs, checked as a whole before use."""

import ipaddress
import pathlib
import typing

import msgspec
import yaml

from egretfork import model
from egretfork import reasons

SettingsType = typing.TypeVar("SettingsType", bound=msgspec.Struct)

Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]
Name = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$")
]


class Settings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings that all daemons share.

    Attributes:
        name: unique name of the process, at most 63 characters.
        availability_zone: where the VM is.
        host: IPv4 address of the process towards other processes.
        metrics_port: TCP port of the metrics page on ``host``.
        log_level: lowest level that is written.
    """

    name: Name
    availability_zone: Name
    host: str
    metrics_port: Port = 0
    log_level: typing.Literal["debug", "info", "warning", "error"] = "info"


def load(
    path: pathlib.Path, kind: type[SettingsType]
) -> SettingsType | reasons.Failure:
    """Read a settings file and check all of it.

    Returns:
        The settings, or a failure that names the file, the line or the
        path of the field, and what was expected.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return _fail("read settings", path, str(error))
    return parse(text, kind, path)


def parse(
    text: str, kind: type[SettingsType], path: pathlib.Path
) -> SettingsType | reasons.Failure:
    """Check the text of a settings file."""
    try:
        content = yaml.load(text, Loader=UniqueKeyLoader)
    except yaml.YAMLError as error:
        return _fail("parse settings", path, " ".join(str(error).split()))
    try:
        return msgspec.convert(content, kind, strict=True)
    except (msgspec.ValidationError, ValueError) as error:
        return _fail("check settings", path, str(error))


def _fail(step: str, path: pathlib.Path, detail: str) -> reasons.Failure:
    return reasons.Failure(
        step=step, peer=str(path), reason="invalid", detail=detail
    )


class UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that rejects a key given twice in one mapping."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[typing.Hashable, typing.Any]:
        """Build a mapping after checking its keys."""
        keys = [self.construct_object(key, deep=True) for key, _ in node.value]
        repeated = [key for key in keys if keys.count(key) > 1]
        if repeated:
            raise yaml.constructor.ConstructorError(
                None, None, f"key {repeated[0]!r} is repeated", node.start_mark
            )
        return super().construct_mapping(node, deep)


def check_endpoint(text: str, field: str) -> model.Endpoint:
    """Parse an endpoint of a setting.

    Raises:
        ValueError: names the field and the expected form.
    """
    try:
        return model.parse_endpoint(text)
    except ValueError as error:
        raise ValueError(f"{error} - at `$.{field}`") from error


def check_host(text: str, field: str) -> None:
    """Check an IPv4 address of a setting.

    Raises:
        ValueError: names the field and the expected form.
    """
    try:
        ipaddress.IPv4Address(text)
    except ValueError as error:
        raise ValueError(f"{error} - at `$.{field}`") from error
