"""The registry's state, with derived indexes.

`publication.ServiceState` is the authoritative state of each service. Parsed
documents, digests and the index by record id are derived from it.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import acceptance
from bulrushgrade import document
from bulrushgrade import errors
from bulrushgrade import fleet
from bulrushgrade import publication


class Catalog:
    """Accepted documents and the newest verdicts of each service."""

    def __init__(self, *, rules: Mapping[int, acceptance.RuleSet]):
        self._accepted_state = acceptance.AcceptedState(rules=rules)
        self._states: dict[str, publication.ServiceState] = {}
        self._digests: dict[str, int] = {}
        self._verdicts: dict[str, publication.Verdict] = {}

    @property
    def accepted_state(self) -> acceptance.AcceptedState:
        """The accepted documents that the next publish is evaluated against."""
        return self._accepted_state

    @property
    def states(self) -> tuple[publication.ServiceState, ...]:
        """Every service's state, sorted by service."""
        return tuple(self._states[name] for name in sorted(self._states))

    @property
    def digest(self) -> str:
        """The digest of all states."""
        return publication.digest_states(self._digests.values())

    def state(self, service: str) -> publication.ServiceState:
        """Returns a service's state, or an empty one if it is unknown."""
        empty = publication.ServiceState(service=service)
        return self._states.get(service, empty)

    def verdict(self, record_id: str) -> publication.Verdict | None:
        """Returns the verdict on a record id, or None if none is retained."""
        return self._verdicts.get(record_id)

    def add_evaluation(
        self, publish: publication.Publish, evaluation: acceptance.Evaluation
    ) -> None:
        """Adds the verdict on a publish and, if accepted, the document."""
        owned = acceptance.is_owner(self._accepted_state, publish)
        name = publish.service if owned else publication.UNOWNED
        limit = publication.MAX_VERDICTS
        if not owned:
            limit = publication.MAX_UNOWNED_VERDICTS
        verdict = evaluation.verdict
        verdicts = (*self.state(name).verdicts, verdict)
        for old in verdicts[:-limit]:
            del self._verdicts[old.record_id]
        state = attrs.evolve(self.state(name), verdicts=verdicts[-limit:])
        if verdict.accepted:
            state = attrs.evolve(
                state, accepted=_make_revision(publish, verdict)
            )
        self._verdicts[verdict.record_id] = verdict
        self._store_state(state)
        if evaluation.parsed is not None:
            self._set_document(name, verdict.offset, evaluation.parsed)

    def replace(
        self, states: Iterable[publication.ServiceState]
    ) -> Result[None, errors.BadSnapshot]:
        """Replaces all states atomically; on failure nothing changes."""
        accepted_state = acceptance.AcceptedState(
            rules=self._accepted_state.rules
        )
        candidate = Catalog(rules=accepted_state.rules)
        for state in states:
            candidate._store_state(state)
            for verdict in state.verdicts:
                candidate._verdicts[verdict.record_id] = verdict
            if state.accepted is None:
                continue
            read = self._parse(state.service, state.accepted)
            if isinstance(read, Failure):
                return read
            offset = state.accepted.offset
            candidate._set_document(state.service, offset, read.unwrap())
        regressed = self._find_regressed(candidate)
        if regressed:
            reason = f"snapshot has older accepted revisions of {regressed}"
            return Failure(errors.BadSnapshot(reason=reason))
        self._accepted_state, self._states = (
            candidate._accepted_state,
            candidate._states,
        )
        self._digests, self._verdicts = candidate._digests, candidate._verdicts
        return Success(None)

    def _parse(
        self, service: str, revision: publication.Revision
    ) -> Result[
        document.ServiceDocument | fleet.FleetDocument, errors.BadSnapshot
    ]:
        # A serving daemon that is a few records behind may receive a snapshot.
        # Reparsing every document would delay its requests, so unchanged ones
        # are reused.
        if self.state(service).accepted != revision:
            return _parse_revision(
                service, revision, self._accepted_state.rules
            )
        if service == document.FLEET and self._accepted_state.fleet_document:
            return Success(self._accepted_state.fleet_document)
        return Success(self._accepted_state.documents[service])

    def _store_state(self, state: publication.ServiceState) -> None:
        self._states[state.service] = state
        self._digests[state.service] = publication.digest_state(state)

    def _set_document(
        self,
        name: str,
        offset: int,
        parsed: document.ServiceDocument | fleet.FleetDocument,
    ) -> None:
        accepted_state = self._accepted_state
        accepted_state.offsets[name] = offset
        if not isinstance(parsed, fleet.FleetDocument):
            accepted_state.documents[name] = parsed
            if accepted_state.fleet_document is not None:
                capacity = accepted_state.fleet_document.capacity_token_s_per_s
                accepted_state.guaranteed_fractions[name] = (
                    parsed.share.fraction_of(capacity)
                )
            return
        accepted_state.fleet_document = parsed
        accepted_state.guaranteed_fractions = acceptance.compute_fractions(
            accepted_state.documents, parsed.capacity_token_s_per_s
        )
        # Drops services that left the fleet without ever having an accepted
        # document; otherwise their states would accumulate.
        kept = {*parsed.owners, document.FLEET, publication.UNOWNED}
        for state in self.states:
            if state.service not in kept and state.accepted is None:
                del self._states[state.service]
                del self._digests[state.service]
                for verdict in state.verdicts:
                    del self._verdicts[verdict.record_id]

    def _find_regressed(self, other: "Catalog") -> str:
        # An accepted revision can only be replaced by a later one. A state that
        # lacks it or has an older one was computed incorrectly.
        other_offsets = other.accepted_state.offsets
        names = [
            name
            for name, offset in self._accepted_state.offsets.items()
            if other_offsets.get(name, -1) < offset
        ]
        return ", ".join(sorted(names))


def _make_revision(
    publish: publication.Publish, verdict: publication.Verdict
) -> publication.Revision:
    return publication.Revision(
        offset=verdict.offset,
        record_id=verdict.record_id,
        team=publish.team,
        text=publish.text,
        validation=publish.validation,
    )


def _parse_revision(
    service: str,
    revision: publication.Revision,
    rules: Mapping[int, acceptance.RuleSet],
) -> Result[document.ServiceDocument | fleet.FleetDocument, errors.BadSnapshot]:
    known = rules.get(revision.validation)
    if known is None:
        reason = f"{service} needs rules {revision.validation}"
        return Failure(errors.BadSnapshot(reason=reason))
    return acceptance.parse_text(service, revision.text, known).alt(
        lambda faults: errors.BadSnapshot(reason=str(faults[0]))
    )
