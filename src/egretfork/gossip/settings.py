"""Gossip settings, embedded in the settings of the programs."""

import typing

import msgspec

from egretfork import settings


class GossipSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Gossip settings.

    Attributes:
        port: UDP port on the process's host; 0 for any free port.
        seeds: ``host:port`` of entry or control processes that a starting
            process contacts first.
        rate_bytes_per_s: rate limit in bytes per second; received bytes
            count towards it.
        burst_bytes: bytes that may be sent at once beyond the rate.
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
        """Check the format of the seeds.

        Raises:
            ValueError: a seed is not an endpoint.
        """
        for index, seed in enumerate(self.seeds):
            settings.check_endpoint(seed, f"seeds[{index}]")
