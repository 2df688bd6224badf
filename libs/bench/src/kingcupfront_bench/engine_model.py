"""A model of a model engine, in virtual time.

Each step computes one token of every decoding generation and a bounded
number of prompt tokens (continuous batching: Yu et al., "Orca", OSDI 2022;
chunked prefill: Agrawal et al., "Sarathi-Serve", OSDI 2024). A step lasts::

    base + per_job * decoding + per_prefill * prompt_tokens + per_held * held

where ``held`` is the number of tokens in the key-value memory that decoding
jobs read. Memory is allotted in blocks (Kwon et al., "PagedAttention", SOSP
2023): a prompt's blocks when it is admitted, one more block each
``block_tokens`` output tokens. When no block is free the job with the worst
priority, and among these the newest, is preempted: its blocks are freed and
its prompt and output are computed again when it returns to the front of the
waiting jobs. Jobs with the same prefix share its blocks. A prefix that no job
uses stays cached in free memory; the least recently used is dropped first.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import heapq
import itertools
import typing

import simpy

from kingcupfront_bench import generation
from kingcupfront_bench import prefix_cache


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """The size and speed of an engine.

    :param total_blocks: blocks of key-value memory.
    :param block_tokens: tokens in a block.
    :param slots: most jobs in the batch.
    :param step_tokens: most tokens computed in a step.
    :param base_seconds: the time of an empty step.
    :param job_seconds: for each decoding job.
    :param prefill_seconds: for each prompt token.
    :param held_seconds: for each token in memory that is read.
    :param prefix_tokens: tokens that one prefix hash stands for.
    """

    total_blocks: int = 4096
    block_tokens: int = 16
    slots: int = 64
    step_tokens: int = 2048
    base_seconds: float = 0.012
    job_seconds: float = 0.00005
    prefill_seconds: float = 0.00005
    held_seconds: float = 0.00000004
    prefix_tokens: int = 128


class EngineModel:
    """One engine.

    :param env: the simulation.
    :param spec: its size and speed.
    :param gaps: called with the length of a gap between tokens, in seconds,
        and the number of such gaps.
    :param stall_seconds: gaps beyond this count as stalled.
    """

    def __init__(
        self,
        env: simpy.Environment,
        spec: EngineSpec,
        gaps: Callable[[float, int], None],
        stall_seconds: float,
    ) -> None:
        self.env = env
        self.spec = spec
        self.free_blocks = spec.total_blocks
        self.preemptions = 0
        self.recomputed_tokens = 0
        self.is_alive = True
        self.is_leaving = False
        self.cache = prefix_cache.PrefixCache()
        self._gaps = gaps
        self._stall_seconds = stall_seconds
        self._waiting: list[tuple[int, int, generation.Generation]] = []
        self._running: dict[generation.Generation, None] = {}
        self._prefilling: dict[generation.Generation, None] = {}
        self._decoding = 0
        self._held_tokens = 0
        self._step = 0
        self._due: dict[int, list[tuple[generation.Generation, int]]] = {}
        self._fresh: list[generation.Generation] = []
        self._prefix_blocks = spec.prefix_tokens // spec.block_tokens
        self._numbers = itertools.count()
        self._last_duration = 0.0
        self._work = env.event()
        env.process(self._run())

    @property
    def running(self) -> int:
        """Jobs in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Jobs that wait for memory or a slot."""
        return len(self._waiting)

    @property
    def decoding(self) -> int:
        """Jobs that got a token in this step."""
        return self._decoding

    def submit(self, item: generation.Generation) -> None:
        """Take in a job."""
        if not self.is_alive:
            item.on_end(False)
            return
        item.number = next(self._numbers)
        item.to_compute = item.prompt_tokens
        heapq.heappush(self._waiting, (item.priority, item.number, item))
        if not self._work.triggered:
            self._work.succeed()

    def die(self) -> None:
        """End at once; all jobs are lost."""
        self.is_alive = False
        lost = [*self._running, *(entry[-1] for entry in self._waiting)]
        self._running.clear()
        self._prefilling.clear()
        self._waiting.clear()
        self._decoding = 0
        for item in lost:
            item.epoch += 1
            item.on_end(False)

    def _run(self) -> Iterator[typing.Any]:
        while self.is_alive:
            if not self._running and not self._waiting:
                self._work = self.env.event()
                yield self._work
                continue
            prompt_tokens = self._admit()
            decoding = self._decoding
            yield self.env.timeout(self._duration(prompt_tokens))
            if self.is_alive:
                self._finish_step(decoding)

    def _duration(self, prompt_tokens: int) -> float:
        spec = self.spec
        self._last_duration = (
            spec.base_seconds
            + spec.job_seconds * self._decoding
            + spec.prefill_seconds * prompt_tokens
            + spec.held_seconds * self._held_tokens
        )
        return self._last_duration

    def _admit(self) -> int:
        """Give the step's token budget to prompts; return tokens given."""
        budget = self.spec.step_tokens - self._decoding
        given = 0
        for item in list(self._prefilling):
            given += self._compute(item, budget - given)
        while given < budget and self._waiting:
            if len(self._running) >= self.spec.slots:
                break
            item = self._waiting[0][-1]
            blocks, shared = self._needed(item)
            if blocks + shared > self.free_blocks:
                break
            heapq.heappop(self._waiting)
            self._start(item, blocks, shared)
            given += self._compute(item, budget - given)
        return given

    def _needed(self, item: generation.Generation) -> tuple[int, int]:
        """Return the blocks of its own and of its prefix that a job needs."""
        tokens = item.prompt_tokens + item.generated + 1
        own = -(-tokens // self.spec.block_tokens)
        own -= len(item.prefix) * self._prefix_blocks
        unused = self.cache.unused(item.prefix)
        return max(own, 1), unused * self._prefix_blocks

    def _start(
        self, item: generation.Generation, blocks: int, shared: int
    ) -> None:
        hit = self.cache.hits(item.prefix) * self.spec.prefix_tokens
        item.blocks = blocks
        item.to_compute = max(item.to_compute - hit, 1)
        item.is_running = True
        self._running[item] = None
        self._prefilling[item] = None
        self.free_blocks -= blocks + shared
        self.cache.hold(item.prefix)
        self._evict()

    def _evict(self) -> None:
        self.cache.shrink(self.free_blocks // self._prefix_blocks)

    def _compute(self, item: generation.Generation, budget: int) -> int:
        tokens = min(item.to_compute, budget)
        item.to_compute -= tokens
        if item.to_compute == 0:
            del self._prefilling[item]
            self._fresh.append(item)
        return tokens

    def _finish_step(self, decoding: int) -> None:
        self._step += 1
        self._held_tokens += decoding
        if decoding:
            self._gaps(self._last_duration, decoding)
        fresh, self._fresh = self._fresh, []
        for item, epoch in self._due.pop(self._step, ()):
            if item.epoch == epoch and item.is_decoding:
                self._reach_boundary(item)
        for item in fresh:
            if item.is_running:
                self._start_decoding(item)

    def _start_decoding(self, item: generation.Generation) -> None:
        """Give the token that ends a prefill."""
        now = self.env.now
        if item.generated == 0:
            item.on_token(now)
        else:
            gap = now - item.last_token_at
            self._gaps(gap, 1)
            item.longest_gap = max(item.longest_gap, gap)
            item.stalled += max(0.0, gap - self._stall_seconds)
        item.generated += 1
        item.is_decoding = True
        item.started_at_step = self._step
        self._decoding += 1
        self._held_tokens += item.prompt_tokens + item.generated
        self._schedule(item)

    def _schedule(self, item: generation.Generation) -> None:
        """Note the step at which a job ends or needs another block."""
        left = item.output_tokens - item.generated
        tokens = item.prompt_tokens + item.generated
        blocks = item.blocks + len(item.prefix) * self._prefix_blocks
        room = blocks * self.spec.block_tokens - tokens
        item.started_at_step = self._step
        if left <= 0:
            self._end(item)
            return
        step = self._step + max(1, min(left, room + 1))
        self._due.setdefault(step, []).append((item, item.epoch))

    def _reach_boundary(self, item: generation.Generation) -> None:
        item.generated += self._step - item.started_at_step
        item.started_at_step = self._step
        if item.generated >= item.output_tokens:
            self._end(item)
            return
        if self.free_blocks < 1 and not self._make_room(item):
            return
        item.blocks += 1
        self.free_blocks -= 1
        self._evict()
        self._schedule(item)

    def _end(self, item: generation.Generation) -> None:
        self._leave(item)
        item.on_end(True)

    def _leave(self, item: generation.Generation) -> None:
        item.epoch += 1
        item.is_running = False
        if item.is_decoding:
            item.is_decoding = False
            self._decoding -= 1
            self._held_tokens -= item.prompt_tokens + item.generated
        self._prefilling.pop(item, None)
        del self._running[item]
        self.free_blocks += item.blocks
        item.blocks = 0
        freed = self.cache.let_go(item.prefix)
        self.free_blocks += freed * self._prefix_blocks

    def _make_room(self, wanting: generation.Generation) -> bool:
        """Preempt; return False if the job itself had to give way."""
        victim = max(self._running, key=lambda g: (g.priority, g.number))
        if victim.is_decoding:
            victim.generated += self._step - victim.started_at_step
            victim.started_at_step = self._step
        self._leave(victim)
        self.preemptions += 1
        victim.last_token_at = self.env.now
        victim.to_compute = victim.prompt_tokens + victim.generated
        self.recomputed_tokens += victim.to_compute
        heapq.heappush(self._waiting, (victim.priority, victim.number, victim))
        return victim is not wanting
