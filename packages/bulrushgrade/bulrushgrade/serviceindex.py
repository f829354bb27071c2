"""Accepted services, indexed by the names that requests use."""

from collections.abc import Iterable

import attrs

from bulrushgrade import document
from bulrushgrade import fleet
from bulrushgrade import work


@attrs.frozen(kw_only=True)
class ServiceIndex:
    """Lookup tables over the accepted service documents.

    Attributes:
        services: The documents by service name.
        services_by_model: The model services that run a model or adapter, by
            its name.
        capacity_token_s_per_s: The capacity of the whole fleet.
    """

    services: dict[str, document.ServiceDocument]
    services_by_model: dict[str, tuple[document.ServiceDocument, ...]]
    capacity_token_s_per_s: float

    def find_model_services(
        self, name: str
    ) -> tuple[document.ServiceDocument, ...]:
        """Returns the model services that a name in a request may refer to.

        A service name takes precedence over a model name, so that a service
        can always be distinguished from others that run the same model.
        """
        service = self.services.get(name)
        if service is not None and service.kind == "model":
            return (service,)
        return self.services_by_model.get(name, ())

    def find_plain_service(self, name: str) -> document.ServiceDocument | None:
        """Returns the plain service with this name, or None."""
        service = self.services.get(name)
        if service is None or service.kind != "plain":
            return None
        return service

    def policies(self) -> tuple[work.ServicePolicy, ...]:
        """Returns the scheduling policy of each service."""
        return tuple(
            _to_policy(service, self.capacity_token_s_per_s)
            for service in self.services.values()
        )


def build_service_index(
    services: Iterable[document.ServiceDocument],
    fleet_document: fleet.FleetDocument | None,
) -> ServiceIndex:
    """Builds the index of the accepted documents.

    Args:
        services: The accepted service documents.
        fleet_document: The accepted fleet document, if any.
    """
    services_by_name = {service.service: service for service in services}
    services_by_model: dict[str, tuple[document.ServiceDocument, ...]] = {}
    for service in services_by_name.values():
        for name in _list_models(service):
            services_by_model[name] = (
                *services_by_model.get(name, ()),
                service,
            )
    capacity = 0.0
    if fleet_document is not None:
        capacity = fleet_document.capacity_token_s_per_s
    return ServiceIndex(
        services=services_by_name,
        services_by_model=services_by_model,
        capacity_token_s_per_s=capacity,
    )


def choose_model(service: document.ServiceDocument, name: str) -> str:
    """Returns the model or adapter that a request to a service runs on.

    Args:
        service: The service's document.
        name: The name in the request: of the service, a model or an adapter.
    """
    return name if name in _list_models(service) else service.models[0].name


def _list_models(service: document.ServiceDocument) -> tuple[str, ...]:
    names = [model.name for model in service.models]
    for model in service.models:
        names.extend(model.adapters)
    return tuple(dict.fromkeys(names))


def _to_policy(
    service: document.ServiceDocument, capacity_token_s_per_s: float
) -> work.ServicePolicy:
    return work.ServicePolicy(
        service=service.service,
        team=service.team,
        share=min(1.0, service.share.fraction_of(capacity_token_s_per_s)),
        borrow=service.share.borrow,
        priority=service.share.priority,
        queue_limit=service.queue.max_requests,
        max_wait_s=service.queue.max_wait_s,
        max_attempts=service.retry.max_attempts,
        retry_ratio=service.retry.budget_fraction,
        goodput_weight=service.weights.goodput,
        role_change_weight=service.weights.role_changes,
    )
