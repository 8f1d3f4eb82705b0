//! Choice of a replica for an attempt, and the availability of shards at a snapshot.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::View;
use super::searcher::SearcherRecord;
use crate::event::Reason;
use tt_model::SearcherId;
use tt_model::ShardId;
use tt_model::Snapshot;
use tt_model::VmId;

// A replica is slow if its median latency is more than this multiple of another one's. The
// estimates of equally fast replicas differ by less.
const SLOW_RATIO: f32 = 2.0;

/// Whether a searcher holds a snapshot, according to its last reply or status poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotStatus {
    /// The searcher reported this snapshot.
    Held,
    /// The searcher reported its snapshots without this one.
    NotHeld,
    /// The searcher has not reported any snapshots yet.
    Unknown,
}

/// What a replica is chosen for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// First attempt of a sub-query.
    Primary,
    /// First attempt of a sub-query. A replica that is due for a probe is chosen first.
    PrimaryOrProbe,
    /// Another attempt of a sub-query. Overloaded replicas are excluded.
    Retry,
    /// An attempt beside a late one, whose owner is given. Overloaded replicas are excluded,
    /// and replicas of another owner are preferred, because the owner may cause the delay.
    Hedge(Option<VmId>),
}

/// How well the replicas of a shard can serve a snapshot.
///
/// A replica of unknown snapshots is assumed to hold the snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShardAvailability {
    /// No replica that takes work holds the snapshot.
    Unavailable,
    /// Only ejected replicas hold the snapshot.
    EjectedOnly,
    /// A healthy replica holds the snapshot, but not all fast ones do.
    Healthy,
    /// All fast healthy replicas hold the snapshot, so that hedges are possible.
    AllFast,
}

/// The replica chosen for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Choice {
    pub(crate) searcher: SearcherId,
    pub(crate) probe: ProbeKind,
}

/// Whether an attempt is a probe of a replica that would otherwise not be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeKind {
    None,
    /// Probe of a replica that has had no attempt for a while.
    Idle,
    /// Probe of a replica that is ejected or known to be slow. The first hedge is due at
    /// once, so that the query does not have to wait for this replica.
    Unreliable,
}

// Rank of a replica, best first. A replica is chosen only if none has a better rank.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Preferred,
    // Overloaded, in slow start, of an unreachable or late owner, or of unknown snapshots.
    Fallback,
    Ejected,
}

impl View {
    /// Whether a searcher is known to hold `snapshot`.
    pub fn snapshot_status(&self, searcher: SearcherId, snapshot: Snapshot) -> SnapshotStatus {
        match &self.records[searcher].held {
            None => SnapshotStatus::Unknown,
            Some(held) if held.contains(&snapshot) => SnapshotStatus::Held,
            Some(_) => SnapshotStatus::NotHeld,
        }
    }

    /// How well the replicas of `shard` can serve `snapshot`.
    pub(crate) fn availability(&self, shard: ShardId, snapshot: Snapshot) -> ShardAvailability {
        let mut best = ShardAvailability::Unavailable;
        let mut fastest = f32::INFINITY;
        let mut fastest_without = f32::INFINITY;
        for &replica in self.replicas(shard) {
            let record = &self.records[replica];
            if record.lifecycle.is_leaving() {
                continue;
            }
            let holds = self.snapshot_status(replica, snapshot) != SnapshotStatus::NotHeld;
            if record.ejection.is_some() {
                if holds {
                    best = best.max(ShardAvailability::EjectedOnly);
                }
                continue;
            }
            // A replica without samples counts as fast.
            let median = record.latency.median_us();
            fastest = fastest.min(median.unwrap_or(f32::INFINITY));
            if holds {
                best = ShardAvailability::Healthy;
            } else {
                fastest_without = fastest_without.min(median.unwrap_or(0.0));
            }
        }
        let others_are_slow =
            fastest_without.is_infinite() || fastest_without > SLOW_RATIO * fastest;
        if best == ShardAvailability::Healthy && others_are_slow {
            return ShardAvailability::AllFast;
        }
        best
    }

    /// Chooses a replica: of two random ones of the best rank, the one with the lower cost
    /// by latency and load. `allow` returns false for replicas that must not be chosen.
    pub(crate) fn choose<F, R>(
        &mut self,
        shard: ShardId,
        snapshot: Snapshot,
        purpose: Purpose,
        allow: F,
        now: Instant,
        rng: &mut R,
    ) -> Option<Choice>
    where
        F: Fn(SearcherId) -> bool,
        R: Rng,
    {
        let mut best = Rank::Ejected;
        let mut count = 0;
        let mut pair: [Option<SearcherId>; 2] = [None, None];
        for &replica in self.replicas(shard) {
            let record = &self.records[replica];
            if record.lifecycle.is_leaving() || !allow(replica) {
                continue;
            }
            let held = self.snapshot_status(replica, snapshot);
            if held == SnapshotStatus::NotHeld || self.refuses_shard(replica, shard, now) {
                continue;
            }
            let overloaded = record.is_overloaded(now, self.settings.pressure_ttl);
            let same_owner = match purpose {
                Purpose::Primary | Purpose::PrimaryOrProbe => false,
                Purpose::Retry | Purpose::Hedge(_) if overloaded => continue,
                Purpose::Retry | Purpose::Hedge(None) => false,
                Purpose::Hedge(owner) => record.owner == owner,
            };
            if purpose == Purpose::PrimaryOrProbe && self.is_probe_due(record, now) {
                let probe = self.probe_kind(replica, shard);
                if let Some(ejection) = &mut self.records[replica].ejection {
                    ejection.next_probe = now + ejection.backoff;
                }
                return Some(Choice { searcher: replica, probe });
            }
            let rank = if record.ejection.is_some() {
                Rank::Ejected
            } else if overloaded
                || held == SnapshotStatus::Unknown
                || same_owner
                || self.is_owner_down(record, now)
                || self.is_slow_start_fallback(record, now, rng)
            {
                Rank::Fallback
            } else {
                Rank::Preferred
            };
            if rank > best {
                continue;
            }
            if rank < best {
                best = rank;
                count = 0;
                pair = [None, None];
            }
            // Reservoir sampling makes each pair of replicas of the best rank equally likely.
            count += 1;
            if count <= 2 {
                pair[count - 1] = Some(replica);
            } else {
                let slot = random_below(rng, count as u32);
                if slot < 2 {
                    pair[slot as usize] = Some(replica);
                }
            }
        }
        let searcher = match pair {
            [Some(a), Some(b)] => self.lower_cost(a, b, now, rng),
            [Some(a), None] | [None, Some(a)] => a,
            [None, None] => return None,
        };
        Some(Choice { searcher, probe: ProbeKind::None })
    }

    /// Chooses the next replica by round robin, for the baseline policy.
    pub(crate) fn choose_round_robin<F>(
        &mut self,
        shard: ShardId,
        snapshot: Snapshot,
        allow: F,
    ) -> Option<SearcherId>
    where
        F: Fn(SearcherId) -> bool,
    {
        let turn = self.next_turn(shard);
        let replicas = self.replicas(shard);
        (0..replicas.len()).map(|i| replicas[(turn + i) % replicas.len()]).find(|&replica| {
            !self.records[replica].lifecycle.is_leaving()
                && self.snapshot_status(replica, snapshot) != SnapshotStatus::NotHeld
                && allow(replica)
        })
    }

    /// Why no replica of a shard could be chosen.
    pub(crate) fn unserved_reason(&self, shard: ShardId) -> Reason {
        let leaving = |&replica: &SearcherId| self.records[replica].lifecycle.is_leaving();
        if self.replicas(shard).iter().all(leaving) {
            return Reason::NoReplica;
        }
        Reason::SnapshotGone
    }

    /// Whether any replica is excluded from another attempt only because it is overloaded.
    pub(crate) fn is_any_overloaded<F>(
        &self,
        shard: ShardId,
        snapshot: Snapshot,
        now: Instant,
        allow: F,
    ) -> bool
    where
        F: Fn(SearcherId) -> bool,
    {
        self.replicas(shard).iter().any(|&replica| {
            let record = &self.records[replica];
            record.is_overloaded(now, self.settings.pressure_ttl)
                && !record.lifecycle.is_leaving()
                && self.snapshot_status(replica, snapshot) != SnapshotStatus::NotHeld
                && !self.refuses_shard(replica, shard, now)
                && allow(replica)
        })
    }

    /// The delay after which an attempt at `shard` is late: the lowest `q` quantile of the
    /// latencies of its replicas, because a hedge goes to a faster replica. If no replica has
    /// enough samples, the quantile over all searchers; `None` if they have too few as well.
    pub(crate) fn hedge_delay(&self, shard: ShardId, q: f64) -> Option<Duration> {
        self.replicas(shard)
            .iter()
            .map(|&replica| &self.records[replica])
            .filter(|record| !record.lifecycle.is_leaving() && record.ejection.is_none())
            .filter_map(|record| record.latency.quantile(q))
            .min()
            .or_else(|| self.overall_latency.quantile(q))
    }

    /// Whether `waited` exceeds the 0.99 latency quantile of a searcher.
    pub(crate) fn is_overdue(&self, searcher: SearcherId, waited: Duration) -> bool {
        self.records[searcher].latency.quantile(0.99).is_some_and(|limit| waited > limit)
    }

    /// Whether `a` is known to be much slower than `b`.
    pub(crate) fn is_slower(&self, a: SearcherId, b: SearcherId) -> bool {
        match (self.records[a].latency.median_us(), self.records[b].latency.median_us()) {
            (Some(a), Some(b)) => a > SLOW_RATIO * b,
            _ => false,
        }
    }

    fn is_probe_due(&self, record: &SearcherRecord, now: Instant) -> bool {
        match &record.ejection {
            Some(ejection) => now >= ejection.next_probe,
            None => record.last_sent.is_some_and(|at| {
                now.saturating_duration_since(at) >= self.settings.idle_probe_delay
                    && record.latency.median_us().is_some()
            }),
        }
    }

    fn probe_kind(&self, searcher: SearcherId, shard: ShardId) -> ProbeKind {
        let slower = |&other: &SearcherId| self.is_slower(searcher, other);
        if self.records[searcher].ejection.is_some() || self.replicas(shard).iter().any(slower) {
            return ProbeKind::Unreliable;
        }
        ProbeKind::Idle
    }

    /// Whether a searcher in slow start is only a fallback this time. Decided at random, so that
    /// the searcher gets its share of the normal traffic.
    fn is_slow_start_fallback<R>(&self, record: &SearcherRecord, now: Instant, rng: &mut R) -> bool
    where
        R: Rng,
    {
        record
            .lifecycle
            .slow_start_share(now, self.settings.slow_start_step)
            .is_some_and(|share| random_below(rng, 256) >= share)
    }

    fn lower_cost<R>(&self, a: SearcherId, b: SearcherId, now: Instant, rng: &mut R) -> SearcherId
    where
        R: Rng,
    {
        let (x, y) = (&self.records[a], &self.records[b]);
        let ttl = self.settings.pressure_ttl;
        // A replica without samples is assumed to be as fast as the other replica.
        let cost_a = x.cost(y.latency.median_us().unwrap_or(1.0), now, ttl);
        let cost_b = y.cost(x.latency.median_us().unwrap_or(1.0), now, ttl);
        if cost_a < cost_b || (cost_a == cost_b && random_below(rng, 2) == 0) {
            return a;
        }
        b
    }
}

fn random_below<R>(rng: &mut R, limit: u32) -> u32
where
    R: Rng,
{
    ((u64::from(rng.next_u32()) * u64::from(limit)) >> 32) as u32
}
