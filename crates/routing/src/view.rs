//! An entry's knowledge of the searchers of an environment.
//!
//! The knowledge comes from replies to the entry's own attempts and from status reports,
//! such as status polls and heartbeats. Recent replies outrank reports that a searcher is
//! cold or unhealthy. A report that a searcher is leaving takes effect at once, whatever its
//! source.

mod choose;
mod searcher;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use tt_model::Arena;
use tt_model::Environment;
use tt_model::SearcherId;
use tt_model::SearcherState;
use tt_model::ShardId;
use tt_model::Snapshot;
use tt_model::VmId;

pub(crate) use self::choose::Choice;
pub(crate) use self::choose::ProbeKind;
pub(crate) use self::choose::Purpose;
pub(crate) use self::choose::ShardAvailability;
pub use self::choose::SnapshotStatus;
use self::searcher::Ejection;
use self::searcher::Lifecycle;
use self::searcher::SearcherRecord;
use crate::budget::Load;
use crate::latency::LatencyEstimate;
use crate::settings::HealthSettings;

// Latency assumed for a searcher without samples, to decide whether an unanswered attempt
// counts as a failure. Without it, attempts that callers cancel before an answer could arrive
// would count as failures of the searcher.
const DEFAULT_LATENCY_US: f32 = 50_000.0;

/// The status of a searcher, as this entry concludes from replies and reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearcherStatus {
    /// Gets its full share of the traffic.
    Ready,
    /// Started or recovered recently, and gets a share of the traffic that grows in steps.
    SlowStart,
    /// Gets no new work.
    Leaving,
    /// Failed repeatedly. Gets only probes, unless a shard has no better replica.
    Ejected,
}

/// A report about a searcher that does not come from a reply to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusReport {
    /// A status poll found that the searcher takes work.
    Ready,
    /// A status poll found that the searcher has just started.
    Cold,
    /// A status poll, a heartbeat or the list of members shows that the searcher is leaving.
    Leaving,
    /// A health check failed.
    Unhealthy,
}

/// Queue pressure at a searcher, as its owner reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pressure {
    /// Sub-queries waiting in the searcher's queue.
    pub queued: u32,
    /// Sub-queries running at the searcher.
    pub busy: u32,
}

/// Why an attempt brought no answer, as far as it tells something about the searcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptFailure {
    /// The searcher or its queue was full.
    Shed,
    /// The searcher is draining.
    Draining,
    /// The searcher does not serve the shard.
    WrongShard,
    /// The searcher refused the connection, or the connection broke.
    CallFailed,
    /// The owner could not be reached.
    OwnerUnreachable,
}

/// An entry's knowledge of the searchers of an environment.
#[derive(Debug, Clone)]
pub struct View {
    environment: Arc<Environment>,
    settings: HealthSettings,
    records: Arena<SearcherId, SearcherRecord>,
    // The snapshots that at least one searcher holds, oldest first.
    holders: Vec<Holders>,
    refusals: Vec<ShardRefusal>,
    owners_down: Vec<OwnerDown>,
    // For each shard, the counter of the baseline's round robin.
    round_robin: Arena<ShardId, u32>,
    // Latency of all searchers together, for those with too few samples of their own.
    overall_latency: LatencyEstimate,
}

#[derive(Debug, Clone)]
struct Holders {
    snapshot: Snapshot,
    count: u32,
}

#[derive(Debug, Clone)]
struct ShardRefusal {
    searcher: SearcherId,
    shard: ShardId,
    until: Instant,
}

#[derive(Debug, Clone)]
struct OwnerDown {
    owner: VmId,
    until: Instant,
}

impl View {
    /// Creates a view in which nothing has been observed yet: searchers are leaving if the
    /// document says so, and ready otherwise.
    pub fn new(environment: Arc<Environment>, settings: HealthSettings) -> Self {
        let mut records: Arena<SearcherId, SearcherRecord> = environment
            .searchers
            .values()
            .map(|searcher| {
                SearcherRecord::new(
                    searcher.slots,
                    match searcher.state {
                        SearcherState::Active => Lifecycle::Active,
                        SearcherState::Leaving => Lifecycle::Retired,
                    },
                )
            })
            .collect();
        for (id, shard) in environment.shards.iter() {
            for &replica in &shard.replicas {
                records[replica].shards.push(id);
            }
        }
        let round_robin = environment.shards.keys().map(|_| 0).collect();
        View {
            environment,
            settings,
            records,
            holders: Vec::new(),
            refusals: Vec::new(),
            owners_down: Vec::new(),
            round_robin,
            overall_latency: LatencyEstimate::default(),
        }
    }

    /// Creates the view for a newer document. It keeps what is known of the searchers whose
    /// name and address are unchanged.
    pub fn successor(&self, environment: Arc<Environment>) -> Self {
        let mut view = View::new(environment, self.settings.clone());
        view.overall_latency = self.overall_latency.clone();
        let old_ids: HashMap<&str, SearcherId> =
            self.environment.searchers.iter().map(|(id, s)| (s.name.as_str(), id)).collect();
        let environment = Arc::clone(&view.environment);
        for (id, searcher) in environment.searchers.iter() {
            let Some(&previous) = old_ids.get(searcher.name.as_str()) else { continue };
            if self.environment.searchers[previous].address == searcher.address {
                view.records[id].inherit(&self.records[previous]);
                for &snapshot in self.records[previous].held.iter().flatten() {
                    view.count_holder(snapshot);
                }
            }
        }
        view
    }

    /// The environment whose searchers the view describes.
    pub fn environment(&self) -> &Arc<Environment> {
        &self.environment
    }

    /// The status of a searcher at `now`.
    pub fn status(&self, searcher: SearcherId, now: Instant) -> SearcherStatus {
        let record = &self.records[searcher];
        if record.lifecycle.is_leaving() {
            return SearcherStatus::Leaving;
        }
        if record.ejection.is_some() {
            return SearcherStatus::Ejected;
        }
        match record.lifecycle.slow_start_share(now, self.settings.slow_start_step) {
            Some(_) => SearcherStatus::SlowStart,
            None => SearcherStatus::Ready,
        }
    }

    /// The median latency of a searcher; `None` without samples.
    pub fn median_latency(&self, searcher: SearcherId) -> Option<Duration> {
        let us = self.records[searcher].latency.median_us()?;
        Some(Duration::from_micros(us as u64))
    }

    /// The snapshots that a searcher holds, oldest first; `None` while unknown.
    pub fn held_snapshots(&self, searcher: SearcherId) -> Option<&[Snapshot]> {
        self.records[searcher].held.as_deref()
    }

    /// The owner of a searcher, if known.
    pub fn owner(&self, searcher: SearcherId) -> Option<VmId> {
        self.records[searcher].owner
    }

    /// The number of this entry's attempts in flight to a searcher.
    pub fn in_flight(&self, searcher: SearcherId) -> u32 {
        self.records[searcher].in_flight
    }

    /// Updates the status of a searcher from a report.
    pub fn report_status(&mut self, searcher: SearcherId, report: StatusReport, now: Instant) {
        let settings = &self.settings;
        let Some(record) = self.records.get(searcher) else { return };
        let answered_recently = record
            .last_answer
            .is_some_and(|at| now.saturating_duration_since(at) < settings.answer_ttl);
        let leaving_ttl = settings.leaving_ttl;
        let step = settings.slow_start_step;
        let record = &mut self.records[searcher];
        record.lifecycle = record.lifecycle.refreshed(now, step);
        match (report, record.lifecycle) {
            (_, Lifecycle::Retired) => {}
            (StatusReport::Leaving, _) => record.lifecycle = Lifecycle::Leaving { seen: now },
            (StatusReport::Ready | StatusReport::Cold, Lifecycle::Leaving { seen }) => {
                if now.saturating_duration_since(seen) >= leaving_ttl {
                    record.lifecycle = Lifecycle::SlowStart { since: now };
                }
            }
            (StatusReport::Ready, _) => {
                // A report does not end an ejection. It only makes the next probe due.
                if let Some(ejection) = &mut record.ejection {
                    ejection.next_probe = now;
                }
            }
            (StatusReport::Cold, Lifecycle::Active) if !answered_recently => {
                record.lifecycle = Lifecycle::SlowStart { since: now };
            }
            (StatusReport::Cold, _) => {}
            (StatusReport::Unhealthy, _) if !answered_recently => self.eject(searcher, now),
            (StatusReport::Unhealthy, _) => {}
        }
    }

    /// Sets the snapshots that a searcher holds, as a reply or a status poll reports them.
    pub fn set_held_snapshots(&mut self, searcher: SearcherId, held: &[Snapshot]) {
        let Some(record) = self.records.get(searcher) else { return };
        if record.held.as_deref() == Some(held) {
            return;
        }
        let mut sorted = held.to_vec();
        sorted.sort_unstable();
        sorted.dedup();
        if record.held.as_deref() == Some(&sorted[..]) {
            return;
        }
        for &snapshot in &sorted {
            self.count_holder(snapshot);
        }
        let previous = self.records[searcher].held.replace(sorted);
        for snapshot in previous.into_iter().flatten() {
            if let Ok(at) = self.holders.binary_search_by_key(&snapshot, |h| h.snapshot) {
                self.holders[at].count -= 1;
                if self.holders[at].count == 0 {
                    self.holders.remove(at);
                }
            }
        }
    }

    /// Records that a searcher no longer holds `snapshot`.
    pub(crate) fn remove_held(&mut self, searcher: SearcherId, snapshot: Snapshot) {
        let Some(held) = &self.records[searcher].held else { return };
        let rest: Vec<Snapshot> = held.iter().copied().filter(|&other| other != snapshot).collect();
        self.set_held_snapshots(searcher, &rest);
    }

    /// Sets the queue pressure at a searcher and returns what it means for the retry budget.
    pub fn set_pressure(&mut self, searcher: SearcherId, pressure: Pressure, now: Instant) -> Load {
        let Some(record) = self.records.get(searcher) else { return Load::Normal };
        let slots = record.slots;
        let record = &mut self.records[searcher];
        record.queued = pressure.queued;
        record.pressure_at = Some(now);
        if pressure.queued > slots { Load::Overloaded } else { Load::Normal }
    }

    /// Sets the owner of a searcher.
    pub fn set_owner(&mut self, searcher: SearcherId, owner: VmId) {
        if self.records.get(searcher).is_some() {
            self.records[searcher].owner = Some(owner);
        }
    }

    /// The snapshots that any searcher is known to hold, newest first.
    pub(crate) fn snapshots(&self) -> impl Iterator<Item = Snapshot> {
        self.holders.iter().rev().map(|holders| holders.snapshot)
    }

    /// Counts an attempt as in flight.
    pub(crate) fn record_sent(&mut self, searcher: SearcherId, now: Instant) {
        let record = &mut self.records[searcher];
        record.in_flight += 1;
        record.last_sent = Some(now);
    }

    /// Counts an attempt as no longer in flight, however it ended.
    pub(crate) fn record_ended(&mut self, searcher: SearcherId) {
        let record = &mut self.records[searcher];
        record.in_flight = record.in_flight.saturating_sub(1);
    }

    /// Records an answer. It ends an ejection; slow start follows.
    pub(crate) fn record_answer(&mut self, searcher: SearcherId, latency: Duration, now: Instant) {
        let record = &mut self.records[searcher];
        record.latency.add_sample(latency);
        self.overall_latency.add_sample(latency);
        record.last_answer = Some(now);
        record.failures = 0;
        record.shed_until = None;
        if record.ejection.take().is_some() {
            record.lifecycle = match record.lifecycle {
                Lifecycle::Active | Lifecycle::SlowStart { .. } => {
                    Lifecycle::SlowStart { since: now }
                }
                Lifecycle::Leaving { .. } | Lifecycle::Retired => record.lifecycle,
            };
        }
        if self.owners_down.is_empty() {
            return;
        }
        let owner = self.records[searcher].owner;
        self.owners_down.retain(|down| Some(down.owner) != owner);
    }

    /// Records a cancelled attempt that had no answer after `waited`. It counts as a failure
    /// if that is more than twice the searcher's median latency.
    pub(crate) fn record_no_answer(
        &mut self,
        searcher: SearcherId,
        waited: Duration,
        now: Instant,
    ) {
        let record = &mut self.records[searcher];
        let median = record.latency.median_us().unwrap_or(DEFAULT_LATENCY_US);
        let slow = waited.as_micros() as f32 > 2.0 * median;
        record.latency.add_lower_bound(waited);
        if slow {
            self.count_failure(searcher, now);
        }
    }

    /// Records an attempt that failed or was not executed.
    pub(crate) fn record_failure(
        &mut self,
        searcher: SearcherId,
        shard: ShardId,
        failure: AttemptFailure,
        now: Instant,
    ) {
        match failure {
            AttemptFailure::Shed => {
                self.records[searcher].shed_until = Some(now + self.settings.shed_ttl);
            }
            AttemptFailure::Draining => self.report_status(searcher, StatusReport::Leaving, now),
            AttemptFailure::WrongShard => {
                self.refusals.retain(|refusal| refusal.until > now);
                let until = now + self.settings.wrong_shard_ttl;
                self.refusals.push(ShardRefusal { searcher, shard, until });
            }
            AttemptFailure::CallFailed => {
                self.records[searcher].last_answer = None;
                self.count_failure(searcher, now);
            }
            AttemptFailure::OwnerUnreachable => {
                let Some(owner) = self.records[searcher].owner else { return };
                let until = now + self.settings.owner_down_ttl;
                self.owners_down.retain(|down| down.until > now && down.owner != owner);
                self.owners_down.push(OwnerDown { owner, until });
            }
        }
    }

    fn count_failure(&mut self, searcher: SearcherId, now: Instant) {
        let settings = &self.settings;
        let record = &mut self.records[searcher];
        record.failures = record.failures.saturating_add(1);
        if let Some(ejection) = &mut record.ejection {
            ejection.backoff = (ejection.backoff * 2).min(settings.max_probe_delay);
            ejection.next_probe = now + ejection.backoff;
            return;
        }
        if record.failures >= settings.max_failures {
            self.eject(searcher, now);
        }
    }

    /// Ejects a searcher, unless a shard that it serves would then have more than half of
    /// its replicas ejected, or no usable replica left.
    fn eject(&mut self, searcher: SearcherId, now: Instant) {
        let record = &self.records[searcher];
        if record.ejection.is_some() || record.lifecycle.is_leaving() {
            return;
        }
        let is_allowed = record.shards.iter().all(|&shard| {
            let replicas = &self.environment.shards[shard].replicas;
            let others = replicas.iter().filter(|&&r| r != searcher).map(|&r| &self.records[r]);
            let ejected = others.clone().filter(|other| other.ejection.is_some()).count();
            let usable =
                others.filter(|o| o.ejection.is_none() && !o.lifecycle.is_leaving()).count();
            ejected < replicas.len() / 2 && usable > 0
        });
        if is_allowed {
            let backoff = self.settings.probe_delay;
            self.records[searcher].ejection = Some(Ejection { next_probe: now + backoff, backoff });
        }
    }

    fn count_holder(&mut self, snapshot: Snapshot) {
        match self.holders.binary_search_by_key(&snapshot, |h| h.snapshot) {
            Ok(at) => self.holders[at].count += 1,
            Err(at) => self.holders.insert(at, Holders { snapshot, count: 1 }),
        }
    }

    fn next_turn(&mut self, shard: ShardId) -> usize {
        let turn = &mut self.round_robin[shard];
        *turn = turn.wrapping_add(1);
        *turn as usize
    }

    fn refuses_shard(&self, searcher: SearcherId, shard: ShardId, now: Instant) -> bool {
        // The list is empty unless the document and the searchers disagree.
        self.refusals.iter().any(|r| r.searcher == searcher && r.shard == shard && now < r.until)
    }

    fn is_owner_down(&self, record: &SearcherRecord, now: Instant) -> bool {
        // The list is empty unless an owner is lost or partitioned.
        self.owners_down.iter().any(|down| record.owner == Some(down.owner) && now < down.until)
    }

    /// All replicas of a shard in the document, whatever their status.
    pub(crate) fn replicas(&self, shard: ShardId) -> &[SearcherId] {
        &self.environment.shards[shard].replicas
    }
}
