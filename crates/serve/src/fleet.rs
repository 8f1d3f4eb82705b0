//! The known searchers, the state of each as this daemon observes it, and the choice of one of a
//! pool.

mod cold;
mod placement;
mod shares;
mod stated;
mod status;
mod succession;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use self::cold::ColdBucket;
use self::cold::ColdSpecs;
use self::placement::Placement;
use self::placement::SearcherLoad;
use self::stated::Stated;
use self::succession::FormerSearchers;
use crate::Time;
use crate::members::TierSize;

pub use placement::AttemptSpec;
pub use placement::LoadStatus;
pub use placement::PlacementCounts;
pub use placement::PlacementMode;
pub use shares::ListState;
pub use shares::Tier;
pub use stated::AttemptKind;
pub use stated::LoadReport;
pub use stated::StatedLoad;
pub use stated::StatedRate;
pub use stated::StatedRest;
pub use stated::Statement;
pub use stated::WithheldCounts;
pub use status::Availability;
pub use status::SearcherStatus;
pub(crate) use succession::Succession;

/// Fault ratio from which a searcher does not count as usable in its failure domain.
const MAX_FAULT_RATIO: f64 = 0.25;

/// Key of a pool, valid for the life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PoolKey(u32);

/// Key of one incarnation of a searcher, valid for the life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SearcherKey(u32);

/// A searcher as it registered itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Searcher {
    /// Its id, which each request to it must name.
    pub id: String,
    /// The pool that its registration names.
    pub pool: PoolKey,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// End of the time after its start in which it is slow.
    pub cold_until: Time,
    /// Whether it accepts new requests.
    pub ready: bool,
}

/// How searchers are compared, and when they are passed over.
#[derive(Debug, Clone, Copy)]
pub struct FleetSettings {
    /// Factor on the cost of a searcher in another failure domain: traffic between domains is
    /// expensive and takes longer.
    pub remote_cost_factor: f64,
    /// Factor on the cost of a searcher that is still slow after its start.
    pub cold_cost_factor: f64,
    /// Weight of a new observation in the moving average of a searcher's slowness, 0 to 1.
    pub slowness_weight: f64,
    /// Upper bound of one observation of the slowness.
    pub max_slowness: f64,
    /// Half-life of an observed slowness and fault ratio. They decay so that a searcher is tried
    /// again.
    pub half_life: Duration,
    /// Weight of a failure or refusal in the moving average of a searcher's fault ratio, 0 to 1;
    /// an answer has half of it.
    pub fault_weight: f64,
    /// Factor on the cost of a searcher with a fault ratio of 1; lower ratios are interpolated.
    pub fault_cost_factor: f64,
    /// Length of the ejection after `ejection_threshold` failures in a row; doubles with each
    /// further one. An ejected searcher is used only if there is no other.
    pub ejection_period: Duration,
    /// Maximum length of such an ejection.
    pub max_ejection: Duration,
    /// Number of failures in a row from which a searcher is ejected.
    pub ejection_threshold: u32,
    /// Time for which a searcher that refuses connections is not used.
    pub unreachable_period: Duration,
    /// Length of the ejection of a searcher that shed a request.
    pub shed_period: Duration,
    /// How long a searcher that says it is leaving may still get requests if its pool has no other
    /// one. The platform allows them for longer.
    pub leaving_period: Duration,
    /// How long a searcher that has started again counts as leaving if only its earlier start may
    /// have said so. One that does leave is registered so, or is no longer registered, by then.
    pub doubt_period: Duration,
    /// Maximum time for which a searcher gets no requests because it asked for that once. One that
    /// asks again afterwards gets none for as long again.
    pub max_rest: Duration,
    /// How long a searcher that resumes after such a time gets fewer requests.
    pub ramp_period: Duration,
    /// Interval within `ramp_period` after which one more request may be in flight.
    pub ramp_step: Duration,
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
            leaving_period: Duration::from_secs(1),
            doubt_period: Duration::from_secs(10),
            max_rest: Duration::from_secs(300),
            ramp_period: Duration::from_secs(1),
            ramp_step: Duration::from_millis(100),
        }
    }
}

/// The searcher that was chosen for an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Identifies the searcher when the attempt's result is recorded in the fleet.
    pub key: SearcherKey,
    /// The id that the request must name.
    pub id: String,
    /// Where it accepts connections.
    pub address: SocketAddr,
}

#[derive(Debug)]
struct TrackedSearcher {
    searcher: Searcher,
    /// The attempts in flight, its speed and the load that it has stated.
    load: SearcherLoad,
    /// Moving average of its latency relative to the route's median, as of `slowness_at`.
    slowness: f64,
    slowness_at: Time,
    /// Moving average of the share of its requests that fail or are refused, as of
    /// `fault_ratio_at`.
    fault_ratio: f64,
    fault_ratio_at: Time,
    /// Failures in a row.
    failures: u32,
    /// Until then it is used only if there is no other.
    ejected_until: Time,
    /// Until then it is not used at all. [`Time::MAX`] after another searcher answered at its
    /// address.
    closed_until: Time,
    /// Until then it counts as cold whatever its registration says.
    cold_at_least_until: Time,
    /// Requests that it may get from this daemon while it is cold.
    cold_bucket: ColdBucket,
    /// Whether its failure domain is evacuated.
    evacuated: bool,
    /// What it has said of itself.
    stated: Stated,
}

impl TrackedSearcher {
    fn is_open(&self, now: Time) -> bool {
        self.searcher.ready && !self.evacuated && self.closed_until <= now
    }

    fn is_within(&self, domains: Option<&BTreeSet<String>>) -> bool {
        domains.is_none_or(|domains| domains.contains(&self.searcher.domain))
    }
}

/// All known searchers.
#[derive(Debug)]
pub struct Fleet {
    settings: FleetSettings,
    home: String,
    tier: Tier,
    pool_keys: HashMap<String, PoolKey>,
    /// Hash of the name of each pool, by key.
    name_hashes: Vec<u64>,
    pools: Vec<Vec<SearcherKey>>,
    searchers: HashMap<SearcherKey, TrackedSearcher>,
    former: FormerSearchers,
    next_key: u32,
    withheld: WithheldCounts,
    /// Failure domains whose searchers get no requests.
    evacuated: BTreeSet<String>,
    cold_specs: ColdSpecs,
    /// Until when relays have no searcher of a pool that accepts a request.
    unsent_until: HashMap<PoolKey, Time>,
    /// How searchers are compared by their load, and what is known of the work of each pool.
    placement: Placement,
}

impl Fleet {
    /// Creates an empty fleet for a daemon in the failure domain `home`.
    pub fn new(settings: FleetSettings, home: String) -> Fleet {
        // Replaced by `set_tier`.
        let tier = Tier {
            me: String::new(),
            size: TierSize { daemons: 1, domains: 1 },
            domains: BTreeSet::from([home.clone()]),
            neighbours: Vec::new(),
            list: ListState::Unread,
        };
        Fleet {
            settings,
            home,
            tier,
            pool_keys: HashMap::new(),
            name_hashes: Vec::new(),
            pools: Vec::new(),
            searchers: HashMap::new(),
            former: FormerSearchers::default(),
            next_key: 0,
            withheld: WithheldCounts::default(),
            evacuated: BTreeSet::new(),
            cold_specs: ColdSpecs::default(),
            unsent_until: HashMap::new(),
            placement: Placement::default(),
        }
    }

    /// The key of the pool `name`; a new name gets a new key.
    pub fn pool(&mut self, name: &str) -> PoolKey {
        if let Some(&key) = self.pool_keys.get(name) {
            return key;
        }
        let key = PoolKey(self.pools.len() as u32);
        self.pools.push(Vec::new());
        self.name_hashes.push(xxh3_64(name.as_bytes()));
        self.pool_keys.insert(name.to_owned(), key);
        key
    }

    /// A hash of the name of a pool, the same on all daemons.
    pub fn name_hash(&self, pool: PoolKey) -> u64 {
        self.name_hashes[pool.0 as usize]
    }

    /// Adds a new incarnation of a searcher.
    pub fn add(&mut self, searcher: Searcher) -> SearcherKey {
        let key = SearcherKey(self.next_key);
        self.next_key += 1;
        self.pools[searcher.pool.0 as usize].push(key);
        let evacuated = self.evacuated.contains(&searcher.domain);
        self.searchers.insert(
            key,
            TrackedSearcher {
                searcher,
                load: SearcherLoad::default(),
                slowness: 1.0,
                slowness_at: Time::ZERO,
                fault_ratio: 0.0,
                fault_ratio_at: Time::ZERO,
                failures: 0,
                ejected_until: Time::ZERO,
                closed_until: Time::ZERO,
                cold_at_least_until: Time::ZERO,
                cold_bucket: ColdBucket::default(),
                evacuated,
                stated: Stated::default(),
            },
        );
        key
    }

    /// Updates a searcher after a new read of its registration. `alive` tells that its heartbeat
    /// has advanced since the read before: a searcher that counted as moved is then used again.
    pub fn update(&mut self, key: SearcherKey, ready: bool, cold_until: Time, alive: bool) {
        if let Some(tracked) = self.searchers.get_mut(&key) {
            if alive && ready && !tracked.searcher.ready {
                // It was registered as leaving, and has changed its mind since.
                tracked.stated.retract_leaving();
            }
            tracked.searcher.ready = ready;
            tracked.searcher.cold_until = cold_until;
            if alive && tracked.closed_until == Time::MAX {
                tracked.closed_until = Time::ZERO;
            }
        }
    }

    /// Removes a searcher. What it has said of itself is remembered, in case that it comes back.
    pub fn remove(&mut self, key: SearcherKey, now: Time) {
        if let Some(tracked) = self.searchers.remove(&key) {
            self.pools[tracked.searcher.pool.0 as usize].retain(|&other| other != key);
            self.former.add(key, tracked.searcher.domain, tracked.stated, now);
        }
    }

    /// The searcher with this key, unless it has been removed.
    pub fn get(&self, key: SearcherKey) -> Option<&Searcher> {
        self.searchers.get(&key).map(|tracked| &tracked.searcher)
    }

    /// Whether the pool has a searcher that is ready, not in an evacuated domain, and counts
    /// neither as unreachable nor as moved.
    pub fn has_open(&self, pool: PoolKey, now: Time) -> bool {
        self.pool_searchers(pool).any(|(_, tracked)| tracked.is_open(now))
    }

    /// Number of searchers of the pool for which [`Fleet::has_open`] holds.
    pub fn open_count(&self, pool: PoolKey, now: Time) -> usize {
        self.pool_searchers(pool).filter(|(_, tracked)| tracked.is_open(now)).count()
    }

    /// Whether the pool has a searcher in `domain` that is registered as ready; none has if the
    /// domain is evacuated.
    pub fn has_ready_in(&self, pool: PoolKey, domain: &str) -> bool {
        self.pool_searchers(pool)
            .any(|(_, it)| it.searcher.ready && !it.evacuated && it.searcher.domain == domain)
    }

    /// Whether the pool has a searcher in `domain` that is preferable to one in another domain.
    pub fn is_usable_in(&self, pool: PoolKey, domain: &str, now: Time) -> bool {
        self.pool_searchers(pool).any(|(_, tracked)| {
            tracked.searcher.domain == domain
                && tracked.is_open(now)
                && self.cold_rate(tracked, now).is_none()
                && !tracked.stated.is_leaving(now)
                && tracked.stated.rest_left(now).is_zero()
                && tracked.ejected_until <= now
                && self.slowness(tracked, now) < self.settings.remote_cost_factor
                && self.fault_ratio(tracked, now) < MAX_FAULT_RATIO
        })
    }

    fn slowness(&self, tracked: &TrackedSearcher, now: Time) -> f64 {
        1.0 + (tracked.slowness - 1.0) * self.decay(tracked.slowness_at, now)
    }

    fn fault_ratio(&self, tracked: &TrackedSearcher, now: Time) -> f64 {
        tracked.fault_ratio * self.decay(tracked.fault_ratio_at, now)
    }

    /// The weight that an observation made at the time `at` still has, 0 to 1.
    fn decay(&self, at: Time, now: Time) -> f64 {
        let age = now.saturating_sub(at).as_secs_f64();
        0.5_f64.powf(age / self.settings.half_life.as_secs_f64())
    }

    /// Updates the fault ratio with the result of one request.
    fn update_fault_ratio(&mut self, key: SearcherKey, fault: bool, now: Time) {
        let Some(tracked) = self.searchers.get(&key) else { return };
        let known = self.fault_ratio(tracked, now);
        let weight = self.settings.fault_weight;
        let Some(tracked) = self.searchers.get_mut(&key) else { return };
        tracked.fault_ratio = match fault {
            true => known + weight * (1.0 - known),
            false => known - weight / 2.0 * known,
        };
        tracked.fault_ratio_at = now;
    }

    /// Records an answer. `ratio` is its latency relative to the route's median, if that is known.
    pub fn record_answer(&mut self, key: SearcherKey, ratio: Option<f64>, now: Time) {
        self.update_fault_ratio(key, false, now);
        let settings = self.settings;
        let Some(tracked) = self.searchers.get(&key) else { return };
        let known = self.slowness(tracked, now);
        let Some(tracked) = self.searchers.get_mut(&key) else { return };
        tracked.failures = 0;
        tracked.ejected_until = Time::ZERO;
        if let Some(ratio) = ratio {
            let observed = ratio.clamp(0.5, settings.max_slowness);
            tracked.slowness = known + settings.slowness_weight * (observed - known);
            tracked.slowness_at = now;
        }
    }

    /// Records a failure: an error, a broken connection, or no answer in time.
    pub fn record_failure(&mut self, key: SearcherKey, now: Time) {
        self.update_fault_ratio(key, true, now);
        let settings = self.settings;
        let Some(tracked) = self.searchers.get_mut(&key) else { return };
        tracked.failures += 1;
        if tracked.failures >= settings.ejection_threshold {
            let doublings = (tracked.failures - settings.ejection_threshold).min(8);
            let pause =
                (settings.ejection_period * 2_u32.pow(doublings)).min(settings.max_ejection);
            tracked.ejected_until = now + pause;
        }
    }

    /// Records that a searcher shed a request because it is full.
    pub fn record_shed(&mut self, key: SearcherKey, now: Time) {
        self.update_fault_ratio(key, true, now);
        let pause = self.settings.shed_period;
        if let Some(tracked) = self.searchers.get_mut(&key) {
            tracked.ejected_until = tracked.ejected_until.max(now + pause);
        }
    }

    /// Records that nothing accepts connections at the address of a searcher.
    pub fn record_unreachable(&mut self, key: SearcherKey, now: Time) {
        let pause = self.settings.unreachable_period;
        if let Some(tracked) = self.searchers.get_mut(&key) {
            tracked.closed_until = tracked.closed_until.max(now + pause);
        }
    }

    /// Records that another searcher answered at the address of this one. It is not used until
    /// its heartbeat advances.
    pub fn record_moved(&mut self, key: SearcherKey) {
        if let Some(tracked) = self.searchers.get_mut(&key) {
            tracked.closed_until = Time::MAX;
        }
    }

    /// Number of searchers that are ejected, unreachable or moved, for metrics.
    pub fn ejected_count(&self, now: Time) -> usize {
        let passed_over = |it: &&TrackedSearcher| it.ejected_until.max(it.closed_until) > now;
        self.searchers.values().filter(passed_over).count()
    }

    fn pool_searchers(
        &self,
        pool: PoolKey,
    ) -> impl Iterator<Item = (SearcherKey, &TrackedSearcher)> {
        self.pools[pool.0 as usize]
            .iter()
            .filter_map(|&key| self.searchers.get(&key).map(|tracked| (key, tracked)))
    }
}
