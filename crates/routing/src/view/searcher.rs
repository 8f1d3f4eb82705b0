//! What an entry knows of one searcher.

use std::time::Duration;

use tokio::time::Instant;

use crate::latency::LatencyEstimate;
use tt_model::ShardId;
use tt_model::Snapshot;
use tt_model::VmId;

// Shares of the normal traffic in the successive steps of slow start, in 256ths.
const SLOW_START_SHARES_256: [u32; 3] = [32, 64, 128];

#[derive(Debug, Clone)]
pub(super) struct SearcherRecord {
    pub(super) lifecycle: Lifecycle,
    pub(super) ejection: Option<Ejection>,
    pub(super) latency: LatencyEstimate,
    pub(super) in_flight: u32,
    pub(super) queued: u32,
    pub(super) slots: u32,
    pub(super) failures: u32,
    pub(super) owner: Option<VmId>,
    pub(super) pressure_at: Option<Instant>,
    pub(super) shed_until: Option<Instant>,
    // Time of the last answer; `None` if an attempt has failed since then.
    pub(super) last_answer: Option<Instant>,
    pub(super) last_sent: Option<Instant>,
    // Sorted; `None` while unknown.
    pub(super) held: Option<Vec<Snapshot>>,
    pub(super) shards: Vec<ShardId>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Lifecycle {
    Active,
    SlowStart {
        since: Instant,
    },
    Leaving {
        seen: Instant,
    },
    /// Leaving according to the document. No report or reply changes that.
    Retired,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Ejection {
    pub(super) next_probe: Instant,
    pub(super) backoff: Duration,
}

impl SearcherRecord {
    pub(super) fn new(slots: u32, lifecycle: Lifecycle) -> Self {
        SearcherRecord {
            lifecycle,
            ejection: None,
            latency: LatencyEstimate::default(),
            in_flight: 0,
            queued: 0,
            slots: slots.max(1),
            failures: 0,
            owner: None,
            pressure_at: None,
            shed_until: None,
            last_answer: None,
            last_sent: None,
            held: None,
            shards: Vec::new(),
        }
    }

    /// Takes over what is known of the same searcher under the previous document.
    pub(super) fn inherit(&mut self, previous: &SearcherRecord) {
        let lifecycle = match (self.lifecycle, previous.lifecycle) {
            (Lifecycle::Retired, _) => Lifecycle::Retired,
            // The new document no longer lists the searcher as leaving.
            (_, Lifecycle::Retired) => Lifecycle::Active,
            (_, lifecycle) => lifecycle,
        };
        *self = SearcherRecord {
            lifecycle,
            in_flight: 0,
            slots: self.slots,
            shards: std::mem::take(&mut self.shards),
            ..previous.clone()
        };
    }

    /// Relative cost of one more attempt: the median latency, or `latency` without samples,
    /// multiplied by one plus the number of sub-queries ahead of it for each slot. A pressure
    /// report older than `ttl` is not used.
    pub(super) fn cost(&self, latency: f32, now: Instant, ttl: Duration) -> f32 {
        let fresh = self.pressure_at.is_some_and(|at| now.saturating_duration_since(at) < ttl);
        let queued = if fresh { self.queued } else { 0 };
        let ahead = (self.in_flight + queued) as f32 / self.slots as f32;
        self.latency.median_us().unwrap_or(latency) * (1.0 + ahead)
    }

    /// Whether the searcher shed an attempt recently, or its owner reported, at most `ttl`
    /// ago, more queued sub-queries than slots.
    pub(super) fn is_overloaded(&self, now: Instant, ttl: Duration) -> bool {
        self.shed_until.is_some_and(|until| now < until)
            || (self.queued > self.slots
                && self.pressure_at.is_some_and(|at| now.saturating_duration_since(at) < ttl))
    }
}

impl Lifecycle {
    pub(super) fn is_leaving(self) -> bool {
        match self {
            Lifecycle::Leaving { .. } | Lifecycle::Retired => true,
            Lifecycle::Active | Lifecycle::SlowStart { .. } => false,
        }
    }

    /// The lifecycle at `now`: active if slow start has ended, otherwise unchanged.
    pub(super) fn refreshed(self, now: Instant, step: Duration) -> Lifecycle {
        match self {
            Lifecycle::SlowStart { .. } if self.slow_start_share(now, step).is_none() => {
                Lifecycle::Active
            }
            _ => self,
        }
    }

    /// Share of the normal traffic in 256ths; `None` outside slow start.
    pub(super) fn slow_start_share(self, now: Instant, step: Duration) -> Option<u32> {
        match self {
            Lifecycle::SlowStart { since } => {
                let elapsed = now.saturating_duration_since(since).as_micros();
                let steps = elapsed / step.as_micros().max(1);
                SLOW_START_SHARES_256.get(usize::try_from(steps).unwrap_or(usize::MAX)).copied()
            }
            Lifecycle::Active | Lifecycle::Leaving { .. } | Lifecycle::Retired => None,
        }
    }
}
