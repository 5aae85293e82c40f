"""Loading and validation of YAML settings files."""

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
    """Settings shared by all daemons.

    Attributes:
        name: unique name of the process, at most 63 characters.
        availability_zone: availability zone of the VM.
        host: IPv4 address at which other processes reach this one.
        metrics_port: TCP port of the metrics page on ``host``, 0 for none.
        log_level: minimum log level.
    """

    name: Name
    availability_zone: Name
    host: str
    metrics_port: Port = 0
    log_level: typing.Literal["debug", "info", "warning", "error"] = "info"


def load(
    path: pathlib.Path, settings_type: type[SettingsType]
) -> SettingsType | reasons.Failure:
    """Read and validate a settings file.

    Returns:
        The settings, or a failure that names the file, the line or the
        path of the field, and what was expected.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return _build_failure("read settings", path, str(error))
    return parse(text, settings_type, path)


def parse(
    text: str, settings_type: type[SettingsType], path: pathlib.Path
) -> SettingsType | reasons.Failure:
    """Parse and validate the text of a settings file."""
    try:
        content = yaml.load(text, Loader=UniqueKeyLoader)
    except yaml.YAMLError as error:
        return _build_failure(
            "parse settings", path, " ".join(str(error).split())
        )
    try:
        return msgspec.convert(content, settings_type, strict=True)
    except (msgspec.ValidationError, ValueError) as error:
        return _build_failure("check settings", path, str(error))


def _build_failure(
    step: str, path: pathlib.Path, detail: str
) -> reasons.Failure:
    return reasons.Failure(
        step=step, peer=str(path), reason="invalid", detail=detail
    )


class UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that rejects duplicate keys in a mapping."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[typing.Hashable, typing.Any]:
        """Build a mapping after checking that its keys are unique."""
        keys = [self.construct_object(key, deep=True) for key, _ in node.value]
        duplicates = [key for key in keys if keys.count(key) > 1]
        if duplicates:
            raise yaml.constructor.ConstructorError(
                None,
                None,
                f"key {duplicates[0]!r} is repeated",
                node.start_mark,
            )
        return super().construct_mapping(node, deep)


def check_endpoint(text: str, field: str) -> model.Endpoint:
    """Parse the endpoint in a field of the settings.

    Raises:
        ValueError: the value is invalid; the message names the field.
    """
    try:
        return model.parse_endpoint(text)
    except ValueError as error:
        raise ValueError(f"{error} - at `$.{field}`") from error


def check_host(text: str, field: str) -> None:
    """Validate the IPv4 address in a field of the settings.

    Raises:
        ValueError: the value is invalid; the message names the field.
    """
    try:
        ipaddress.IPv4Address(text)
    except ValueError as error:
        raise ValueError(f"{error} - at `$.{field}`") from error
