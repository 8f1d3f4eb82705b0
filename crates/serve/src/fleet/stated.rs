//! What searchers say of themselves in their answers, and which requests that allows.
//!
//! A searcher may limit the rate of requests that it accepts from all daemons together. Each daemon
//! keeps to a share of the limit that follows from its role for the pool, without asking the
//! others: what the shares add up to is never more than the limit, and the daemons that query the
//! pool usually have most of it.

use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Fleet;
use super::SearcherKey;
use super::TrackedSearcher;
use crate::Time;
use crate::fleet::PoolKey;
use crate::members::TierSize;
use crate::routes::PoolRole;

/// Interval between two log lines about a limit that stays in force.
const REPORT_INTERVAL: Duration = Duration::from_secs(4);

/// Requests a second that all daemons together send to a searcher that states a lower limit, so
/// that they notice its end.
const MIN_RATE: f64 = 0.25;

/// Share of a limit for the owner in the searcher's own failure domain, which prefers it to those
/// of other domains.
const LOCAL_OWNER_SHARE: f64 = 0.6;

/// Share of a limit for the owners in all other domains together.
const REMOTE_OWNERS_SHARE: f64 = 0.3;

/// Share of a limit for all daemons together that own the pool in no domain. They query it
/// directly only while the owner can't be reached.
const NON_OWNERS_SHARE: f64 = 0.1;

/// Time in which unused sends accumulate, so that requests that arrive unevenly can use the limit.
const BURST_PERIOD: Duration = Duration::from_millis(500);

/// What one answer says of its searcher.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Statement {
    /// Rate of requests that it accepts from all daemons together.
    pub rate: StatedRate,
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

/// Whether an attempt is the first one at its shard, for the counts in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt.
    First,
    /// A hedge or retry.
    Extra,
}

/// The daemons among which the limits of searchers are divided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tier {
    /// Name of the VM of this daemon.
    pub me: String,
    /// Number of daemons and of their failure domains.
    pub size: TierSize,
    /// The failure domains.
    pub domains: BTreeSet<String>,
}

impl Tier {
    /// The share of the limit of a searcher in `domain` that is left to this daemon, which is in
    /// the domain `home` and has `role` for the pool.
    fn share(&self, role: PoolRole, domain: &str, home: &str) -> f64 {
        let TierSize { daemons, domains } = self.size;
        let others = domains.saturating_sub(1).max(1) as f64;
        match role {
            PoolRole::Equal => 1.0 / daemons.max(1) as f64,
            PoolRole::Owner if domain == home => LOCAL_OWNER_SHARE,
            PoolRole::Owner if self.domains.contains(domain) => REMOTE_OWNERS_SHARE / others,
            PoolRole::Owner => (LOCAL_OWNER_SHARE + REMOTE_OWNERS_SHARE) / domains.max(1) as f64,
            PoolRole::NonOwner => NON_OWNERS_SHARE / daemons.saturating_sub(domains).max(1) as f64,
        }
    }
}

/// What a searcher has said of itself so far, and the requests sent since.
#[derive(Debug, Default)]
pub(super) struct Stated {
    limit: Option<StatedLimit>,
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
    /// Requests a second that this daemon may send.
    fn rate(&self, share: f64) -> f64 {
        self.per_second.max(MIN_RATE) * share
    }

    /// Requests that may be sent at the time `now`.
    fn sends(&self, share: f64, now: Time) -> f64 {
        let rate = self.rate(share);
        let max = (rate * BURST_PERIOD.as_secs_f64()).max(1.0);
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        (self.sends + rate * elapsed).min(max)
    }

    /// Time until a request may be sent.
    fn wait(&self, share: f64, now: Time) -> Duration {
        let missing = (1.0 - self.sends(share, now)).max(0.0);
        Duration::try_from_secs_f64(missing / self.rate(share)).unwrap_or(Duration::MAX)
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

    /// Time until what the searcher has said of itself allows a request of a daemon with this
    /// `share` of its limit; zero if one may be sent.
    fn wait(&self, share: f64, now: Time) -> Duration {
        self.limit.as_ref().map_or(Duration::ZERO, |limit| limit.wait(share, now))
    }

    fn take(&mut self, kind: AttemptKind, share: f64, now: Time) {
        let Some(limit) = &mut self.limit else { return };
        limit.sends = limit.sends(share, now) - 1.0;
        limit.refilled_at = now;
        match kind {
            AttemptKind::First => limit.first_attempts += 1,
            AttemptKind::Extra => limit.extra_attempts += 1,
        }
    }

    fn put_back(&mut self, kind: AttemptKind) {
        let Some(limit) = &mut self.limit else { return };
        limit.sends += 1.0;
        match kind {
            AttemptKind::First => limit.first_attempts = limit.first_attempts.saturating_sub(1),
            AttemptKind::Extra => limit.extra_attempts = limit.extra_attempts.saturating_sub(1),
        }
    }

    /// Applies the answer to a request that was sent at `sent_at`. A new limit starts with
    /// `first_sends` requests. Returns a log line if something has changed, and at intervals while
    /// a limit is in force.
    fn apply(
        &mut self,
        statement: &Statement,
        first_sends: f64,
        sent_at: Time,
        now: Time,
    ) -> Option<String> {
        match (statement.rate, &mut self.limit) {
            (StatedRate::Unreadable, _) => Some("limit=unreadable".to_owned()),
            (StatedRate::Absent, None) => None,
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
    pub fn set_tier(&mut self, tier: Tier) {
        self.tier = tier;
    }

    /// Records what an answer says of its searcher. To be called before the attempt `token` is
    /// recorded as ended. Returns a log line if there is something to report.
    pub fn record_statement(
        &mut self,
        key: SearcherKey,
        token: u64,
        statement: &Statement,
        now: Time,
    ) -> Option<String> {
        let tracked = self.searchers.get_mut(&key)?;
        // Many daemons may hear a limit at the same time. Each begins at another point between
        // two sends, so that they don't all send their first request at once.
        let seed = xxh3_64_with_seed(self.tier.me.as_bytes(), 0);
        let hash = xxh3_64_with_seed(tracked.searcher.id.as_bytes(), seed);
        let first_sends = hash as f64 / u64::MAX as f64;
        let sent = tracked.outstanding.iter().find(|(other, _)| *other == token);
        let sent_at = sent.map_or(Time::ZERO, |&(_, sent_at)| sent_at);
        tracked.stated.apply(statement, first_sends, sent_at, now)
    }

    /// Takes one request to a searcher from what it accepts of this daemon.
    pub fn take_send(&mut self, key: SearcherKey, role: PoolRole, kind: AttemptKind, now: Time) {
        let Some(tracked) = self.searchers.get_mut(&key) else { return };
        let share = self.tier.share(role, &tracked.searcher.domain, &self.home);
        tracked.stated.take(kind, share, now);
    }

    /// Gives back a request of [`Fleet::take_send`] that was not sent.
    pub fn put_back_send(&mut self, key: SearcherKey, kind: AttemptKind) {
        if let Some(tracked) = self.searchers.get_mut(&key) {
            tracked.stated.put_back(kind);
        }
    }

    /// Time until a searcher of `pool` accepts a request of this daemon, by what the searchers say
    /// of themselves; `None` if none of them is registered as ready.
    pub fn pool_wait(&self, pool: PoolKey, role: PoolRole, now: Time) -> Option<Duration> {
        let ready = self.pool_searchers(pool).filter(|(_, tracked)| tracked.searcher.ready);
        ready.map(|(_, tracked)| self.stated_wait(tracked, role, now)).min()
    }

    /// Time until what a searcher has said of itself allows a request of this daemon.
    pub(super) fn stated_wait(
        &self,
        tracked: &TrackedSearcher,
        role: PoolRole,
        now: Time,
    ) -> Duration {
        let share = self.tier.share(role, &tracked.searcher.domain, &self.home);
        tracked.stated.wait(share, now)
    }
}
