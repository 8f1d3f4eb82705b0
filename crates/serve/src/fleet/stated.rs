//! What searchers say of themselves in their answers, and which requests that allows.
//!
//! A searcher may limit the rate of requests that it accepts from all daemons together. Each daemon
//! keeps to a share of the limit that follows from its role for the pool, without asking the
//! others: what the shares add up to is never more than the limit, and the daemons that query the
//! pool usually have most of it. A searcher may also say that it is leaving, or ask for no requests
//! for a while; each daemon heeds that from when it hears it.

use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Fleet;
use super::FleetSettings;
use super::SearcherKey;
use super::Tier;
use super::TrackedSearcher;
use super::shares::Share;
use crate::Time;
use crate::fleet::PoolKey;
use crate::routes::PoolRole;

/// Interval between two log lines about a limit that stays in force.
const REPORT_INTERVAL: Duration = Duration::from_secs(4);

/// Requests a second that all daemons together send to a searcher that states a lower limit, so
/// that they notice its end.
const MIN_RATE: f64 = 0.25;

/// Maximum time for which a pool counts as without a searcher that accepts requests because a relay
/// has said so: other daemons may know of others.
const MAX_UNSENT_PERIOD: Duration = Duration::from_millis(500);

/// Time in which unused sends accumulate, so that requests that arrive unevenly can use the limit.
const BURST_PERIOD: Duration = Duration::from_millis(500);

/// Sends that all daemons together may leave unused and make later at once, besides those of
/// [`UNUSED_SECONDS`]. Half of the five requests by which the users let a searcher exceed its limit.
const UNUSED_SENDS: f64 = 2.5;

/// Seconds whose sends all daemons together may leave unused. Half of the two seconds by which the
/// users' bound exceeds the limit in their window of 4 s.
const UNUSED_SECONDS: f64 = 1.0;

/// What one answer says of its searcher.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Statement {
    /// Rate of requests that it accepts from all daemons together.
    pub rate: StatedRate,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// How long it wants no requests from this daemon.
    pub rest: StatedRest,
    /// What it is working on.
    pub load: StatedLoad,
    /// How much longer it is cold, if the answer says so.
    pub cold_left: Option<Duration>,
}

/// The load of a searcher in one answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum StatedLoad {
    /// The answer names none.
    #[default]
    Absent,
    /// The load when the answer was sent.
    Reported(LoadReport),
    /// The value can't be read. What is known of the searcher stays.
    Unreadable,
}

/// The load of a searcher at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// How long work takes relative to the usual time, 1 if it takes as long; `None` if the answer
    /// doesn't say. Other programs on its VM change this many times a second.
    pub slowdown: Option<f64>,
}

/// The limit on the rate of requests in one answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum StatedRate {
    /// The answer names none: the searcher accepts any rate.
    #[default]
    Absent,
    /// Requests a second, finite and not negative.
    PerSecond(f64),
    /// The value can't be read. What is known of the searcher stays.
    Unreadable,
}

/// The time in one answer for which a searcher wants no requests from this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StatedRest {
    /// The answer names none.
    #[default]
    Absent,
    /// From the answer on.
    For(Duration),
    /// The value can't be read. What is known of the searcher stays.
    Unreadable,
}

/// Why a searcher was passed over because of what it has said of itself, or operators of its
/// failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Withheld {
    /// This daemon has used its share of the limit.
    Limit,
    /// It is leaving.
    Leaving,
    /// It wants no requests for a while, or has just resumed and is at work on some.
    Rest,
    /// Operators have evacuated its failure domain.
    Evacuated,
    /// It is cold, and this daemon has used its share of what it then accepts.
    Cold,
}

/// How often searchers were passed over because of what they have said of themselves, or operators
/// of their failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WithheldCounts {
    /// This daemon had used its share of the limit.
    pub limit: u64,
    /// The searcher was leaving.
    pub leaving: u64,
    /// The searcher wanted no requests for a while, or had just resumed.
    pub rest: u64,
    /// The failure domain of the searcher was evacuated.
    pub evacuated: u64,
    /// The searcher was cold, and this daemon had used its share of what it then accepts.
    pub cold: u64,
}

impl WithheldCounts {
    pub(super) fn add(&mut self, reason: Withheld) {
        match reason {
            Withheld::Limit => self.limit += 1,
            Withheld::Leaving => self.leaving += 1,
            Withheld::Rest => self.rest += 1,
            Withheld::Evacuated => self.evacuated += 1,
            Withheld::Cold => self.cold += 1,
        }
    }
}

/// Whether what a searcher has said of itself allows a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    /// It accepts one.
    Open,
    /// It accepts one, but any other searcher of its pool is to be preferred: it is leaving.
    LastResort,
    /// It accepts none for this long.
    Closed(Withheld, Duration),
}

/// Whether an attempt is the first one at its shard, for the counts in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt.
    Primary,
    /// A hedge or retry.
    Extra,
}

/// What a searcher has said of itself so far, and the requests sent since.
#[derive(Debug, Default)]
pub(super) struct Stated {
    limit: Option<StatedLimit>,
    leaving: Option<StatedLeaving>,
    /// Kept for `ramp_period` after its end.
    rest: Option<StatedPause>,
    /// Whether its last answer had a value that can't be read. Logged once.
    unreadable: bool,
}

/// The searcher has said that it is leaving.
#[derive(Debug, Clone, Copy)]
struct StatedLeaving {
    /// When it first said so.
    at: Time,
    /// When it last said so.
    heard_at: Time,
    /// From then on it counts as not leaving; [`Time::MAX`] unless an earlier start may have said
    /// so.
    until: Time,
}

/// The searcher wants no requests.
#[derive(Debug, Clone, Copy)]
struct StatedPause {
    until: Time,
    /// When it last said so.
    heard_at: Time,
}

#[derive(Debug)]
struct StatedLimit {
    per_second: f64,
    /// When an answer last named a limit.
    heard_at: Time,
    /// Requests that may be sent, as of `refilled_at`.
    sends: f64,
    refilled_at: Time,
    reported_at: Time,
    /// First attempts since `reported_at`.
    first_attempts: u32,
    /// Hedges and retries since `reported_at`.
    extra_attempts: u32,
}

impl StatedLimit {
    /// Requests a second that all daemons together may send.
    fn total_rate(&self) -> f64 {
        self.per_second.max(MIN_RATE)
    }

    /// Requests that may be sent at the time `now`.
    fn sends(&self, share: Share, now: Time) -> f64 {
        let rate = self.total_rate() * share.ratio;
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let Some(lapse) = self.lapse_seconds(share) else {
            let max = (rate * BURST_PERIOD.as_secs_f64()).max(1.0);
            return (self.sends + rate * elapsed).min(max);
        };
        let full_after = (1.0 - self.sends).max(0.0) / rate;
        if elapsed < full_after {
            return self.sends + rate * elapsed;
        }
        let since_full = (elapsed - full_after) % (lapse + 1.0 / rate);
        if since_full < lapse { 1.0 } else { (since_full - lapse) * rate }
    }

    /// How long a daemon may leave a send unused before it lapses, in seconds. `None` if even the
    /// unused sends of all daemons together are few.
    fn lapse_seconds(&self, share: Share) -> Option<f64> {
        let unused = self.total_rate() * UNUSED_SECONDS + UNUSED_SENDS;
        (share.daemons as f64 > unused).then(|| unused / self.total_rate())
    }

    /// Time until a request may be sent.
    fn wait(&self, share: Share, now: Time) -> Duration {
        let missing = (1.0 - self.sends(share, now)).max(0.0);
        let rate = self.total_rate() * share.ratio;
        Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX)
    }

    fn counts(&self, now: Time) -> String {
        format!(
            "first={} extra={} in_ms={}",
            self.first_attempts,
            self.extra_attempts,
            now.saturating_sub(self.reported_at).as_millis()
        )
    }
}

impl Stated {
    /// Rate of requests that the searcher accepts from all daemons together, if it limits them.
    pub(super) fn limit(&self) -> Option<f64> {
        self.limit.as_ref().map(|limit| limit.per_second)
    }

    /// How long it still wants no requests at all; zero if it accepts some.
    pub(super) fn rest_left(&self, now: Time) -> Duration {
        self.rest.map_or(Duration::ZERO, |rest| rest.until.saturating_sub(now))
    }

    /// Whether it has said that it is leaving.
    pub(super) fn is_leaving(&self, now: Time) -> bool {
        self.leaving(now).is_some()
    }

    fn leaving(&self, now: Time) -> Option<StatedLeaving> {
        self.leaving.filter(|leaving| now < leaving.until)
    }

    /// Forgets that it has said that it is leaving.
    pub(super) fn retract_leaving(&mut self) {
        self.leaving = None;
    }

    /// What a start of the searcher that began after `began_after` may have said of it. Whether it
    /// leaves is the statement of an earlier start if that `was_leaving`.
    pub(super) fn heard_since(
        self,
        settings: &FleetSettings,
        began_after: Time,
        was_leaving: bool,
    ) -> Stated {
        let is_new = |heard_at: Time| heard_at >= began_after;
        let leaving = self.leaving.filter(|leaving| !was_leaving && is_new(leaving.heard_at));
        Stated {
            limit: self.limit.filter(|limit| is_new(limit.heard_at)),
            leaving: leaving.map(|leaving| StatedLeaving {
                until: leaving.heard_at + settings.doubt_period,
                ..leaving
            }),
            rest: self.rest.filter(|rest| is_new(rest.heard_at)),
            unreadable: false,
        }
    }

    /// Whether a request of a daemon with this `share` of its limit may be sent while `outstanding`
    /// are in flight.
    fn admission(
        &self,
        settings: &FleetSettings,
        share: Share,
        outstanding: usize,
        now: Time,
    ) -> Admission {
        let rest = self.rest_left(now);
        if !rest.is_zero() {
            return Admission::Closed(Withheld::Rest, rest);
        }
        let leaving = self.leaving(now);
        if leaving.is_some_and(|leaving| leaving.at + settings.leaving_period <= now) {
            return Admission::Closed(Withheld::Leaving, Duration::MAX);
        }
        if let Some(rest) = self.rest {
            let resumed = now.saturating_sub(rest.until);
            let allowed = 1 + (resumed.as_nanos() / settings.ramp_step.as_nanos().max(1)) as usize;
            if resumed < settings.ramp_period && outstanding >= allowed {
                return Admission::Closed(Withheld::Rest, settings.ramp_step);
            }
        }
        let wait = self.limit.as_ref().map_or(Duration::ZERO, |limit| limit.wait(share, now));
        match (wait.is_zero(), leaving.is_some()) {
            (false, _) => Admission::Closed(Withheld::Limit, wait),
            (true, true) => Admission::LastResort,
            (true, false) => Admission::Open,
        }
    }

    fn take(&mut self, kind: AttemptKind, share: Share, now: Time) {
        let Some(limit) = &mut self.limit else { return };
        limit.sends = limit.sends(share, now) - 1.0;
        limit.refilled_at = now;
        match kind {
            AttemptKind::Primary => limit.first_attempts += 1,
            AttemptKind::Extra => limit.extra_attempts += 1,
        }
    }

    fn put_back(&mut self, kind: AttemptKind) {
        let Some(limit) = &mut self.limit else { return };
        limit.sends += 1.0;
        match kind {
            AttemptKind::Primary => limit.first_attempts = limit.first_attempts.saturating_sub(1),
            AttemptKind::Extra => limit.extra_attempts = limit.extra_attempts.saturating_sub(1),
        }
    }

    /// Applies the answer to a request that was sent at `sent_at`. A new limit starts with
    /// `first_sends` requests. Returns what is to be logged: changes, and at intervals a limit that
    /// stays in force.
    fn apply(
        &mut self,
        settings: &FleetSettings,
        statement: &Statement,
        first_sends: f64,
        sent_at: Time,
        now: Time,
    ) -> Vec<String> {
        let mut lines = Vec::new();
        let unreadable =
            statement.rate == StatedRate::Unreadable || statement.rest == StatedRest::Unreadable;
        if unreadable && !self.unreadable {
            lines.push(format!("unreadable rate={:?} rest={:?}", statement.rate, statement.rest));
        }
        self.unreadable = unreadable;
        lines.extend(self.apply_rate(statement.rate, first_sends, sent_at, now));
        if statement.leaving {
            let known = self.leaving(now);
            if known.is_none() {
                lines.push("leaving=true".to_owned());
            }
            let at = known.map_or(now, |leaving| leaving.at);
            self.leaving = Some(StatedLeaving { at, heard_at: now, until: Time::MAX });
        }
        lines.extend(self.apply_rest(settings, statement.rest, sent_at, now));
        lines
    }

    fn apply_rest(
        &mut self,
        settings: &FleetSettings,
        rest: StatedRest,
        sent_at: Time,
        now: Time,
    ) -> Option<String> {
        match rest {
            StatedRest::Unreadable => None,
            StatedRest::Absent => {
                let until = self.rest?.until;
                (until + settings.ramp_period <= sent_at).then(|| {
                    self.rest = None;
                    "rest=ended".to_owned()
                })
            }
            StatedRest::For(rest) => {
                let until = now + rest.min(settings.max_rest);
                let is_new = self.rest_left(now).is_zero();
                let until_before = self.rest.map_or(Time::ZERO, |rest| rest.until);
                self.rest = Some(StatedPause { until: until_before.max(until), heard_at: now });
                is_new.then(|| format!("rest_ms={}", (until - now).as_millis()))
            }
        }
    }

    fn apply_rate(
        &mut self,
        rate: StatedRate,
        first_sends: f64,
        sent_at: Time,
        now: Time,
    ) -> Option<String> {
        match (rate, &mut self.limit) {
            (StatedRate::Unreadable, _) | (StatedRate::Absent, None) => None,
            // An older answer may arrive after a newer one.
            (StatedRate::Absent, Some(limit)) if sent_at < limit.heard_at => None,
            (StatedRate::Absent, Some(limit)) => {
                let line = format!("limit=ended {}", limit.counts(now));
                self.limit = None;
                Some(line)
            }
            (StatedRate::PerSecond(per_second), None) => {
                self.limit = Some(StatedLimit {
                    per_second,
                    heard_at: now,
                    sends: first_sends,
                    refilled_at: now,
                    reported_at: now,
                    first_attempts: 0,
                    extra_attempts: 0,
                });
                Some(format!("limit={per_second}"))
            }
            (StatedRate::PerSecond(per_second), Some(limit)) => {
                limit.heard_at = now;
                let changed = limit.per_second != per_second;
                limit.per_second = per_second;
                (changed || limit.reported_at + REPORT_INTERVAL <= now).then(|| {
                    let line = format!("limit={per_second} {}", limit.counts(now));
                    (limit.first_attempts, limit.extra_attempts) = (0, 0);
                    limit.reported_at = now;
                    line
                })
            }
        }
    }
}

impl Fleet {
    /// Sets the daemons among which the limits of searchers are divided.
    pub fn set_tier(&mut self, tier: Tier, now: Time) {
        if tier != self.tier {
            self.settle_cold_buckets(now);
        }
        self.tier = tier;
    }

    /// Records what an answer says of its searcher, also after its registration was removed or
    /// replaced. To be called before the attempt `token` is recorded as ended. Returns what is to be
    /// logged.
    pub fn record_statement(
        &mut self,
        key: SearcherKey,
        token: u64,
        statement: &Statement,
        now: Time,
    ) -> Vec<String> {
        self.record_load(key, token, statement.load, now);
        // Many daemons may hear a limit at the same time. Each begins at another point between
        // two sends, so that they don't all send their first request at once.
        let seed = xxh3_64_with_seed(self.tier.me.as_bytes(), 0);
        let tracked = self.searchers.get(&key);
        let id = tracked.map_or("", |tracked| tracked.searcher.id.as_str());
        let hash = xxh3_64_with_seed(id.as_bytes(), seed);
        let first_sends = hash as f64 / u64::MAX as f64;
        // Not known if the registration was replaced since.
        let sent_at = tracked.and_then(|tracked| tracked.load.sent_at(token)).unwrap_or(Time::ZERO);
        self.record_cold_left(key, statement.cold_left, now);
        let settings = self.settings;
        self.stated_mut(key).map_or_else(Vec::new, |stated| {
            stated.apply(&settings, statement, first_sends, sent_at, now)
        })
    }

    /// Takes one request to a searcher from what it accepts of this daemon.
    pub fn take_send(&mut self, key: SearcherKey, role: PoolRole, kind: AttemptKind, now: Time) {
        let Some(tracked) = self.searchers.get_mut(&key) else { return };
        let share = self.tier.share(role, &tracked.searcher.domain, &self.home);
        tracked.stated.take(kind, share, now);
        self.take_cold_send(key, role, now);
    }

    /// Gives back a request of [`Fleet::take_send`] that was not sent.
    pub fn put_back_send(&mut self, key: SearcherKey, kind: AttemptKind) {
        if let Some(tracked) = self.searchers.get_mut(&key) {
            tracked.stated.put_back(kind);
            tracked.cold_bucket.put_back();
        }
    }

    /// Whether a request that was planned earlier must not be sent any more, since the searcher has
    /// asked for no requests meanwhile or its failure domain has been evacuated.
    pub fn is_withheld(&mut self, key: SearcherKey, now: Time) -> bool {
        let settings = self.settings;
        if self.domain_of(key).is_some_and(|domain| self.is_evacuated(domain)) {
            self.withheld.add(Withheld::Evacuated);
            return true;
        }
        if self.exceeds_cold_limit(key, now) {
            self.withheld.add(Withheld::Cold);
            return true;
        }
        let Some(stated) = self.stated_mut(key) else { return false };
        // The request counts as outstanding and against the limit already.
        match stated.admission(&settings, Share { ratio: 1.0, daemons: 1 }, 0, now) {
            Admission::Closed(
                reason @ (Withheld::Rest | Withheld::Leaving | Withheld::Evacuated),
                _,
            ) => {
                self.withheld.add(reason);
                true
            }
            Admission::Closed(Withheld::Limit | Withheld::Cold, _)
            | Admission::Open
            | Admission::LastResort => false,
        }
    }

    /// Time until a searcher of `pool` accepts a request of this daemon, by what the searchers say
    /// of themselves; `None` if all are leaving, not registered as ready, or in evacuated domains.
    pub fn pool_wait(&self, pool: PoolKey, role: PoolRole, now: Time) -> Option<Duration> {
        self.pool_wait_within(pool, role, None, now)
    }

    /// As [`Fleet::pool_wait`], for the searchers in these failure domains; `None` allows any.
    pub fn pool_wait_within(
        &self,
        pool: PoolKey,
        role: PoolRole,
        domains: Option<&BTreeSet<String>>,
        now: Time,
    ) -> Option<Duration> {
        let unsent =
            self.unsent_until.get(&pool).map_or(Duration::ZERO, |until| until.saturating_sub(now));
        let is_ready =
            |tracked: &TrackedSearcher| tracked.searcher.ready && tracked.is_within(domains);
        let ready = self.pool_searchers(pool).filter(|(_, tracked)| is_ready(tracked));
        let waits = ready.filter_map(|(_, tracked)| match self.admission(tracked, role, now) {
            Admission::Open | Admission::LastResort => Some(Duration::ZERO),
            Admission::Closed(Withheld::Leaving | Withheld::Evacuated, _) => None,
            Admission::Closed(Withheld::Limit | Withheld::Rest | Withheld::Cold, wait) => {
                Some(wait)
            }
        });
        Some(waits.min()?.max(unsent))
    }

    /// Records that a relay had no searcher of `pool` that accepts a request before `until`.
    pub fn record_unsent(&mut self, pool: PoolKey, until: Time, now: Time) {
        self.unsent_until.retain(|_, until| *until > now);
        self.unsent_until.insert(pool, until.min(now + MAX_UNSENT_PERIOD));
    }

    /// Whether a relay that gets a request for `pool` now most likely sends it to no searcher.
    pub fn is_unsent(&self, pool: PoolKey, now: Time) -> bool {
        self.unsent_until.get(&pool).is_some_and(|until| *until > now)
            || self.is_wholly_evacuated(pool)
    }

    /// Counts the searchers of `pool` that a choice passes over because of what they have said.
    pub(crate) fn count_withheld(&mut self, pool: PoolKey, role: PoolRole, now: Time) {
        let mut counts = self.withheld;
        for (_, tracked) in self.pool_searchers(pool) {
            match self.admission(tracked, role, now) {
                Admission::Open => {}
                Admission::LastResort => counts.add(Withheld::Leaving),
                Admission::Closed(reason, _) => counts.add(reason),
            }
        }
        self.withheld = counts;
    }

    /// How often searchers were passed over because of what they have said of themselves.
    pub fn withheld_counts(&self) -> WithheldCounts {
        self.withheld
    }

    /// Whether what a searcher has said of itself allows a request of this daemon, and operators
    /// have not evacuated its failure domain.
    pub(super) fn admission(
        &self,
        tracked: &TrackedSearcher,
        role: PoolRole,
        now: Time,
    ) -> Admission {
        if tracked.evacuated {
            return Admission::Closed(Withheld::Evacuated, Duration::MAX);
        }
        let share = self.tier.share(role, &tracked.searcher.domain, &self.home);
        let stated =
            tracked.stated.admission(&self.settings, share, tracked.load.outstanding(), now);
        match (stated, self.cold_wait(tracked, role, now)) {
            (Admission::Open | Admission::LastResort, wait) if !wait.is_zero() => {
                Admission::Closed(Withheld::Cold, wait)
            }
            (stated, _) => stated,
        }
    }
}
