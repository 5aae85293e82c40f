"""Replicated state machine; commands are applied deterministically."""

import msgspec
import xxhash

from egretfork.control import commands
from egretfork import document
from egretfork import model
from egretfork.passthrough import routing
from egretfork import reasons

ACTIONS: dict[type[commands.OperatorCommand], str] = {
    commands.Apply: "apply",
    commands.Drain: "drain",
    commands.ForgetNode: "forget",
}
DECLARE_ACTION = "declare"
MAX_APPLIED_REQUESTS = 1024
MAX_FORGOTTEN_NODES = 4096
MAX_DRAINED_AGENTS = 4096


class AppliedRequest(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of a request, with a hash of the requested command."""

    digest: int
    outcome: commands.Outcome


class State(msgspec.Struct):
    """State of the state machine.

    Attributes:
        applied: latest outcomes by request ID, oldest first.
        groups: latest record group of each service that ever had one.
        quarantine: released addresses, keyed by address.
        nodes: names of the entries that have to confirm versions.
        forgotten: by node, the latest version at the time when an operator
            removed the node.
        declaration: declaration with the highest version.
    """

    version: int = 0
    author: str = ""
    services: tuple[model.Service, ...] = ()
    record_revision: int = 0
    groups: dict[str, model.RecordGroup] = {}
    drained: tuple[str, ...] = ()
    applied: dict[str, AppliedRequest] = {}
    quarantine: dict[str, commands.QuarantinedAddress] = {}
    nodes: set[str] = set()
    forgotten: dict[str, int] = {}
    declaration: routing.Declaration = routing.Declaration()


class StateMachine:
    """Applies committed commands in order."""

    def __init__(self, encoded: bytes = b"") -> None:
        self.state = (
            msgspec.msgpack.decode(encoded, type=State) if encoded else State()
        )
        if not self.state.declaration.document:
            # Earlier releases stored version 0 while nothing was declared.
            self.state.declaration = routing.Declaration()
        self.configuration = self._build_configuration()

    def encode(self) -> bytes:
        """Return the encoded state for a snapshot."""
        return msgspec.msgpack.encode(self.state)

    def apply(self, command: commands.Command) -> commands.Outcome | None:
        """Apply a command; return its outcome unless the leader made it."""
        outcome: commands.Outcome | None = None
        match command:
            case commands.RegisterNodes():
                self._register_nodes(command)
            case commands.ReleaseAddresses():
                self._release_addresses(command)
            case commands.SetRecordGroups():
                self._set_record_groups(command)
            case commands.Declare():
                outcome = self._declare(command)
            case _:
                outcome = self._apply_once(command)
        self.configuration = self._build_configuration()
        return outcome

    def find_outcome(self, request_id: str) -> commands.Outcome | None:
        """Return the outcome of a request if it is still stored."""
        found = self.state.applied.get(request_id)
        return found.outcome if found else None

    def list_outcomes(self) -> tuple[commands.Outcome, ...]:
        """Return the stored outcomes, newest first."""
        return tuple(
            item.outcome for item in reversed(self.state.applied.values())
        )

    # Operator commands

    def _apply_once(
        self, command: commands.OperatorCommand
    ) -> commands.Outcome:
        digest = _hash_command(command)
        known = self.state.applied.get(command.request_id)
        if known is not None:
            return self._answer_duplicate(known, digest, command)
        outcome = self._execute(command)
        self.state.applied[command.request_id] = AppliedRequest(
            digest, outcome
        )
        if len(self.state.applied) > MAX_APPLIED_REQUESTS:
            del self.state.applied[next(iter(self.state.applied))]
        return outcome

    def _answer_duplicate(
        self,
        known: AppliedRequest,
        digest: int,
        command: commands.OperatorCommand,
    ) -> commands.Outcome:
        if known.digest == digest:
            return known.outcome
        return self._refuse(
            command,
            reasons.ControlRefusal.REQUEST_ID_REUSED,
            "this request ID was already used for a different command",
        )

    def _execute(self, command: commands.OperatorCommand) -> commands.Outcome:
        match command:
            case commands.Apply():
                return self._apply_services(command)
            case commands.Drain():
                return self._drain(command)
            case commands.ForgetNode():
                return self._forget(command)

    def _apply_services(self, command: commands.Apply) -> commands.Outcome:
        if command.base_version != self.state.version:
            return self._refuse(
                command,
                reasons.ControlRefusal.STALE_BASE,
                f"the newest version is {self.state.version} by"
                f" {self.state.author or 'nobody'}, not"
                f" {command.base_version}",
            )
        problem = document.check_services(command.services)
        if problem:
            return self._refuse(
                command, reasons.ControlRefusal.INVALID_DOCUMENT, problem
            )
        blocked = self._find_quarantined(command.services)
        if blocked:
            return self._refuse(
                command, reasons.ControlRefusal.ADDRESS_IN_QUARANTINE, blocked
            )
        self._activate_services(command)
        return self._accept(command)

    def _find_quarantined(self, services: tuple[model.Service, ...]) -> str:
        """Return why an address is not available yet, empty if all are."""
        owners = {
            address: service.name
            for service in self.state.services
            for address in service.addresses
        }
        quarantined = {
            address: item.service
            for address, item in self.state.quarantine.items()
        }
        return next(
            (
                f"address {address} of service {service.name!r} was released"
                f" by {(owners | quarantined)[address]!r}; not every node has"
                " confirmed a version without it"
                for service in services
                for address in service.addresses
                if (owners | quarantined).get(address, service.name)
                != service.name
            ),
            "",
        )

    def _activate_services(self, command: commands.Apply) -> None:
        self.state.version += 1
        self.state.author = command.author
        taken = {
            address
            for service in command.services
            for address in service.addresses
        }
        released = {
            address: commands.QuarantinedAddress(
                address, service.name, self.state.version
            )
            for service in self.state.services
            for address in service.addresses
            if address not in taken
        }
        self.state.quarantine = {
            address: item
            for address, item in (self.state.quarantine | released).items()
            if address not in taken
        }
        self.state.services = document.sort_services(command.services)

    def _drain(self, command: commands.Drain) -> commands.Outcome:
        marked = set(self.state.drained)
        if command.cancel:
            marked.discard(command.agent)
        else:
            marked.add(command.agent)
        if len(marked) > MAX_DRAINED_AGENTS:
            return self._refuse(
                command,
                reasons.ControlRefusal.INVALID_DOCUMENT,
                f"more than {MAX_DRAINED_AGENTS} agents would be draining",
            )
        if marked != set(self.state.drained):
            self.state.drained = tuple(sorted(marked))
            self.state.record_revision += 1
        return self._accept(command)

    def _forget(self, command: commands.ForgetNode) -> commands.Outcome:
        if command.node not in self.state.nodes:
            return self._refuse(
                command,
                reasons.ControlRefusal.UNKNOWN_NODE,
                f"no node {command.node!r} is known",
            )
        self.state.nodes.discard(command.node)
        self.state.forgotten[command.node] = self.state.version
        if len(self.state.forgotten) > MAX_FORGOTTEN_NODES:
            del self.state.forgotten[next(iter(self.state.forgotten))]
        return self._accept(command)

    def _accept(self, command: commands.OperatorCommand) -> commands.Outcome:
        return self._build_outcome(command, commands.OutcomeKind.ACCEPTED)

    def _refuse(
        self,
        command: commands.OperatorCommand,
        reason: reasons.ControlRefusal,
        detail: str,
    ) -> commands.Outcome:
        return self._build_outcome(
            command, commands.OutcomeKind.REFUSED, reason, detail
        )

    def _build_outcome(
        self,
        command: commands.OperatorCommand,
        kind: commands.OutcomeKind,
        reason: str = "",
        detail: str = "",
    ) -> commands.Outcome:
        return commands.Outcome(
            request_id=command.request_id,
            kind=kind,
            version=self.state.version,
            action=ACTIONS[type(command)],
            author=command.author,
            submitted_ms=command.submitted_ms,
            reason=reason,
            detail=detail,
        )

    def _declare(self, command: commands.Declare) -> commands.Outcome:
        previous = self.state.declaration
        declared = command.declaration
        if declared.version > previous.version:
            self.state.declaration = routing.Declaration(
                routing.carry_over_services(
                    previous.routing, declared.routing
                ),
                declared.document,
            )
        return commands.Outcome(
            request_id="",
            kind=commands.OutcomeKind.ACCEPTED,
            version=self.state.declaration.version,
            action=DECLARE_ACTION,
            author="",
            submitted_ms=0,
        )

    # Leader commands

    def _register_nodes(self, command: commands.RegisterNodes) -> None:
        for item in command.confirmed:
            # Only a live node can confirm a later version than the latest
            # one at the time when it was forgotten.
            if item.version <= self.state.forgotten.get(item.node, -1):
                continue
            self.state.forgotten.pop(item.node, None)
            self.state.nodes.add(item.node)

    def _release_addresses(self, command: commands.ReleaseAddresses) -> None:
        for item in command.released:
            if self.state.quarantine.get(item.address) == item:
                del self.state.quarantine[item.address]

    def _set_record_groups(self, command: commands.SetRecordGroups) -> None:
        for group in command.groups:
            known = self.state.groups.get(group.service)
            if group.epoch == (known.epoch if known else 0) + 1:
                self.state.groups[group.service] = group
                self.state.record_revision += 1

    def _build_configuration(self) -> model.Configuration:
        return model.Configuration(
            version=self.state.version,
            services=self.state.services,
            record_groups=tuple(
                self.state.groups[service.name]
                for service in self.state.services
                if service.name in self.state.groups
            ),
            record_revision=self.state.record_revision,
            drained_agents=self.state.drained,
        )


def _hash_command(command: commands.OperatorCommand) -> int:
    # A retry may come from another client, at another time and with
    # another base version.
    content = msgspec.structs.replace(command, submitted_ms=0, author="")
    if isinstance(content, commands.Apply):
        content = msgspec.structs.replace(content, base_version=0)
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(content))
