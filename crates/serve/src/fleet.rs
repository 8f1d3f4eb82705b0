//! The searchers that may be used, what each is doing, and the choice of one.

mod status;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::Time;

pub use status::Availability;
pub use status::SearcherStatus;

/// Share of failing requests from which a searcher is not worth asking before others.
const MOST_FAULTS: f64 = 0.25;

/// A pool, for the life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PoolKey(u32);

/// One incarnation of a searcher, for the life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SearcherKey(u32);

/// What is known of a searcher from its registration.
#[derive(Debug, Clone, PartialEq)]
pub struct Searcher {
    /// Its id, which it expects in requests.
    pub id: String,
    /// Its pool.
    pub pool: PoolKey,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Until when it is slow after its start.
    pub cold_until: Time,
    /// Whether it takes new work.
    pub ready: bool,
}

/// How searchers are compared.
#[derive(Debug, Clone, Copy)]
pub struct FleetSettings {
    /// Factor on the cost of a searcher in another failure domain: bytes between domains are
    /// dear and take longer.
    pub remote_cost_factor: f64,
    /// Factor on the cost of a searcher that has just started.
    pub cold_cost_factor: f64,
    /// Weight of a new observation of a searcher's slowness.
    pub slowness_weight: f64,
    /// Largest slowness that one observation may show.
    pub max_slowness: f64,
    /// Time in which a remembered slowness or unreliability halves, so that a searcher is tried
    /// again.
    pub half_life: Duration,
    /// Weight of a failure or refusal in the unreliability of a searcher; an answer has half.
    pub fault_weight: f64,
    /// Factor on the cost of a searcher of which each request fails.
    pub fault_cost_factor: f64,
    /// Time without work after the first failure in a row; doubles with each further one.
    pub ejection_period: Duration,
    /// Longest time without work.
    pub max_ejection: Duration,
    /// Failures in a row that eject a searcher.
    pub ejection_threshold: u32,
    /// Time without work for a searcher that refuses connections.
    pub unreachable_period: Duration,
    /// Time without work for a searcher that shed a request, while there are others.
    pub shed_period: Duration,
}

impl Default for FleetSettings {
    fn default() -> Self {
        FleetSettings {
            remote_cost_factor: 3.0,
            cold_cost_factor: 1.6,
            slowness_weight: 0.3,
            max_slowness: 8.0,
            half_life: Duration::from_millis(2500),
            fault_weight: 0.3,
            fault_cost_factor: 12.0,
            ejection_period: Duration::from_millis(400),
            max_ejection: Duration::from_secs(3),
            ejection_threshold: 2,
            unreachable_period: Duration::from_millis(300),
            shed_period: Duration::from_millis(30),
        }
    }
}

/// A chosen searcher.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Its key.
    pub key: SearcherKey,
    /// Its id.
    pub id: String,
    /// Where it accepts connections.
    pub address: SocketAddr,
}

#[derive(Debug)]
struct Entry {
    searcher: Searcher,
    outstanding: Vec<(u64, Time)>,
    slowness: f64,
    observed: Time,
    /// Share of its requests that fail or are refused, as far as is known.
    faults: f64,
    /// When that was last learned.
    judged: Time,
    failures: u32,
    /// Until when it is used only if there is no other.
    ejected_until: Time,
    /// Until when it is not used at all.
    closed_until: Time,
}

impl Entry {
    fn is_open(&self, now: Time) -> bool {
        self.searcher.ready && self.closed_until <= now
    }
}

/// All searchers.
#[derive(Debug)]
pub struct Fleet {
    settings: FleetSettings,
    home: String,
    names: HashMap<String, PoolKey>,
    /// Hash of the name of each pool.
    hashes: Vec<u64>,
    pools: Vec<Vec<SearcherKey>>,
    entries: HashMap<SearcherKey, Entry>,
    next: u32,
    turn: u64,
}

impl Fleet {
    /// No searchers yet, as seen from a daemon in the failure domain `home`.
    pub fn new(settings: FleetSettings, home: String) -> Fleet {
        Fleet {
            settings,
            home,
            names: HashMap::new(),
            hashes: Vec::new(),
            pools: Vec::new(),
            entries: HashMap::new(),
            next: 0,
            turn: 0,
        }
    }

    /// The key of a pool.
    pub fn pool(&mut self, name: &str) -> PoolKey {
        if let Some(&key) = self.names.get(name) {
            return key;
        }
        let key = PoolKey(self.pools.len() as u32);
        self.pools.push(Vec::new());
        self.hashes.push(xxh3_64(name.as_bytes()));
        self.names.insert(name.to_owned(), key);
        key
    }

    /// A hash of the name of a pool, the same on all daemons.
    pub fn name_hash(&self, pool: PoolKey) -> u64 {
        self.hashes[pool.0 as usize]
    }

    /// Adds a new incarnation.
    pub fn add(&mut self, searcher: Searcher) -> SearcherKey {
        let key = SearcherKey(self.next);
        self.next += 1;
        self.pools[searcher.pool.0 as usize].push(key);
        self.entries.insert(
            key,
            Entry {
                searcher,
                outstanding: Vec::new(),
                slowness: 1.0,
                observed: Time::ZERO,
                faults: 0.0,
                judged: Time::ZERO,
                failures: 0,
                ejected_until: Time::ZERO,
                closed_until: Time::ZERO,
            },
        );
        key
    }

    /// Changes what a searcher says of itself. Its pool and id stay. With `alive` it has said so
    /// later than before.
    pub fn update(&mut self, key: SearcherKey, ready: bool, cold_until: Time, alive: bool) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.searcher.ready = ready;
            entry.searcher.cold_until = cold_until;
            if alive && entry.closed_until == Time::MAX {
                entry.closed_until = Time::ZERO;
            }
        }
    }

    /// Forgets a searcher.
    pub fn remove(&mut self, key: SearcherKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.pools[entry.searcher.pool.0 as usize].retain(|&other| other != key);
        }
    }

    /// The registration of a searcher that has not been removed.
    pub fn get(&self, key: SearcherKey) -> Option<&Searcher> {
        self.entries.get(&key).map(|entry| &entry.searcher)
    }

    /// Whether the pool has a searcher that takes work.
    pub fn is_served(&self, pool: PoolKey, now: Time) -> bool {
        self.members(pool).any(|(_, entry)| entry.is_open(now))
    }

    /// Whether a searcher of the pool says that it takes work, reachable or not.
    pub fn has_ready(&self, pool: PoolKey) -> bool {
        self.members(pool).any(|(_, entry)| entry.searcher.ready)
    }

    /// Whether the pool has a searcher in `domain` that takes work.
    pub fn is_served_in(&self, pool: PoolKey, domain: &str) -> bool {
        self.members(pool).any(|(_, entry)| entry.searcher.ready && entry.searcher.domain == domain)
    }

    /// Whether the pool has a searcher in `domain` that is worth asking before one elsewhere.
    pub fn is_usable_in(&self, pool: PoolKey, domain: &str, now: Time) -> bool {
        self.members(pool).any(|(_, entry)| {
            entry.searcher.domain == domain
                && entry.is_open(now)
                && entry.ejected_until <= now
                && self.slowness(entry, now) < self.settings.remote_cost_factor
                && self.faults(entry, now) < MOST_FAULTS
        })
    }

    /// Picks a searcher of `pool` that is not in `tried`. A searcher with a request older than
    /// `patience` counts as stalled and is picked only if all are.
    pub fn choose(
        &mut self,
        pool: PoolKey,
        tried: &[SearcherKey],
        patience: Duration,
        now: Time,
    ) -> Option<Choice> {
        self.turn += 1;
        let turn = self.turn;
        let best = self
            .members(pool)
            .filter(|(key, entry)| entry.is_open(now) && !tried.contains(key))
            .map(|(key, entry)| {
                let (class, cost) = self.rank(entry, patience, now);
                (class, cost, (u64::from(key.0) + turn) % 7, key)
            })
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)))?;
        let key = best.3;
        let searcher = self.get(key)?;
        Some(Choice { key, id: searcher.id.clone(), address: searcher.address })
    }

    fn rank(&self, entry: &Entry, patience: Duration, now: Time) -> (u8, f64) {
        let stalled = entry.outstanding.iter().any(|&(_, sent)| sent + patience < now);
        let class = match (entry.ejected_until > now, stalled) {
            (false, false) => 0,
            (false, true) => 1,
            (true, _) => 2,
        };
        let searcher = &entry.searcher;
        let load = 1.0 + entry.outstanding.len() as f64 / f64::from(searcher.slots.max(1));
        let away =
            if searcher.domain == self.home { 1.0 } else { self.settings.remote_cost_factor };
        let cold = if searcher.cold_until > now { self.settings.cold_cost_factor } else { 1.0 };
        let faults = 1.0 + self.faults(entry, now) * (self.settings.fault_cost_factor - 1.0);
        (class, self.slowness(entry, now) * load * away * cold * faults)
    }

    fn slowness(&self, entry: &Entry, now: Time) -> f64 {
        1.0 + (entry.slowness - 1.0) * self.kept(entry.observed, now)
    }

    fn faults(&self, entry: &Entry, now: Time) -> f64 {
        entry.faults * self.kept(entry.judged, now)
    }

    /// How much of what was learned at `at` still counts.
    fn kept(&self, at: Time, now: Time) -> f64 {
        let age = now.saturating_sub(at).as_secs_f64();
        0.5_f64.powf(age / self.settings.half_life.as_secs_f64())
    }

    /// Learns whether a request failed.
    fn judge(&mut self, key: SearcherKey, fault: bool, now: Time) {
        let Some(entry) = self.entries.get(&key) else { return };
        let known = self.faults(entry, now);
        let weight = self.settings.fault_weight;
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.faults = match fault {
            true => known + weight * (1.0 - known),
            false => known - weight / 2.0 * known,
        };
        entry.judged = now;
    }

    /// Notes that the request `token` is sent to a searcher.
    pub fn record_sent(&mut self, key: SearcherKey, token: u64, now: Time) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.outstanding.push((token, now));
        }
    }

    /// Notes that the request `token` is no longer at a searcher, whatever became of it.
    pub fn record_ended(&mut self, key: SearcherKey, token: u64) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.outstanding.retain(|&(other, _)| other != token);
        }
    }

    /// Learns from an answer that took `ratio` times as long as usual.
    pub fn record_answer(&mut self, key: SearcherKey, ratio: Option<f64>, now: Time) {
        self.judge(key, false, now);
        let settings = self.settings;
        let Some(entry) = self.entries.get(&key) else { return };
        let known = self.slowness(entry, now);
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.failures = 0;
        entry.ejected_until = Time::ZERO;
        if let Some(ratio) = ratio {
            let seen = ratio.clamp(0.5, settings.max_slowness);
            entry.slowness = known + settings.slowness_weight * (seen - known);
            entry.observed = now;
        }
    }

    /// Learns from a failure: an error, a broken connection, or silence.
    pub fn record_failure(&mut self, key: SearcherKey, now: Time) {
        self.judge(key, true, now);
        let settings = self.settings;
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.failures += 1;
        if entry.failures >= settings.ejection_threshold {
            let doublings = (entry.failures - settings.ejection_threshold).min(8);
            let pause =
                (settings.ejection_period * 2_u32.pow(doublings)).min(settings.max_ejection);
            entry.ejected_until = now + pause;
        }
    }

    /// Learns that a searcher is full.
    pub fn record_shed(&mut self, key: SearcherKey, now: Time) {
        self.judge(key, true, now);
        let pause = self.settings.shed_period;
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.ejected_until = entry.ejected_until.max(now + pause);
        }
    }

    /// Learns that nothing accepts connections at the address of a searcher.
    pub fn record_unreachable(&mut self, key: SearcherKey, now: Time) {
        let pause = self.settings.unreachable_period;
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.closed_until = entry.closed_until.max(now + pause);
        }
    }

    /// Learns that another searcher has the address of this one.
    pub fn record_moved(&mut self, key: SearcherKey) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.closed_until = Time::MAX;
        }
    }

    /// Searchers that are passed over, for operators.
    pub fn ejected_count(&self, now: Time) -> usize {
        let passed_over = |it: &&Entry| it.ejected_until.max(it.closed_until) > now;
        self.entries.values().filter(passed_over).count()
    }

    fn members(&self, pool: PoolKey) -> impl Iterator<Item = (SearcherKey, &Entry)> {
        self.pools[pool.0 as usize]
            .iter()
            .filter_map(|&key| self.entries.get(&key).map(|entry| (key, entry)))
    }
}
