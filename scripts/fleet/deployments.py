"""The two deployments that the demo can show."""

from dataclasses import dataclass, replace


@dataclass(frozen=True)
class Service:
    """One service of a deployment."""

    name: str
    workers: int
    keyed: bool  # Divided by key: each key is owned by one worker.
    write_share: float  # Part of the calls that must not run twice.
    load_weight: float  # Share of the load, relative to the other services.


@dataclass(frozen=True)
class CallerClass:
    """One caller class: a column of the operators' table."""

    name: str
    weight: int  # Higher weights are served first.
    load_weight: float


@dataclass(frozen=True)
class Deployment:
    """Services, caller classes and zones of one operator."""

    name: str
    zones: int
    services: tuple
    classes: tuple

    def smaller(self):
        """The same services with fewer workers."""
        services = tuple(replace(s, workers=3 if s.keyed else 2) for s in self.services)
        return replace(self, services=services, zones=min(self.zones, 2))

    def table_csv(self):
        """The operators' table: no limits, one weight for each class."""
        rows = ["service,class,weight,limit"]
        for service in self.services:
            for caller_class in self.classes:
                rows.append(f"{service.name},{caller_class.name},{caller_class.weight},")
        return "\n".join(rows) + "\n"


HIMALWIRE = Deployment(
    name="himalwire",
    zones=4,
    services=(
        Service("feedread", 4, keyed=True, write_share=0.2, load_weight=3),
        Service("dispatch", 4, keyed=False, write_share=0.6, load_weight=1),
        Service("mediavault", 4, keyed=False, write_share=0.0, load_weight=1),
        Service("billing", 4, keyed=False, write_share=0.5, load_weight=1),
    ),
    classes=(
        CallerClass("regulator", 30, 1),
        CallerClass("newsroom", 20, 3),
        CallerClass("issuer", 10, 2),
    ),
)

LAGESSE = Deployment(
    name="lagesse",
    zones=3,
    services=(
        Service("catalogue", 5, keyed=True, write_share=0.2, load_weight=3),
        Service("orders", 4, keyed=False, write_share=0.6, load_weight=1),
        Service("pricing", 3, keyed=False, write_share=0.0, load_weight=1),
        Service("billing", 3, keyed=False, write_share=0.5, load_weight=1),
    ),
    classes=(
        CallerClass("hotel", 30, 3),
        CallerClass("school", 20, 1),
        CallerClass("shop", 10, 2),
    ),
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (HIMALWIRE, LAGESSE)}
