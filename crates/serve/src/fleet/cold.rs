//! Searchers that are slow after a start or an evacuation, and how many requests they get.
//!
//! A cold searcher accepts few requests from all daemons together and ends if it gets many more.
//! Each daemon keeps to a share without asking the others. The users count each second by itself,
//! so that hardly any unused sends may be kept: a daemon keeps one, and only for a moment if there
//! are more daemons than the bound leaves room for.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Fleet;
use super::PoolKey;
use super::SearcherKey;
use super::TrackedSearcher;
use super::shares::ListState;
use crate::Time;
use crate::config::PoolSpec;
use crate::members::TierSize;
use crate::routes::PoolRole;

/// Maximum age of a registration when it is read. One that is read earlier after the end of an
/// evacuation may have been written before.
const REGISTRATION_AGE: Duration = Duration::from_secs(2);

/// The users' bound for one second is 1.5 times the rate and 5 requests.
const WINDOW: Duration = Duration::from_secs(1);

/// Part of the rate that all daemons together use if each may keep an unused send. The rest of the
/// bound covers one such send of each daemon and requests that arrive closer together than they
/// were sent.
const STEADY_RATIO: f64 = 0.9;

/// Unused sends that all daemons together may keep with [`STEADY_RATIO`], as a ratio of the rate and
/// a number: the bound less the steady requests and less one request.
const KEPT_RATIO: f64 = 0.5;
const KEPT_SENDS: f64 = 4.0;

/// Part of the rate that all daemons together use if unused sends lapse. How many then fall into
/// one second is random; at half of the rate the bound is more than four standard deviations away.
const LAPSING_RATIO: f64 = 0.5;

/// How long an unused send is kept if there are more daemons than may keep one each.
const LAPSE: Duration = Duration::from_millis(250);

/// Factor on the share of a daemon whose list of daemons is outdated. Others may have taken over its
/// share; both together then stay below the bound.
const OUTDATED_RATIO: f64 = 0.4;

/// Minimum number of daemons among which the rate is divided while their list may be incomplete, and
/// how many there may be for each one that is known.
const MIN_DAEMONS: usize = 8;
const DAEMONS_PER_KNOWN: usize = 2;

/// Wait that is reported where no better one is known.
const UNKNOWN_WAIT: Duration = Duration::from_millis(250);

/// What the configuration says of the cold searchers of one pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ColdSpec {
    /// Requests a second that one accepts from all daemons together; 0 if it doesn't limit them.
    rate: f64,
    /// Time after its start in which a searcher is cold.
    period: Duration,
}

/// What the configuration says of cold searchers, by pool.
pub(super) type ColdSpecs = HashMap<PoolKey, ColdSpec>;

/// The part of this daemon in the requests to one cold searcher.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ColdShare {
    /// Requests a second.
    rate: f64,
    /// Whether an unused send is kept for [`LAPSE`] only.
    lapses: bool,
}

impl ColdShare {
    /// Maximum number of requests in one second.
    fn max_in_window(self) -> usize {
        1 + self.rate as usize
    }

    /// Maximum number of requests in flight. A searcher that pauses gets them all at once when it
    /// resumes.
    fn max_outstanding(self) -> usize {
        1 + (self.rate / 2.0) as usize
    }
}

/// The requests of this daemon to one searcher while that is cold.
#[derive(Debug, Default)]
pub(super) struct ColdBucket {
    /// Requests that may be sent, 1 at most, as of `refilled_at`. `None` before the first.
    sends: Option<f64>,
    refilled_at: Time,
    /// The share as of the last request that was planned.
    share: Option<ColdShare>,
    /// When requests were sent, the last second only.
    sent_at: VecDeque<Time>,
}

impl ColdBucket {
    /// Requests that may be sent at the time `now`. `first` is the number of the first time.
    fn sends(&self, share: ColdShare, first: f64, now: Time) -> f64 {
        self.progress(share, first, now).0
    }

    /// As [`ColdBucket::sends`], and for how many seconds one has been unused; 0 if it doesn't lapse.
    fn progress(&self, share: ColdShare, first: f64, now: Time) -> (f64, f64) {
        let sends = self.sends.unwrap_or(first);
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let full_after = (1.0 - sends).max(0.0) / share.rate;
        if elapsed < full_after {
            return (sends + share.rate * elapsed, 0.0);
        }
        if !share.lapses {
            return (1.0, 0.0);
        }
        let lapse = LAPSE.as_secs_f64();
        let since_full = (elapsed - full_after) % (lapse + 1.0 / share.rate);
        match since_full < lapse {
            true => (1.0, since_full),
            false => ((since_full - lapse) * share.rate, 0.0),
        }
    }

    /// Ends the time in which the share of the last request applies. A new share must not apply to
    /// the time before: a change of all shares at once would let many daemons send together.
    fn settle(&mut self, now: Time) {
        if let (Some(share), Some(sends)) = (self.share, self.sends) {
            let (sends, unused) = self.progress(share, sends, now);
            self.sends = Some(sends);
            self.refilled_at = now.saturating_sub(Duration::from_secs_f64(unused));
        }
    }

    /// Gives back a send that was taken and not made.
    pub(super) fn put_back(&mut self) {
        if let Some(sends) = &mut self.sends {
            *sends = (*sends + 1.0).min(1.0);
        }
    }
}

impl TrackedSearcher {
    /// Whether it is still slow.
    pub(super) fn is_cold(&self, now: Time) -> bool {
        self.searcher.cold_until.max(self.cold_at_least_until) > now
    }
}

impl Fleet {
    /// Sets what a configuration says of cold searchers.
    pub fn set_cold_specs(&mut self, pools: &[PoolSpec]) {
        let specs = pools.iter().map(|spec| {
            let PoolSpec { name, cold_rate: rate, cold_period: period, .. } = spec;
            (self.pool(name), ColdSpec { rate: *rate, period: *period })
        });
        self.cold_specs = specs.collect();
    }

    /// Sets the failure domains whose searchers get no requests. Those of a domain that has been
    /// evacuated until now count as cold.
    pub fn set_evacuated(&mut self, domains: &BTreeSet<String>, now: Time) {
        for tracked in self.searchers.values_mut() {
            let is_evacuated = domains.contains(&tracked.searcher.domain);
            if tracked.evacuated && !is_evacuated {
                let spec = self.cold_specs.get(&tracked.searcher.pool);
                let period = spec.map_or(Duration::ZERO, |spec| spec.period);
                let searcher = &mut tracked.searcher;
                searcher.cold_until = searcher.cold_until.max(now + period);
                tracked.cold_at_least_until = now + period.min(REGISTRATION_AGE);
            }
            tracked.evacuated = is_evacuated;
        }
        self.evacuated.clone_from(domains);
    }

    /// Whether all searchers of a pool that are registered as ready are in evacuated domains, and
    /// there is one.
    pub(super) fn is_wholly_evacuated(&self, pool: PoolKey) -> bool {
        let mut ready = self.pool_searchers(pool).filter(|(_, it)| it.searcher.ready).peekable();
        ready.peek().is_some() && ready.all(|(_, it)| it.evacuated)
    }

    /// Whether the searchers of a failure domain get no requests because operators have evacuated
    /// it.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.contains(domain)
    }

    /// To be called before the tier changes, and with it the shares.
    pub(super) fn settle_cold_buckets(&mut self, now: Time) {
        for tracked in self.searchers.values_mut() {
            tracked.cold_bucket.settle(now);
        }
    }

    /// Records how much longer a searcher is cold, if its answer says so.
    pub(super) fn record_cold_left(
        &mut self,
        key: SearcherKey,
        cold_left: Option<Duration>,
        now: Time,
    ) {
        if let (Some(left), Some(tracked)) = (cold_left, self.searchers.get_mut(&key)) {
            tracked.searcher.cold_until = now + left;
            tracked.cold_at_least_until = Time::ZERO;
        }
    }

    /// Requests a second that all daemons together may send to a searcher because it is cold; `None`
    /// if that is not limited.
    pub(super) fn cold_rate(&self, tracked: &TrackedSearcher, now: Time) -> Option<f64> {
        let spec = self.cold_specs.get(&tracked.searcher.pool)?;
        (spec.rate > 0.0 && tracked.is_cold(now)).then_some(spec.rate)
    }

    /// The share of this daemon; `None` if it has none.
    fn cold_share(
        &self,
        tracked: &TrackedSearcher,
        role: PoolRole,
        rate: f64,
    ) -> Option<ColdShare> {
        let TierSize { daemons, domains } = self.tier.size;
        let may_keep = |holders: usize| holders as f64 <= rate * KEPT_RATIO + KEPT_SENDS;
        let factor = match self.tier.list {
            ListState::Unread => return None,
            ListState::Incomplete => {
                let daemons = (daemons * DAEMONS_PER_KNOWN).max(MIN_DAEMONS);
                let rate = rate * LAPSING_RATIO / daemons as f64;
                return Some(ColdShare { rate, lapses: true });
            }
            ListState::Current => 1.0,
            ListState::Outdated => OUTDATED_RATIO,
        };
        let searcher = &tracked.searcher;
        let is_owner = || self.tier.is_listed_owner(self.name_hash(searcher.pool));
        let (role, lapses) = match role {
            PoolRole::Equal => (PoolRole::Equal, !may_keep(daemons)),
            PoolRole::Owner if is_owner() => (PoolRole::Owner, !may_keep(domains)),
            PoolRole::Owner | PoolRole::NonOwner => (PoolRole::NonOwner, true),
        };
        let ratio = if lapses { LAPSING_RATIO } else { STEADY_RATIO };
        let share = self.tier.share(role, &searcher.domain, &self.home).ratio;
        Some(ColdShare { rate: rate * ratio * share * factor, lapses })
    }

    /// Time until a cold searcher may get a request of this daemon; zero if it may now.
    pub(super) fn cold_wait(
        &self,
        tracked: &TrackedSearcher,
        role: PoolRole,
        now: Time,
    ) -> Duration {
        let Some(rate) = self.cold_rate(tracked, now) else { return Duration::ZERO };
        let Some(share) = self.cold_share(tracked, role, rate) else { return UNKNOWN_WAIT };
        let is_busy = tracked.load.outstanding() >= share.max_outstanding();
        let min_wait = if is_busy { UNKNOWN_WAIT } else { Duration::ZERO };
        let first = self.first_cold_sends(&tracked.searcher.id);
        let missing = 1.0 - tracked.cold_bucket.sends(share, first, now);
        // A sum of fractions may be below one by a rounding error.
        if missing < 1e-9 {
            return min_wait;
        }
        let wait = Duration::try_from_secs_f64(missing / share.rate).unwrap_or(Duration::MAX);
        wait.max(min_wait)
    }

    /// Sends of a daemon when it first hears that a searcher is cold. Each daemon begins at another
    /// point between two sends, so that they don't all send at once.
    fn first_cold_sends(&self, id: &str) -> f64 {
        let seed = xxh3_64_with_seed(self.tier.me.as_bytes(), 1);
        xxh3_64_with_seed(id.as_bytes(), seed) as f64 / u64::MAX as f64
    }

    /// Takes one request from what a searcher accepts of this daemon, if it is cold.
    pub(super) fn take_cold_send(&mut self, key: SearcherKey, role: PoolRole, now: Time) {
        let Some(tracked) = self.searchers.get(&key) else { return };
        let Some(rate) = self.cold_rate(tracked, now) else { return };
        let Some(share) = self.cold_share(tracked, role, rate) else { return };
        let first = self.first_cold_sends(&tracked.searcher.id);
        let left = tracked.cold_bucket.sends(share, first, now) - 1.0;
        let Some(tracked) = self.searchers.get_mut(&key) else { return };
        let bucket = &mut tracked.cold_bucket;
        bucket.sends = Some(left);
        bucket.refilled_at = now;
        bucket.share = Some(share);
    }

    /// Whether a request that is about to be sent would be one too many for a cold searcher. Several
    /// that were planned at different times may have waited for a connection and be sent together.
    /// Counts it if it is not.
    pub(super) fn exceeds_cold_limit(&mut self, key: SearcherKey, now: Time) -> bool {
        let Some(tracked) = self.searchers.get(&key) else { return false };
        if self.cold_rate(tracked, now).is_none() {
            return false;
        }
        let Some(tracked) = self.searchers.get_mut(&key) else { return false };
        let bucket = &mut tracked.cold_bucket;
        while bucket.sent_at.front().is_some_and(|&at| at + WINDOW <= now) {
            bucket.sent_at.pop_front();
        }
        // One that was planned while the searcher was warm has set no share.
        if bucket.sent_at.len() >= bucket.share.map_or(1, ColdShare::max_in_window) {
            return true;
        }
        bucket.sent_at.push_back(now);
        false
    }
}
