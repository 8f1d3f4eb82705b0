//! Which registered searchers are there, from listings that may lag, lapse or be forged.

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

/// What a listing says of one searcher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SearcherRecord {
    /// Its id.
    pub id: String,
    /// Name of its pool.
    pub pool: String,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: SearcherState,
    /// How much longer it is slow after its start.
    pub cold_left: Duration,
    /// When it started, in Unix milliseconds of its own clock.
    #[serde(rename = "born")]
    pub started_unix_ms: Option<u64>,
    /// Number of its heartbeat since its start.
    pub sequence: u64,
    /// Store revision at which its registration was created.
    #[serde(rename = "created")]
    pub create_revision: u64,
}

/// Whether a searcher takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SearcherState {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// How absent searchers are treated.
#[derive(Debug, Clone, Copy)]
pub struct RegistrySettings {
    /// Time after an outage of the store in which a searcher that is no longer listed is kept:
    /// its registration may have lapsed meanwhile and be written again.
    pub outage_grace: Duration,
}

impl Default for RegistrySettings {
    fn default() -> Self {
        RegistrySettings { outage_grace: Duration::from_millis(2300) }
    }
}

#[derive(Debug)]
struct Known {
    sighting: SearcherRecord,
    key: SearcherKey,
}

/// All searchers that are registered.
#[derive(Debug)]
pub struct Registry {
    settings: RegistrySettings,
    known: HashMap<String, Known>,
}

impl Registry {
    /// Knows no searcher.
    pub fn new(settings: RegistrySettings) -> Registry {
        Registry { settings, known: HashMap::new() }
    }

    /// Searchers that are kept though the newest listing lacks them.
    pub fn has_lapsed(&self, listing: &[SearcherRecord]) -> bool {
        self.known.len() > listing.len()
    }

    /// Adopts a whole listing, read at `now`. `restored` is when the store last came back after
    /// calls to it had failed. Returns one line for each change, for the log.
    pub fn adopt(
        &mut self,
        fleet: &mut Fleet,
        listing: Vec<SearcherRecord>,
        restored: Option<Time>,
        now: Time,
    ) -> Vec<String> {
        let mut changes = Vec::new();
        let mut absent: Vec<String> = self.known.keys().cloned().collect();
        for sighting in listing {
            absent.retain(|id| *id != sighting.id);
            self.see(fleet, sighting, now, &mut changes);
        }
        let lapsed = restored.is_some_and(|at| now < at + self.settings.outage_grace);
        if !lapsed {
            for id in absent {
                if let Some(known) = self.known.remove(&id) {
                    fleet.remove(known.key);
                    changes.push(format!("searcher={id} state=gone"));
                }
            }
        }
        changes
    }

    fn see(
        &mut self,
        fleet: &mut Fleet,
        sighting: SearcherRecord,
        now: Time,
        changes: &mut Vec<String>,
    ) {
        if let Some(known) = self.known.get_mut(&sighting.id) {
            match compare(&known.sighting, &sighting) {
                Relation::Stale => return,
                Relation::Same => {
                    if known.sighting.state != sighting.state {
                        changes.push(format!(
                            "searcher={} state={:?} sequence={}",
                            sighting.id, sighting.state, sighting.sequence
                        ));
                    }
                    let ready = sighting.state == SearcherState::Ready;
                    let alive = sighting.sequence > known.sighting.sequence;
                    fleet.update(known.key, ready, now + sighting.cold_left, alive);
                    known.sighting = sighting;
                    return;
                }
                Relation::Restarted => fleet.remove(known.key),
            }
        }
        changes.push(format!(
            "searcher={} state={:?} address={} domain={} sequence={}",
            sighting.id, sighting.state, sighting.address, sighting.domain, sighting.sequence
        ));
        let pool = fleet.pool(&sighting.pool);
        let key = fleet.add(Searcher {
            id: sighting.id.clone(),
            pool,
            address: sighting.address,
            domain: sighting.domain.clone(),
            slots: sighting.slots,
            cold_until: now + sighting.cold_left,
            ready: sighting.state == SearcherState::Ready,
        });
        self.known.insert(sighting.id.clone(), Known { sighting, key });
    }
}

/// Identifies the searchers of a listing and their states. Heartbeats alone don't change it.
pub fn listing_digest(listing: &[SearcherRecord]) -> u64 {
    // Listings may come in any order.
    listing.iter().fold(0, |sum, it| {
        let state =
            (&it.id, &it.pool, it.address, it.state == SearcherState::Ready, it.started_unix_ms);
        let mut hasher = Xxh3::new();
        state.hash(&mut hasher);
        sum ^ hasher.finish()
    })
}

#[derive(Debug)]
enum Relation {
    Stale,
    Same,
    Restarted,
}

/// How a sighting relates to the one that is known of the same id. A late heartbeat of an
/// earlier time must not undo what a later one has said.
fn compare(known: &SearcherRecord, new: &SearcherRecord) -> Relation {
    let moved = (known.address, &known.pool) != (new.address, &new.pool);
    match (known.started_unix_ms, new.started_unix_ms) {
        (Some(before), Some(after)) if after < before => Relation::Stale,
        (Some(before), Some(after)) if after > before => Relation::Restarted,
        _ if new.sequence < known.sequence && new.create_revision == known.create_revision => {
            Relation::Stale
        }
        _ if new.sequence < known.sequence || moved => Relation::Restarted,
        _ => Relation::Same,
    }
}
