//! What an entry knows of the searchers of an environment.
//!
//! Evidence comes from replies (in-band) and from hints such as status polls and
//! heartbeats. In-band evidence outranks hints about health; a statement that a
//! searcher is leaving is believed from any source at once.

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

// Taken as the latency of a searcher without samples when it does not answer. Without it, a
// caller that cancels early would count against searchers that had no time to answer.
const DEFAULT_LATENCY_US: f32 = 50_000.0;

/// The state of a searcher as this entry sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearcherStatus {
    /// Takes its full part of the work.
    Ready,
    /// Started lately; takes a part that grows in steps.
    SlowStart,
    /// Gets no new work.
    Leaving,
    /// Failed lately; gets single probes.
    Ejected,
}

/// A statement about a searcher that does not come from a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusReport {
    /// A status poll says that the searcher takes work.
    Ready,
    /// A status poll says that the searcher has just started.
    Cold,
    /// A status poll, a heartbeat or the list of daemons says that the searcher is leaving.
    Leaving,
    /// A health check failed.
    Unhealthy,
}

/// Queue pressure at a searcher as reported by its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pressure {
    /// Sub-queries waiting in the searcher's queue.
    pub queued: u32,
    /// Sub-queries running at the searcher.
    pub busy: u32,
}

/// Why a sub-query brought no answer, as evidence about the searcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptFailure {
    /// The searcher or its queue was full.
    Shed,
    /// The searcher is leaving.
    Draining,
    /// The searcher does not serve the shard.
    WrongShard,
    /// The searcher refused the connection, or the call broke.
    CallFailed,
    /// The owner daemon was not reached.
    OwnerUnreachable,
}

/// What an entry knows of the searchers of an environment.
#[derive(Debug, Clone)]
pub struct View {
    environment: Arc<Environment>,
    settings: HealthSettings,
    records: Arena<SearcherId, SearcherRecord>,
    // Snapshots held by any searcher with the number of holders, oldest first.
    holders: Vec<Holders>,
    refusals: Vec<ShardRefusal>,
    owners_down: Vec<OwnerDown>,
    round_robin: Arena<ShardId, u32>,
    // Of all searchers, for those with too few samples of their own.
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
    /// A view without evidence: every searcher that the document does not call leaving
    /// counts as ready.
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

    /// A view of a newer document that keeps the evidence about searchers with the same
    /// name and address.
    pub fn successor(&self, environment: Arc<Environment>) -> Self {
        let mut view = View::new(environment, self.settings.clone());
        view.overall_latency = self.overall_latency.clone();
        let old: HashMap<&str, SearcherId> =
            self.environment.searchers.iter().map(|(id, s)| (s.name.as_str(), id)).collect();
        let environment = Arc::clone(&view.environment);
        for (id, searcher) in environment.searchers.iter() {
            let Some(&before) = old.get(searcher.name.as_str()) else { continue };
            if self.environment.searchers[before].address == searcher.address {
                view.records[id].inherit(&self.records[before]);
                for &snapshot in self.records[before].held.iter().flatten() {
                    view.count_holder(snapshot);
                }
            }
        }
        view
    }

    /// The environment that the view is about.
    pub fn environment(&self) -> &Arc<Environment> {
        &self.environment
    }

    /// The state of a searcher.
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

    /// The median latency of a searcher, or `None` without samples.
    pub fn median_latency(&self, searcher: SearcherId) -> Option<Duration> {
        let us = self.records[searcher].latency.median_us()?;
        Some(Duration::from_micros(us as u64))
    }

    /// The snapshots that a searcher holds, oldest first, or `None` while unknown.
    pub fn held_snapshots(&self, searcher: SearcherId) -> Option<&[Snapshot]> {
        self.records[searcher].held.as_deref()
    }

    /// The daemon that owns a searcher, if known.
    pub fn owner(&self, searcher: SearcherId) -> Option<VmId> {
        self.records[searcher].owner
    }

    /// Sub-queries of this entry in flight to a searcher.
    pub fn in_flight(&self, searcher: SearcherId) -> u32 {
        self.records[searcher].in_flight
    }

    /// Takes in a hint.
    pub fn report_status(&mut self, searcher: SearcherId, report: StatusReport, now: Instant) {
        let settings = &self.settings;
        let Some(record) = self.records.get(searcher) else { return };
        let fresh = record
            .last_answer
            .is_some_and(|at| now.saturating_duration_since(at) < settings.evidence_ttl);
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
                // A hint does not end an ejection; it only lets the next probe go out.
                if let Some(ejection) = &mut record.ejection {
                    ejection.next_probe = now;
                }
            }
            (StatusReport::Cold, Lifecycle::Active) if !fresh => {
                record.lifecycle = Lifecycle::SlowStart { since: now };
            }
            (StatusReport::Cold, _) => {}
            (StatusReport::Unhealthy, _) if !fresh => self.eject(searcher, now),
            (StatusReport::Unhealthy, _) => {}
        }
    }

    /// Takes in the snapshots that a searcher holds, from a reply or a status poll.
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
        let before = self.records[searcher].held.replace(sorted);
        for snapshot in before.into_iter().flatten() {
            if let Ok(at) = self.holders.binary_search_by_key(&snapshot, |h| h.snapshot) {
                self.holders[at].count -= 1;
                if self.holders[at].count == 0 {
                    self.holders.remove(at);
                }
            }
        }
    }

    /// Takes in that a searcher does not hold `snapshot` any more.
    pub(crate) fn remove_held(&mut self, searcher: SearcherId, snapshot: Snapshot) {
        let Some(held) = &self.records[searcher].held else { return };
        let rest: Vec<Snapshot> = held.iter().copied().filter(|&other| other != snapshot).collect();
        self.set_held_snapshots(searcher, &rest);
    }

    /// Takes in the queue pressure at a searcher.
    pub fn set_pressure(&mut self, searcher: SearcherId, pressure: Pressure, now: Instant) -> Load {
        let Some(record) = self.records.get(searcher) else { return Load::Normal };
        let slots = record.slots;
        let record = &mut self.records[searcher];
        record.queued = pressure.queued;
        record.pressure_at = Some(now);
        if pressure.queued > slots { Load::Overloaded } else { Load::Normal }
    }

    /// Names the daemon that owns a searcher.
    pub fn set_owner(&mut self, searcher: SearcherId, owner: VmId) {
        if self.records.get(searcher).is_some() {
            self.records[searcher].owner = Some(owner);
        }
    }

    /// The snapshots that any searcher is known to hold, newest first.
    pub(crate) fn snapshots(&self) -> impl Iterator<Item = Snapshot> {
        self.holders.iter().rev().map(|holders| holders.snapshot)
    }

    pub(crate) fn record_sent(&mut self, searcher: SearcherId, now: Instant) {
        let record = &mut self.records[searcher];
        record.in_flight += 1;
        record.last_sent = Some(now);
    }

    /// Ends the count of a sub-query in flight, whatever became of it.
    pub(crate) fn record_ended(&mut self, searcher: SearcherId) {
        let record = &mut self.records[searcher];
        record.in_flight = record.in_flight.saturating_sub(1);
    }

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

    /// Takes in that a sub-query got no answer within `waited`.
    pub(crate) fn record_no_answer(
        &mut self,
        searcher: SearcherId,
        waited: Duration,
        now: Instant,
    ) {
        let record = &mut self.records[searcher];
        let usual = record.latency.median_us().unwrap_or(DEFAULT_LATENCY_US);
        let slow = waited.as_micros() as f32 > 2.0 * usual;
        record.latency.add_lower_bound(waited);
        if slow {
            self.count_failure(searcher, now);
        }
    }

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

    /// Ejects a searcher unless that takes more than half of the replicas, or the last
    /// usable one, from a shard that it serves.
    fn eject(&mut self, searcher: SearcherId, now: Instant) {
        let record = &self.records[searcher];
        if record.ejection.is_some() || record.lifecycle.is_leaving() {
            return;
        }
        let allowed = record.shards.iter().all(|&shard| {
            let replicas = &self.environment.shards[shard].replicas;
            let others = replicas.iter().filter(|&&r| r != searcher).map(|&r| &self.records[r]);
            let ejected = others.clone().filter(|other| other.ejection.is_some()).count();
            let usable =
                others.filter(|o| o.ejection.is_none() && !o.lifecycle.is_leaving()).count();
            ejected < replicas.len() / 2 && usable > 0
        });
        if allowed {
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
        // Empty but for a document that disagrees with the searchers.
        self.refusals.iter().any(|r| r.searcher == searcher && r.shard == shard && now < r.until)
    }

    fn is_owner_down(&self, record: &SearcherRecord, now: Instant) -> bool {
        // Empty but for a lost or partitioned owner.
        self.owners_down.iter().any(|down| record.owner == Some(down.owner) && now < down.until)
    }

    /// All replicas of a shard.
    pub(crate) fn replicas(&self, shard: ShardId) -> &[SearcherId] {
        &self.environment.shards[shard].replicas
    }
}
