"""Settings of dissemination, embedded in those of the programs."""

import typing

import msgspec

from egretfork import settings


class GossipSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of dissemination.

    Attributes:
        port: UDP port on the process's host; 0 for any free one.
        seeds: ``host:port`` of some entry or control processes, at which
            a process that starts asks first.
        rate_bytes_per_s: control bytes a second, received ones included,
            up to which the process sends.
        burst_bytes: bytes that may be sent at once in addition.
    """

    port: settings.Port = 0
    seeds: tuple[str, ...] = ()
    rate_bytes_per_s: typing.Annotated[
        int, msgspec.Meta(ge=2_000, le=10_000_000)
    ] = 4_500
    burst_bytes: typing.Annotated[
        int, msgspec.Meta(ge=2_000, le=10_000_000)
    ] = 2_200

    def __post_init__(self) -> None:
        """Check the form of the seeds.

        Raises:
            ValueError: names the seed that is not an endpoint.
        """
        for index, seed in enumerate(self.seeds):
            settings.check_endpoint(seed, f"seeds[{index}]")
