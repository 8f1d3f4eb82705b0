//! The choice of a searcher of a pool: one decision for first attempts, hedges, retries, parts of
//! queries and shards that another daemon has delegated.
//!
//! By count, searchers are compared by the number of attempts in flight. By cost, they are compared
//! by when each is expected to finish the request: the expected work of what it still has to do,
//! the load that it has stated, and its speed, which is learned apart from its load.

mod load;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use self::load::LoadSettings;
use super::Choice;
use super::Fleet;
use super::LoadReport;
use super::PoolKey;
use super::SearcherKey;
use super::StatedLoad;
use super::TrackedSearcher;
use super::stated::Admission;
use crate::Time;
use crate::routes::PoolRole;

pub(super) use load::SearcherLoad;

/// Class of a searcher that has had the request; nothing of a higher class is chosen.
const TRIED_CLASS: u8 = 3;

/// Class of a searcher that is chosen only if its pool has no other.
const LAST_RESORT_CLASS: u8 = 4;

/// Work of a request to a pool of which nothing is known, in milliseconds. Only its ratio to other
/// expectations of the pool matters.
const INITIAL_WORK_MS: f64 = 10.0;

/// Weight of the newest expectation in the mean work of a pool, so that it follows the mix of
/// requests within about 50 of them.
const MEAN_WORK_WEIGHT: f64 = 0.02;

/// How long a pool is placed by cost after one of its searchers has stated its load. Longer than
/// pauses in the traffic, so that what has been learned stays in use.
const STATEMENTS_PERIOD: Duration = Duration::from_secs(10);

/// Mean queue at a searcher that other daemons may have caused and this one can't see, in requests of
/// mean work, at a daemon that sees none of the load; it shrinks with the square of the part that it
/// sees. Without it, daemons that see little of the load would all choose the fastest searcher.
const UNSEEN_QUEUE: f64 = 0.5;

/// Part of the slowness of a searcher that counts as a slowdown. The rest may come from its queue, or
/// from a single request that takes long by itself.
const SLOWNESS_RATIO: f64 = 0.5;

/// Part of a cost by which it may be wrong, times a random factor. Spreads requests over searchers that
/// differ by less, so that each is heard of again.
const MARGIN: f64 = 0.02;

/// Maximum of a random factor of mean 1. With it the unseen queue of a near searcher stays below the
/// price of traffic to another failure domain.
const MAX_RANDOM_FACTOR: f64 = 3.0;

/// How searchers of a pool are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PlacementMode {
    /// By the number of attempts in flight; by cost in pools whose searchers state their load.
    #[default]
    Count,
    /// By the expected time at which they finish the request.
    Cost,
}

/// How often searchers were chosen, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PlacementCounts {
    /// By the number of attempts in flight.
    pub by_count: u64,
    /// By cost, without a statement that still counts.
    pub by_cost: u64,
    /// By cost, with the load that a searcher has stated.
    pub by_statement: u64,
}

/// The load of a searcher as it counts in a choice, for operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadStatus {
    /// Whether its pool is placed by cost.
    pub is_by_cost: bool,
    /// Work that the attempts of this daemon still have, at the usual speed.
    pub work_left: Duration,
    /// The time that work takes at it, relative to the usual time.
    pub slowdown: f64,
    /// The load that it has stated last, with the age of the statement.
    pub stated: Option<(LoadReport, Duration)>,
}

/// What the choice of searchers keeps besides the state of each.
#[derive(Debug, Default)]
pub(super) struct Placement {
    mode: PlacementMode,
    settings: LoadSettings,
    pools: HashMap<PoolKey, PoolWork>,
    counts: PlacementCounts,
    /// Number of choices so far; rotates among searchers of equal cost.
    choices: u64,
}

#[derive(Debug, Clone, Copy)]
struct PoolWork {
    /// Moving average of the expected work of its requests, in milliseconds.
    mean_ms: f64,
    /// When one of its searchers last stated its load.
    stated_at: Option<Time>,
}

impl Default for PoolWork {
    fn default() -> Self {
        PoolWork { mean_ms: INITIAL_WORK_MS, stated_at: None }
    }
}

/// The attempt that a searcher is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct AttemptSpec<'a> {
    /// The role of this daemon for the pool.
    pub role: PoolRole,
    /// Expected work of the request; `None` if it is not known.
    pub work: Option<Duration>,
    /// The failure domains whose searchers may run it; `None` allows any.
    pub domains: Option<&'a BTreeSet<String>>,
    /// Searchers that have had the request.
    pub tried: &'a [SearcherKey],
    /// Time in flight from which an attempt at a searcher shows that it is stalled.
    pub stall_timeout: Duration,
}

/// A searcher that may be chosen by cost.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: SearcherKey,
    class: u8,
    /// Expected time until the request is finished, in milliseconds, with the price of traffic.
    cost: f64,
    /// Whether a statement of the searcher counts.
    is_stated: bool,
}

impl Fleet {
    /// Sets how searchers are compared.
    pub fn set_placement(&mut self, mode: PlacementMode) {
        self.placement.mode = mode;
    }

    /// How often searchers were chosen, by the kind of comparison.
    pub fn placement_counts(&self) -> PlacementCounts {
        self.placement.counts
    }

    /// As [`Fleet::choose_for`], for a request whose work is not known and that may go anywhere.
    pub fn choose(
        &mut self,
        pool: PoolKey,
        role: PoolRole,
        tried: &[SearcherKey],
        stall_timeout: Duration,
        now: Time,
    ) -> Option<Choice> {
        let spec = AttemptSpec { role, work: None, domains: None, tried, stall_timeout };
        self.choose_for(pool, &spec, now)
    }

    /// Chooses the searcher of `pool` with the lowest cost for an attempt, among those that accept a
    /// request of this daemon. A searcher with an attempt in flight for longer than the stall timeout
    /// counts as stalled and is chosen only if all are stalled or ejected. One that is leaving is
    /// chosen only if no other accepts requests, tried or not.
    pub fn choose_for(
        &mut self,
        pool: PoolKey,
        spec: &AttemptSpec<'_>,
        now: Time,
    ) -> Option<Choice> {
        self.placement.choices += 1;
        let key = match self.is_placed_by_cost(pool, now) {
            false => self.least_loaded(pool, spec, now)?,
            true => self.earliest_finish(pool, spec, now)?,
        };
        let searcher = self.get(key)?;
        Some(Choice { key, id: searcher.id.clone(), address: searcher.address })
    }

    fn is_placed_by_cost(&self, pool: PoolKey, now: Time) -> bool {
        let stated_at = self.placement.pools.get(&pool).and_then(|work| work.stated_at);
        let is_stated = stated_at.is_some_and(|at| now < at + STATEMENTS_PERIOD);
        self.placement.mode == PlacementMode::Cost || is_stated
    }

    /// The class of a searcher of `pool`; `None` if it accepts no request, or has had this one.
    fn class(
        &self,
        key: SearcherKey,
        tracked: &TrackedSearcher,
        spec: &AttemptSpec<'_>,
        now: Time,
    ) -> Option<u8> {
        let AttemptSpec { role, domains, tried, stall_timeout, .. } = *spec;
        if !tracked.is_within(domains) {
            return None;
        }
        match self.admission(tracked, role, now) {
            // Keeps requests from a leaving searcher, though it can't be chosen.
            Admission::Open if tried.contains(&key) => Some(TRIED_CLASS),
            Admission::Open => {
                let settings = &self.placement.settings;
                let stalled = match self.is_placed_by_cost(tracked.searcher.pool, now) {
                    false => tracked.load.is_stalled(stall_timeout, now),
                    true => tracked.load.is_overdue(settings, now),
                };
                Some(match (tracked.ejected_until > now, stalled) {
                    (false, false) => 0,
                    (false, true) => 1,
                    (true, _) => 2,
                })
            }
            Admission::LastResort if tried.contains(&key) => None,
            Admission::LastResort => Some(LAST_RESORT_CLASS),
            Admission::Closed(..) => None,
        }
    }

    /// The searcher with the lowest cost by the number of attempts in flight.
    fn least_loaded(
        &mut self,
        pool: PoolKey,
        spec: &AttemptSpec<'_>,
        now: Time,
    ) -> Option<SearcherKey> {
        let rotation = self.placement.choices;
        let best = self
            .pool_searchers(pool)
            .filter(|(_, tracked)| tracked.is_open(now))
            .filter_map(|(key, tracked)| {
                let class = self.class(key, tracked, spec, now)?;
                let cost = self.count_cost(tracked, now);
                Some((class, cost, (u64::from(key.0) + rotation) % 7, key))
            })
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)))?;
        self.placement.counts.by_count += 1;
        (best.0 != TRIED_CLASS).then_some(best.3)
    }

    fn count_cost(&self, tracked: &TrackedSearcher, now: Time) -> f64 {
        let searcher = &tracked.searcher;
        let load = 1.0 + tracked.load.outstanding() as f64 / f64::from(searcher.slots.max(1));
        let distance =
            if searcher.domain == self.home { 1.0 } else { self.settings.remote_cost_factor };
        let cold = if tracked.is_cold(now) { self.settings.cold_cost_factor } else { 1.0 };
        let faults = 1.0 + self.fault_ratio(tracked, now) * (self.settings.fault_cost_factor - 1.0);
        self.slowness(tracked, now) * load * distance * cold * faults
    }

    /// The searcher that is expected to finish the request the earliest.
    fn earliest_finish(
        &mut self,
        pool: PoolKey,
        spec: &AttemptSpec<'_>,
        now: Time,
    ) -> Option<SearcherKey> {
        let mean_ms = self.mean_work_ms(pool);
        let work_ms = spec.work.map_or(mean_ms, |work| work.as_secs_f64() * 1000.0);
        let candidates: Vec<Candidate> = self
            .pool_searchers(pool)
            .filter(|(_, tracked)| tracked.is_open(now))
            .filter_map(|(key, tracked)| {
                let class = self.class(key, tracked, spec, now)?;
                Some(self.candidate(key, class, tracked, spec.role, (work_ms, mean_ms), now))
            })
            .collect();
        let counts = &mut self.placement.counts;
        match candidates.iter().any(|it| it.is_stated) {
            true => counts.by_statement += 1,
            false => counts.by_cost += 1,
        }
        let order =
            |a: &&Candidate, b: &&Candidate| a.class.cmp(&b.class).then(a.cost.total_cmp(&b.cost));
        let best = candidates.iter().min_by(order)?;
        (best.class != TRIED_CLASS).then_some(best.key)
    }

    /// The candidate for a request of `work_ms` to a pool with requests of `mean_ms`. Other daemons
    /// act on the same statements and speeds and don't see one another's requests, so what they may
    /// do is drawn at random, the more the less of the load this daemon sees.
    fn candidate(
        &self,
        key: SearcherKey,
        class: u8,
        tracked: &TrackedSearcher,
        role: PoolRole,
        (work_ms, mean_ms): (f64, f64),
        now: Time,
    ) -> Candidate {
        let settings = &self.placement.settings;
        let (searcher, load) = (&tracked.searcher, &tracked.load);
        let slots = f64::from(searcher.slots.max(1));
        let others = load.others(settings, mean_ms, now);
        let queue_ms = load.queue_ms(settings, now) / slots;
        let stated_ms = others * mean_ms / slots;
        let seen = self.tier.share(role, &searcher.domain, &self.home).ratio.min(1.0);
        let random = self.random_factor(key);
        let unseen_ms = stated_ms * (seen + (1.0 - seen) * random)
            + UNSEEN_QUEUE * mean_ms * (1.0 - seen).powi(2) * random;
        let is_cold = tracked.is_cold(now);
        let cold = if is_cold { self.settings.cold_cost_factor } else { 1.0 };
        let faults = 1.0 + self.fault_ratio(tracked, now) * (self.settings.fault_cost_factor - 1.0);
        // The price of the traffic, in requests of mean work that finish in the meantime.
        let is_near = searcher.domain == self.home;
        let distance_ms =
            if is_near { 0.0 } else { (self.settings.remote_cost_factor - 1.0) * mean_ms };
        // What a searcher states of its VM explains momentary slowness, so that what is left lasts: it
        // is not tried again after each few requests.
        let lasting = match load.stated(now) {
            Some(_) => self.slowness(tracked, now) * SLOWNESS_RATIO,
            None => 0.0,
        };
        let slowdown = load.slowdown(settings, now).max(lasting);
        let finish_ms = slowdown * cold * (work_ms + queue_ms + unseen_ms);
        Candidate {
            key,
            class,
            cost: (finish_ms + distance_ms) * faults * (1.0 + MARGIN * random),
            is_stated: load.is_stated(settings, mean_ms, now),
        }
    }

    /// A random factor of mean 1 for one searcher in one choice, distributed exponentially.
    fn random_factor(&self, key: SearcherKey) -> f64 {
        let seed = self.placement.choices ^ (u64::from(key.0) << 40);
        let hash = xxh3_64_with_seed(self.tier.me.as_bytes(), seed);
        let uniform = hash as f64 / u64::MAX as f64;
        (-(1.0 - uniform).ln()).min(MAX_RANDOM_FACTOR)
    }

    fn mean_work_ms(&self, pool: PoolKey) -> f64 {
        self.placement.pools.get(&pool).map_or(INITIAL_WORK_MS, |work| work.mean_ms)
    }

    /// Records that the attempt `token` of the expected `work` is sent to a searcher. `None` if the
    /// work is not known.
    pub fn record_sent(&mut self, key: SearcherKey, token: u64, work: Option<Duration>, now: Time) {
        let Some(tracked) = self.searchers.get_mut(&key) else { return };
        let pool = self.placement.pools.entry(tracked.searcher.pool).or_default();
        let work_ms = work.map(|work| work.as_secs_f64() * 1000.0);
        if let Some(work_ms) = work_ms {
            pool.mean_ms += MEAN_WORK_WEIGHT * (work_ms - pool.mean_ms);
        }
        let (settings, slots) = (&self.placement.settings, tracked.searcher.slots);
        tracked.load.add(settings, token, work_ms, pool.mean_ms, slots, now);
    }

    /// Records that the attempt `token` has ended, with any outcome.
    pub fn record_ended(&mut self, key: SearcherKey, token: u64) {
        if let Some(tracked) = self.searchers.get_mut(&key) {
            tracked.load.remove(token);
        }
    }

    /// Records the time that a searcher took for the attempt `token`, from its last byte sent to its
    /// answer. To be called before the attempt is recorded as ended. Returns the work of the
    /// request, without the influence of the searcher's speed and load; `None` if its load hides
    /// that, or if nothing is to be learned since its pool is placed by count.
    pub fn record_latency(
        &mut self,
        key: SearcherKey,
        token: u64,
        latency: Duration,
        now: Time,
    ) -> Option<Duration> {
        let pool = self.searchers.get(&key)?.searcher.pool;
        if !self.is_placed_by_cost(pool, now) {
            return None;
        }
        let usual = self.usual_speed(pool, now);
        let settings = &self.placement.settings;
        let load = &mut self.searchers.get_mut(&key)?.load;
        let latency_ms = latency.as_secs_f64() * 1000.0;
        let work_ms = load.observe(settings, token, latency_ms, usual, now)?;
        Duration::try_from_secs_f64(work_ms / 1000.0).ok()
    }

    /// Geometric mean of the lasting slowdowns of the searchers of a pool: what they have in common
    /// is work, not speed.
    fn usual_speed(&self, pool: PoolKey, now: Time) -> f64 {
        let settings = &self.placement.settings;
        let (mut sum, mut count) = (0.0, 0.0);
        for (_, tracked) in self.pool_searchers(pool) {
            sum += tracked.load.lasting_slowdown(settings, now).ln();
            count += 1.0;
        }
        f64::exp(sum / f64::max(count, 1.0))
    }

    /// What is known of the load of a searcher, for operators.
    pub(super) fn load_status(&self, tracked: &TrackedSearcher, now: Time) -> LoadStatus {
        let (settings, load) = (&self.placement.settings, &tracked.load);
        let queue_ms = load.queue_ms(settings, now);
        LoadStatus {
            is_by_cost: self.is_placed_by_cost(tracked.searcher.pool, now),
            work_left: Duration::try_from_secs_f64(queue_ms / 1000.0).unwrap_or(Duration::MAX),
            slowdown: load.slowdown(settings, now),
            stated: load.stated(now),
        }
    }

    /// Records the load that an answer to the attempt `token` states.
    pub(super) fn record_load(
        &mut self,
        key: SearcherKey,
        token: u64,
        load: StatedLoad,
        now: Time,
    ) {
        let Some(tracked) = self.searchers.get_mut(&key) else { return };
        match load {
            StatedLoad::Absent | StatedLoad::Unreadable => {}
            StatedLoad::Reported(report) => {
                tracked.load.hear(report, token, now);
                let pool = self.placement.pools.entry(tracked.searcher.pool).or_default();
                pool.stated_at = Some(now);
            }
        }
    }
}
