"""What a run of the fleet consists of."""

import dataclasses

from kingcupfront_bench import deployment
from kingcupfront_bench import engine_model
from kingcupfront_route import tuning


@dataclasses.dataclass(frozen=True)
class Faults:
    """What goes wrong in a run; times are in seconds.

    :param flood: when one team floods.
    :param reclaim_at: when an engine is told that it is reclaimed.
    :param reclaim_notice: how long it then lives.
    :param replaced_after: how long after its end another one starts.
    :param slow: when the link of the last place is slow.
    :param slow_seconds: one-way latency added meanwhile.
    :param report_fault: ``frozen``, ``absent``, ``absurd`` or empty; what
        is wrong with the reports of the first engine.
    """

    flood: tuple[float, float] | None = (60.0, 85.0)
    reclaim_at: float | None = 100.0
    reclaim_notice: float = 10.0
    replaced_after: float = 5.0
    slow: tuple[float, float] | None = (115.0, 135.0)
    slow_seconds: float = 0.06
    report_fault: str = ''


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One run.

    :param where: the deployment.
    :param policy: a name of a routing policy.
    :param load: offered load as a fraction of capacity.
    :param seed: the seed.
    :param report_lag: how late load reports are, in seconds.
    :param faults: what goes wrong.
    :param chosen: weights of the policy.
    :param seconds: length of the run.
    :param warm_up: seconds that are not measured.
    :param spec: the engines.
    """

    where: deployment.Deployment
    policy: str
    load: float
    seed: int
    report_lag: float = 0.5
    faults: Faults = Faults()
    chosen: tuning.Tuning = tuning.FEWER_STALLS
    seconds: float = 150.0
    warm_up: float = 30.0
    spec: engine_model.EngineSpec = engine_model.EngineSpec()


def with_report_fault(faults: Faults, name: str) -> Faults:
    """Return faults with a fault of the first engine's reports added.

    :param faults: what else goes wrong.
    :param name: ``frozen``, ``absent``, ``absurd`` or empty.
    """
    return dataclasses.replace(faults, report_fault=name)
