//! The evidence about one searcher.

use std::time::Duration;

use tokio::time::Instant;

use crate::latency::LatencyEstimate;
use tt_model::ShardId;
use tt_model::Snapshot;
use tt_model::VmId;

// Parts of the normal traffic in the steps of slow start, in 256ths.
const WARM_SHARES: [u32; 3] = [32, 64, 128];

#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) health: Health,
    pub(super) ejection: Option<Ejection>,
    pub(super) latency: LatencyEstimate,
    pub(super) in_flight: u32,
    pub(super) queued: u32,
    pub(super) slots: u32,
    pub(super) misses: u32,
    pub(super) owner: Option<VmId>,
    pub(super) queued_at: Option<Instant>,
    pub(super) shed_until: Option<Instant>,
    // The last answer, unless a failure came after it.
    pub(super) heard: Option<Instant>,
    pub(super) sent: Option<Instant>,
    // Sorted; `None` while unknown.
    pub(super) held: Option<Vec<Snapshot>>,
    pub(super) shards: Vec<ShardId>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Health {
    Active,
    Warming {
        since: Instant,
    },
    Leaving {
        seen: Instant,
    },
    /// Leaving by the document; no hint changes that.
    Retired,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Ejection {
    pub(super) probe: Instant,
    pub(super) pause: Duration,
}

impl Entry {
    pub(super) fn new(slots: u32, health: Health) -> Self {
        Entry {
            health,
            ejection: None,
            latency: LatencyEstimate::default(),
            in_flight: 0,
            queued: 0,
            slots: slots.max(1),
            misses: 0,
            owner: None,
            queued_at: None,
            shed_until: None,
            heard: None,
            sent: None,
            held: None,
            shards: Vec::new(),
        }
    }

    /// Takes over the evidence of the same searcher under an older document.
    pub(super) fn inherit(&mut self, before: &Entry) {
        let health = match (self.health, before.health) {
            (Health::Retired, _) => Health::Retired,
            // The new document says that the searcher is back.
            (_, Health::Retired) => Health::Active,
            (_, health) => health,
        };
        *self = Entry {
            health,
            in_flight: 0,
            slots: self.slots,
            shards: std::mem::take(&mut self.shards),
            ..before.clone()
        };
    }

    /// Relative cost of one more sub-query: the expected latency, or `latency` if there
    /// are no samples, lengthened by the work ahead of it.
    pub(super) fn cost(&self, latency: f32, now: Instant, hold: Duration) -> f32 {
        let fresh = self.queued_at.is_some_and(|at| now.saturating_duration_since(at) < hold);
        let queued = if fresh { self.queued } else { 0 };
        let ahead = (self.in_flight + queued) as f32 / self.slots as f32;
        self.latency.median_us().unwrap_or(latency) * (1.0 + ahead)
    }

    /// Whether the searcher shed work lately or its owner reports a long queue.
    pub(super) fn is_overloaded(&self, now: Instant, hold: Duration) -> bool {
        self.shed_until.is_some_and(|until| now < until)
            || (self.queued > self.slots
                && self.queued_at.is_some_and(|at| now.saturating_duration_since(at) < hold))
    }
}

impl Health {
    pub(super) fn is_leaving(self) -> bool {
        match self {
            Health::Leaving { .. } | Health::Retired => true,
            Health::Active | Health::Warming { .. } => false,
        }
    }

    /// The health with a slow start that has ended taken as over.
    pub(super) fn settled(self, now: Instant, step: Duration) -> Health {
        match self {
            Health::Warming { .. } if self.warm_share(now, step).is_none() => Health::Active,
            _ => self,
        }
    }

    /// The part of normal traffic in 256ths, or `None` for all of it.
    pub(super) fn warm_share(self, now: Instant, step: Duration) -> Option<u32> {
        match self {
            Health::Warming { since } => {
                let elapsed = now.saturating_duration_since(since).as_micros();
                let steps = elapsed / step.as_micros().max(1);
                WARM_SHARES.get(usize::try_from(steps).unwrap_or(usize::MAX)).copied()
            }
            Health::Active | Health::Leaving { .. } | Health::Retired => None,
        }
    }
}
