//! Applies listings of searchers to the fleet. A listing may be stale, may lack searchers whose
//! registrations lapsed in an outage of the store, and may be forged.

use std::collections::HashMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::Time;
use crate::fleet::Fleet;
use crate::fleet::Searcher;
use crate::fleet::SearcherKey;
use crate::fleet::Succession;
use crate::outage::REWRITE_PERIOD;

/// The record of one searcher in a listing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SearcherRecord {
    /// The id under which it is registered at the store. A restarted searcher may keep it.
    pub id: String,
    /// Name of its pool.
    pub pool: String,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: SearcherState,
    /// Remaining time in which it is slow after its start.
    pub cold_left: Duration,
    /// When it started, in Unix milliseconds on its own clock.
    #[serde(rename = "born")]
    pub started_unix_ms: Option<u64>,
    /// Sequence number of its heartbeat, counted from its start.
    pub sequence: u64,
    /// Store revision at which its registration was created.
    #[serde(rename = "created")]
    pub create_revision: u64,
}

/// Whether a searcher accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SearcherState {
    /// It accepts new requests.
    Ready,
    /// It is leaving.
    Draining,
}

/// How searchers that are no longer listed are treated.
#[derive(Debug, Clone, Copy)]
pub struct RegistrySettings {
    /// Time after an outage of the store in which a searcher that is no longer listed is kept: its
    /// registration may have lapsed during the outage and be written again.
    pub outage_grace: Duration,
    /// Maximum time from the start of a searcher until it is registered.
    pub registration_delay: Duration,
}

impl Default for RegistrySettings {
    fn default() -> Self {
        RegistrySettings {
            outage_grace: REWRITE_PERIOD,
            // As long as the platform gives lapsed registrations to be written again.
            registration_delay: Duration::from_secs(2),
        }
    }
}

/// What is known of earlier reads of the store when a listing is adopted.
#[derive(Debug, Clone, Copy, Default)]
pub struct EarlierReads {
    /// The latest read at which the listing was still as adopted before.
    pub listed_until: Option<Time>,
    /// The first read after the last outage of the store.
    pub restored_at: Option<Time>,
}

#[derive(Debug)]
struct KnownSearcher {
    record: SearcherRecord,
    key: SearcherKey,
    /// The latest record that was written before `record`.
    earlier: Option<SearcherRecord>,
}

/// The registered searchers, by id.
#[derive(Debug)]
pub struct Registry {
    settings: RegistrySettings,
    known: HashMap<String, KnownSearcher>,
    /// Searchers that are no longer listed, by id.
    departed: HashMap<String, KnownSearcher>,
    /// Whether searchers are known that the last listing lacked.
    has_lapsed: bool,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new(settings: RegistrySettings) -> Registry {
        Registry { settings, known: HashMap::new(), departed: HashMap::new(), has_lapsed: false }
    }

    /// Whether searchers are kept that the newest listing lacks.
    pub fn has_lapsed(&self) -> bool {
        self.has_lapsed
    }

    /// Applies a whole listing to the fleet at the time `now`. Returns one log line for each change.
    pub fn adopt(
        &mut self,
        fleet: &mut Fleet,
        listing: Vec<SearcherRecord>,
        reads: EarlierReads,
        now: Time,
    ) -> Vec<String> {
        let mut changes = Vec::new();
        self.departed.retain(|_, it| fleet.remembers(it.key));
        // A searcher that is listed as started again had not started long before the read at which
        // it was still listed as before.
        let began_after = reads
            .listed_until
            .map_or(Time::ZERO, |at| at.saturating_sub(self.settings.registration_delay));
        let mut absent: Vec<String> = self.known.keys().cloned().collect();
        for record in listing {
            absent.retain(|id| *id != record.id);
            self.apply_record(fleet, record, began_after, now, &mut changes);
        }
        let in_grace = reads.restored_at.is_some_and(|at| now < at + self.settings.outage_grace);
        self.has_lapsed = in_grace && !absent.is_empty();
        if !in_grace {
            for id in absent {
                if let Some(known) = self.known.remove(&id) {
                    fleet.remove(known.key, now);
                    changes.push(format!("searcher={id} state=gone"));
                    self.departed.insert(id, known);
                }
            }
        }
        changes
    }

    fn apply_record(
        &mut self,
        fleet: &mut Fleet,
        record: SearcherRecord,
        began_after: Time,
        now: Time,
        changes: &mut Vec<String>,
    ) {
        if let Some(departed) = self.departed.get_mut(&record.id)
            && is_outdated(&departed.record, &record)
            && !is_advancing(departed.earlier.as_ref(), &record)
        {
            departed.earlier = Some(record);
            return;
        }
        let departed = self.departed.remove(&record.id);
        let mut former = departed
            .filter(|it| is_same_incarnation(&it.record, &record))
            .map(|it| (it.key, Succession::SameStart));
        if let Some(known) = self.known.get_mut(&record.id) {
            if known.record == record {
                // What is left of the time after its start counts from when it was first read.
                return;
            }
            match compare(&known.record, &record) {
                Relation::Stale if !is_advancing(known.earlier.as_ref(), &record) => {
                    known.earlier = Some(record);
                    return;
                }
                Relation::Same => {
                    if known.record.state != record.state {
                        changes.push(format!(
                            "searcher={} state={:?} sequence={}",
                            record.id, record.state, record.sequence
                        ));
                    }
                    let ready = record.state == SearcherState::Ready;
                    let alive = record.sequence > known.record.sequence;
                    fleet.update(known.key, ready, now + record.cold_left, alive);
                    known.record = record;
                    known.earlier = None;
                    return;
                }
                Relation::Stale | Relation::Restarted => {
                    let was_leaving = known.record.state == SearcherState::Draining;
                    fleet.remove(known.key, now);
                    former = Some((known.key, Succession::NewStart { began_after, was_leaving }));
                }
            }
        }
        changes.push(format!(
            "searcher={} state={:?} address={} domain={} sequence={}",
            record.id, record.state, record.address, record.domain, record.sequence
        ));
        let pool = fleet.pool(&record.pool);
        let key = fleet.add(Searcher {
            id: record.id.clone(),
            pool,
            address: record.address,
            domain: record.domain.clone(),
            slots: record.slots,
            cold_until: now + record.cold_left,
            ready: record.state == SearcherState::Ready,
        });
        if let Some((former, succession)) = former {
            fleet.inherit(key, former, succession);
        }
        self.known.insert(record.id.clone(), KnownSearcher { record, key, earlier: None });
    }
}

/// Digest of the searchers of a listing and their states. Heartbeats alone don't change it.
pub fn listing_digest(listing: &[SearcherRecord]) -> u64 {
    // The records of a listing may be in any order.
    listing.iter().fold(0, |sum, it| {
        let place = (&it.id, &it.pool, it.address, &it.domain);
        let state = (it.state == SearcherState::Ready, it.started_unix_ms, it.slots);
        let mut hasher = Xxh3::new();
        (place, state).hash(&mut hasher);
        sum ^ hasher.finish()
    })
}

/// How a record relates to the known one of the same id.
#[derive(Debug)]
enum Relation {
    /// It is older than the known one.
    Stale,
    /// It is of the same incarnation of the searcher.
    Same,
    /// It is of a new incarnation.
    Restarted,
}

/// Whether two records of one id are of the same start of the searcher.
fn is_same_incarnation(known: &SearcherRecord, new: &SearcherRecord) -> bool {
    match (known.started_unix_ms, new.started_unix_ms) {
        (Some(before), Some(after)) => before == after,
        _ => known.create_revision == new.create_revision,
    }
}

/// Whether a record with an earlier start than the known one comes from a searcher that runs: its
/// heartbeats advance, so the time of day of its machine has gone back before it started again. A
/// delayed heartbeat of an earlier start is read once.
fn is_advancing(before: Option<&SearcherRecord>, new: &SearcherRecord) -> bool {
    before.is_some_and(|before| {
        before.started_unix_ms.is_some()
            && before.started_unix_ms == new.started_unix_ms
            && before.sequence < new.sequence
    })
}

/// Whether a record of a searcher that is no longer listed was written before the last one that was
/// known of it. The store holds such records after it has come back from an older copy.
fn is_outdated(departed: &SearcherRecord, new: &SearcherRecord) -> bool {
    match compare(departed, new) {
        Relation::Stale => true,
        Relation::Same => is_same_incarnation(departed, new) && departed.sequence == new.sequence,
        Relation::Restarted => false,
    }
}

/// Compares a record with the known one of the same id. A delayed heartbeat must not undo what a
/// later one has reported.
fn compare(known: &SearcherRecord, new: &SearcherRecord) -> Relation {
    let moved = (known.address, &known.pool) != (new.address, &new.pool);
    match (known.started_unix_ms, new.started_unix_ms) {
        (Some(before), Some(after)) if after < before => Relation::Stale,
        (Some(before), Some(after)) if after > before => Relation::Restarted,
        // Of one start, the sequence tells. The revision of the creation may have been given out
        // again.
        (Some(_), Some(_)) if new.sequence < known.sequence => Relation::Stale,
        _ if new.sequence < known.sequence && new.create_revision == known.create_revision => {
            Relation::Stale
        }
        _ if new.sequence < known.sequence || moved => Relation::Restarted,
        _ => Relation::Same,
    }
}
