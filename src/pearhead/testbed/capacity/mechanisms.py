"""Alternatives to today's mechanisms (§11.2): ways to meet each need at the target, compared by the fitted costs."""

from __future__ import annotations

from dataclasses import dataclass

from pearhead.router.worker_lease import BUMP_LIMIT
from pearhead.testbed.capacity.axes import REAL_NODES
from pearhead.testbed.capacity.model import (
    DAY_SECONDS,
    POLLS_PER_SECOND,
    TARGET,
    AxisFits,
    FleetProfile,
    Value,
    value_text,
)

ZONES = 20
SHARDS = 80
REGIONS = 8
BUCKETS = 256
VOLUME_SHARDS = 16
TERM_REQUESTS_PER_SECOND = 2.0
HELLO_BYTES, HELLO_RESULT_BYTES = 130, 38
FILTER_BITS_PER_BLOCK = 10
KEYS_PER_JOB = 8
KEY_BYTES, INDEX_MESSAGE_BYTES = 8, 60
RENEWAL_MICROS = 150
HASH_MICROS = 2
TABLE_INTERVAL_SECONDS, SHARD_MESSAGE_BYTES, BUMP_MESSAGE_BYTES = 20, 60, 100


@dataclass(frozen=True)
class Alternative:
    """One way to meet a need.

    `figure` names what `value` computes, in `unit`. All values are estimates, most of them from the fits; no way was
    built for this comparison.
    """

    name: str
    figure: str
    unit: str
    value: Value
    rationale: str


@dataclass(frozen=True)
class Mechanism:
    """A need, the design sections it replaces, the way chosen, and two others that were considered."""

    need: str
    replaces: str
    chosen: Alternative
    alternatives: tuple[Alternative, Alternative]


def _term_exchange_bytes(s: AxisFits) -> float:
    """Bytes of one term request and its answer, from the traffic of a node that asks ten times a second."""
    request_rate = s.mean("nodes", "term questions at a core, a second") / s.mean_size("nodes") * 3
    return (s.mean("nodes", "term in a node, B/s") + s.mean("nodes", "term out a node, B/s")) / request_rate


def _change_bytes(s: AxisFits, z: FleetProfile) -> float:
    return s.at("tenants", "bytes of an apply a node", z.tenants)


def _shard_bytes(s: AxisFits, z: FleetProfile) -> float:
    """Assumes that each model's new weights are announced once a day, and that each apply changes one part."""
    bumps = (z.models * BUMP_LIMIT + z.applies_per_day) / DAY_SECONDS
    return VOLUME_SHARDS * SHARD_MESSAGE_BYTES / TABLE_INTERVAL_SECONDS + bumps * BUMP_MESSAGE_BYTES


def _load_bytes(s: AxisFits, z: FleetProfile) -> float:
    return s.slope("state", "bytes to a node a confirmed load")


def _event_cores(s: AxisFits, z: FleetProfile) -> float:
    micros = s.at_largest("blocks", "reading an event off the wire, µs") + s.at_largest(
        "blocks", "taking an event in, µs"
    )
    return z.events * micros / 1e6


def _poll_cores(s: AxisFits, workers: float) -> float:
    """Processor time of one poll a second for each of so many workers.

    It is a quarter of what a worker costs its holder, lease renewals and reports included, as a holder polls four times
    a second.
    """
    return REAL_NODES * s.slope("workers", "node, cores") * workers / POLLS_PER_SECOND


def _shard_cores(s: AxisFits, z: FleetProfile) -> float:
    return _event_cores(s, z) / SHARDS + _poll_cores(s, z.workers / SHARDS)


MECHANISMS: tuple[Mechanism, ...] = (
    Mechanism(
        "the configuration term",
        "§5.3",
        Alternative(
            "two relays a zone ask all cores; a node asks one of them twice a second",
            "term traffic of a node",
            "B/s",
            lambda s, z: TERM_REQUESTS_PER_SECOND * _term_exchange_bytes(s),
            "cores hear 40 askers; what a relay held is taken off, as §5.3 has it for colleagues",
        ),
        (
            Alternative(
                "nodes ask the cores a third as often",
                "term traffic of a node",
                "B/s",
                lambda s, z: 10 / 3 * _term_exchange_bytes(s),
                "two lost rounds end a term of 2 s, and each core still hears 1,200",
            ),
            Alternative(
                "the leader grants each node its term",
                "messages at the leader",
                "messages/s",
                lambda s, z: z.nodes * 2,
                "state for each node at one core, and it stops with the leader (§5.3)",
            ),
        ),
    ),
    Mechanism(
        "changes of the configuration",
        "§5.2",
        Alternative(
            "tenants in 256 buckets, changes told on by the zone's relays",
            "traffic in at a node, day's mean",
            "B/s",
            lambda s, z: _change_bytes(s, z) / BUCKETS * z.applies_per_day / DAY_SECONDS,
            "as entries lie already; a core sends each change to 40 relays",
        ),
        (
            Alternative(
                "the whole head with each change, by relays",
                "traffic in at a node, day's mean",
                "B/s",
                lambda s, z: _change_bytes(s, z) * z.applies_per_day / DAY_SECONDS,
                "spares the cores and not the nodes",
            ),
            Alternative(
                "a section a tenant",
                "sections hashed at each change",
                "sections",
                lambda s, z: z.tenants + 68,
                "smallest messages; each node hashes every section's head each time",
            ),
        ),
    ),
    Mechanism(
        "who is alive",
        "§3.2",
        Alternative(
            "a node knows its relays and its zone; relays tell each other digests of zones",
            "records at a node",
            "records",
            lambda s, z: z.nodes / ZONES + 2,
            "no node sorts or hashes what it never addresses",
        ),
        (
            Alternative(
                "the whole directory, kept sorted, told by changes",
                "records at a node",
                "records",
                lambda s, z: z.nodes + z.cores,
                "cheap to tell (645 changes a day), yet holders still draw among all",
            ),
            Alternative(
                "gossip of failures (SWIM) among all",
                "records at a node",
                "records",
                lambda s, z: z.nodes + z.cores,
                "constant traffic; the same records and the same draw",
            ),
        ),
    ),
    Mechanism(
        "who holds a worker",
        "§7.2",
        Alternative(
            "drawn among the nodes of the worker's zone, again only when they change",
            "processor time of a change",
            "ms",
            lambda s, z: z.workers / ZONES * HASH_MICROS / 1e3,
            "one hash a worker for the node that came or went; 32 changes a day a zone",
        ),
        (
            Alternative(
                "drawn among all, again only when they change",
                "processor time of a change",
                "ms",
                lambda s, z: z.workers * HASH_MICROS / 1e3,
                "needs the whole directory everywhere",
            ),
            Alternative(
                "the core names each holder",
                "log entries at a restart of a zone",
                "entries",
                lambda s, z: z.workers / ZONES,
                "no draw at nodes; the leader must judge loads and places too",
            ),
        ),
    ),
    Mechanism(
        "renewals of holds",
        "§7.2, §4.2",
        Alternative(
            "one renewal a node a second for all it holds, outside the log, after a confirm",
            "processor time, leader",
            "cores",
            lambda s, z: z.nodes * RENEWAL_MICROS / 1e6,
            "the log keeps new fences only; a new leader counts from its election, as today",
        ),
        (
            Alternative(
                "a Raft group a region",
                "processor time, one group",
                "cores",
                lambda s, z: s.slope("workers", "core, cores") * z.workers / REGIONS,
                "each region goes on when it is cut off; still an entry a renewal",
            ),
            Alternative(
                "256 groups of workers, one hold each",
                "log entries a second",
                "entries/s",
                lambda s, z: float(BUCKETS),
                "few entries; 39 workers lose their holder at once",
            ),
        ),
    ),
    Mechanism(
        "reports of kept blocks, and the index",
        "§6.5",
        Alternative(
            "80 shards, two on each relay's machine, poll the workers of their region each second",
            "processor time, one shard",
            "cores",
            _shard_cores,
            "split by region, then by a chain's first key: one shard knows a whole chain",
        ),
        (
            Alternative(
                "a filter of each worker's blocks at each node, 10 bits a block",
                "memory at a node",
                "B",
                lambda s, z: z.blocks * FILTER_BITS_PER_BLOCK / 8,
                "no question a job; far over 32 MB",
            ),
            Alternative(
                "no index: rendezvous on the first key",
                "prefill tokens saved, of those that could be",
                "",
                lambda s, z: 0.36,
                "36 % against 74 % (docs/measurements.md, `no-index` and `index`)",
            ),
        ),
    ),
    Mechanism(
        "tables of purge",
        "§6.4, §6.2",
        Alternative(
            "16 shards of volumes; a relay tells a shard's hash, and pairs where it changed",
            "traffic in at a node",
            "B/s",
            _shard_bytes,
            "pairs of revision one are left out, so a shard is what was bumped",
        ),
        (
            Alternative(
                "a table a volume, from the zone's relays",
                "traffic in at a node",
                "B/s",
                lambda s, z: z.tenants * z.models / TABLE_INTERVAL_SECONDS * 130,
                "20,000 tables in 20 s, most of them empty",
            ),
            Alternative(
                "a table a volume, relays only for those in use",
                "traffic in at a node",
                "B/s",
                lambda s, z: z.jobs / z.nodes * 120 / TABLE_INTERVAL_SECONDS * 130,
                "83 jobs a second for the 120 s that a volume is kept: up to 10,000 in use",
            ),
        ),
    ),
    Mechanism(
        "the list of loads",
        "§5.2, §7.1",
        Alternative(
            "loads told one by one, to the worker's region",
            "traffic in at a node, weights named, over 12 s",
            "B/s",
            lambda s, z: _load_bytes(s, z) * z.workers / REGIONS / 12,
            "a burst over the budget of the mean, for seconds; a day's mean is under 1 B/s",
        ),
        (
            Alternative(
                "256 buckets of workers, to all",
                "traffic in at a node, weights named, over 12 s",
                "B/s",
                lambda s, z: _load_bytes(s, z) * z.workers / BUCKETS * z.workers / 12,
                "each load sends 39 others again",
            ),
            Alternative(
                "weights by model, loads polled by holders alone",
                "questions a job",
                "",
                lambda s, z: 1.0,
                "nodes would ask a holder before each job",
            ),
        ),
    ),
    Mechanism(
        "lines of results",
        "§8.1",
        Alternative(
            "lines of one event round leave in one write, relayed as they came",
            "processor time a node",
            "cores",
            lambda s, z: s.slope("lines", "a job at a node, µs") / 4 * z.tokens / z.nodes / 1e6,
            "a quarter assumed: no JSON read and made anew a line; to be measured first",
        ),
        (
            Alternative(
                "eight processes a machine",
                "processor time a process",
                "cores",
                lambda s, z: s.slope("lines", "a job at a node, µs") * z.tokens / z.nodes / 8 / 1e6,
                "9,600 nodes for the control plane to carry",
            ),
            Alternative(
                "workers answer callers themselves",
                "processor time a node",
                "cores",
                lambda s, z: s.fits["lines", "a job at a node, µs"].intercept * z.jobs / z.nodes / 1e6,
                "callers would reach workers; no node could vouch for a stream's owner and end",
            ),
        ),
    ),
)


def node_control_traffic(s: AxisFits, z: FleetProfile) -> list[tuple[str, float]]:
    """Traffic of a node's control with all the ways that were chosen, by need, in bytes per second."""
    chosen = {m.need: m.chosen.value(s, z) for m in MECHANISMS if m.chosen.unit == "B/s"}
    return [
        ("the configuration term", chosen["the configuration term"]),
        ("changes of the configuration", chosen["changes of the configuration"]),
        ("hellos to two relays", 2.0 * (HELLO_BYTES + HELLO_RESULT_BYTES)),
        ("renewal of holds", 60.0 + 30 * z.workers / z.nodes + 60),
        ("tables of purge", chosen["tables of purge"]),
    ]


def mechanism_lines(s: AxisFits, z: FleetProfile = TARGET) -> list[str]:
    """The comparison and the sums for a node as Markdown tables, as docs/CAPACITY.md shows them."""
    lines = ["| need | replaces | way | its figure | at the target | |", "| --- | --- | --- | --- | --- | --- |"]
    for mechanism in MECHANISMS:
        for alternative in (mechanism.chosen, *mechanism.alternatives):
            is_chosen = alternative is mechanism.chosen
            lines.append(
                "| "
                + " | ".join(
                    [
                        mechanism.need if is_chosen else "",
                        mechanism.replaces if is_chosen else "",
                        f"**{alternative.name}**" if is_chosen else alternative.name,
                        alternative.figure,
                        value_text(alternative.value(s, z), alternative.unit),
                        alternative.rationale,
                    ]
                )
                + " |"
            )
    lines += ["", "| a node's control traffic with the ways chosen | |", "| --- | --- |"]
    traffic = node_control_traffic(s, z)
    lines += [f"| {name} | {value_text(value, 'B/s')} |" for name, value in traffic]
    index_traffic = (KEYS_PER_JOB * KEY_BYTES + 2 * INDEX_MESSAGE_BYTES) * z.jobs / z.nodes
    lines += [
        f"| sum, of 3 kB/s | {value_text(sum(v for _, v in traffic), 'B/s')} |",
        f"| beside it, with the jobs: a question a job to the index | {value_text(index_traffic, 'B/s')} |",
    ]
    idle_cores, poll_cores = s.at("nodes", "node, cores", z.nodes / ZONES + 2), _poll_cores(s, z.workers / z.nodes)
    lines += [
        "",
        "| a node's control, processor time with the ways chosen | |",
        "| --- | --- |",
        f"| at rest, as today in a fleet of its zone's size | {value_text(idle_cores, 'cores')} |",
        f"| holder, one poll a second for load and soundness | {value_text(poll_cores, 'cores')} |",
        f"| sum, of 0.028 cores | {value_text(idle_cores + poll_cores, 'cores')} |",
    ]
    return lines
