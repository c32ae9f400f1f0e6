"""Tunable parameters of routing."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoutingParameters:
    """Tunable parameters of `EngineSelector`.

    Attributes:
        max_holders: Engines that hold a part of the prefix and are scored; more gain nothing.
        max_homes: Home engines that are scored, whether or not they hold a part of the prefix.
        random_candidates: Random permitted engines that are scored, to find idle ones.
        import_seconds_per_block: Assumed time to import one block.
        import_lookup_seconds: Assumed time of a lookup at a store.
        overtaking_weight: Cost per second of queued work that the request overtakes by its
            priority, since it delays those requests.
        waste_weight: Cost per second of recomputation that an import or another engine would save.
        far_region_seconds: Added cost of an engine in another region.
        far_place_seconds: Added cost of an engine in another place of the region.
        spill_seconds: The first candidate is kept unless another engine is faster by this much.
        hot_requests_per_second: A prefix gets one more home per this request rate.
        import_enabled: Whether engines import from KV stores.
        export_enabled: Whether engines export to KV stores.
        export_min_requests: Blocks are exported when at least this many requests used them.
    """

    max_holders: int = 4
    max_homes: int = 2
    random_candidates: int = 2
    import_seconds_per_block: float = 0.010
    import_lookup_seconds: float = 0.002
    overtaking_weight: float = 0.1
    waste_weight: float = 4.0
    far_region_seconds: float = 0.060
    far_place_seconds: float = 0.002
    spill_seconds: float = 0.050
    hot_requests_per_second: float = 2.0
    import_enabled: bool = True
    export_enabled: bool = True
    export_min_requests: int = 1
