//! The estimate of the bucket of one organisation for the whole tier.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::AllowanceStatus;
use super::Throttled;
use super::UsageRecord;
use super::UsageReport;
use super::UsageScope;
use super::digest;
use super::meter::DemandMeter;
use super::meter::UsageMeter;
use crate::Time;
use crate::config::Allowance;

/// Tokens beyond the burst, out of the 20 requests by which an allowance may be exceeded. They cover
/// that daemons know of each other's requests late, by which small organisations within their limit
/// would be refused.
const SPARE_TOKENS: f64 = 8.0;

/// Time in which a debt is to be paid while demand exceeds the rate. At a debt of this time's rate
/// nothing is admitted. Above the time that most reports take between domains (0.8 s), below the
/// window of 5 s.
const CORRECTION_SECONDS: f64 = 1.0;

/// Time in which a bucket may be drained while demand exceeds the rate. Shorter ones exceed the
/// allowance at the start of a flood; longer ones refuse requests of a burst.
const SPENDING_SECONDS: f64 = 0.5;

/// Level of the buckets at the start of a process in a running tier, in seconds of the rate: the
/// processes before may have left a debt. Less would refuse organisations that use up to three
/// quarters of their rate.
const START_LEVEL_SECONDS: f64 = -0.25;

/// Time constant of the usual demand, with which the present one is compared.
const USUAL_SECONDS: f64 = 2.0;

/// Maximum growth of demand that is assumed at silent daemons. Callers that move from one daemon to
/// another look like growth; a higher bound refuses more of them.
const MAX_GROWTH: f64 = 6.0;

/// Added to both demands before they are compared, in requests a second: a few more requests of a
/// small organisation are no growth.
const GROWTH_DEMAND: f64 = 10.0;

/// Time for which a new share applies to what has been used already. It covers the time in which
/// daemons still count as live that are no longer heard.
const LOOKBACK: Duration = Duration::from_millis(2400);

/// Growth of the demand at which it is reported without waiting for the next round of heartbeats.
const URGENT_GROWTH: f64 = 2.0;

/// Demand below which growth is not reported early, in requests a second. Two requests in quick
/// succession make up that much.
const URGENT_DEMAND: f64 = 5.0;

/// Time for which a pair that hasn't changed is still reported, so that a few lost datagrams don't
/// hide its last change.
const REPORT_PERIOD: Duration = Duration::from_secs(3);

/// Minimum of what callers are told to wait: below it, a retry meets the same bucket.
const MIN_WAIT: Duration = Duration::from_millis(200);

/// Admitted fraction below which callers are not told to wait longer.
const MIN_FRACTION: f64 = 0.1;

/// Maximum of what callers are told to wait, for allowances of few requests a minute.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The bucket of one organisation for the whole tier.
#[derive(Debug)]
pub(super) struct Bucket {
    name: String,
    allowance: Allowance,
    share: f64,
    created_at: Time,
    tokens: f64,
    /// When `tokens` was computed.
    at: Time,
    /// Integral of the admitted fraction over time, in seconds.
    admitted_seconds: f64,
    /// Fractions of requests that have been asked since the last one that was admitted.
    credit: f64,
    /// Requests of all daemons that were known at recent times, the oldest first.
    used: VecDeque<(Time, u64)>,
    /// Demand that was reported last, by scope.
    reported_demand: [f64; 3],
    /// Requests that this daemon has admitted and not got back; never decreases.
    count: u64,
    /// Value of `count` that has been reported last.
    reported: u64,
    /// Tokens that came back after they had been reported; the next requests use them.
    unclaimed: u64,
    demand: DemandMeter,
    asked_at: Time,
    /// Slow average of `demand`.
    usual_demand: f64,
    /// Last call of [`Bucket::expire`].
    expired_at: Time,
    /// Other daemons of this domain, by start.
    neighbours: BTreeMap<u64, UsageMeter>,
    /// Requests that neighbours have reported since this process started.
    neighbours_count: u64,
    /// Other failure domains, by digest of the name. Known to delegates only.
    domains: BTreeMap<u64, UsageMeter>,
    /// All other failure domains together.
    elsewhere: UsageMeter,
    asked: u64,
    refused: u64,
    returned: u64,
    logged_at: Option<Time>,
}

impl Bucket {
    /// Creates a bucket. `starts_full` says that nothing can have been used before.
    pub(super) fn new(name: String, allowance: Allowance, starts_full: bool, now: Time) -> Bucket {
        let tokens = if starts_full {
            allowance.burst + SPARE_TOKENS
        } else {
            allowance.per_second * START_LEVEL_SECONDS
        };
        Bucket {
            name,
            allowance,
            share: 1.0,
            created_at: now,
            tokens,
            at: now,
            admitted_seconds: 0.0,
            // So that the first request is not refused when demand is slightly too high.
            credit: 0.5,
            used: VecDeque::new(),
            reported_demand: [0.0; 3],
            count: 0,
            reported: 0,
            unclaimed: 0,
            demand: DemandMeter::new(now),
            asked_at: now,
            usual_demand: 0.0,
            expired_at: now,
            neighbours: BTreeMap::new(),
            neighbours_count: 0,
            domains: BTreeMap::new(),
            elsewhere: UsageMeter::default(),
            asked: 0,
            refused: 0,
            returned: 0,
            logged_at: None,
        }
    }

    /// Changes the limit. A lower one takes tokens away, a higher one adds none.
    pub(super) fn set_allowance(&mut self, allowance: Allowance, share: f64, now: Time) {
        self.advance(now);
        self.allowance = allowance;
        self.set_share(share);
    }

    /// When the level was last computed.
    pub(super) fn updated_at(&self) -> Time {
        self.at
    }

    /// State for operators.
    pub(super) fn status(&mut self, now: Time) -> AllowanceStatus {
        self.advance(now);
        AllowanceStatus {
            name: self.name.clone(),
            allowance: self.allowance,
            level: self.tokens,
            demand: self.total_demand(),
            asked: self.asked,
            refused: self.refused,
            returned: self.returned,
        }
    }

    /// Removes tokens after a pause of this process. All `known` daemons may have been paused, and
    /// each believes that the bucket has filled up.
    pub(super) fn end_pause(&mut self, known: usize, now: Time) {
        self.advance(now);
        self.tokens = self.tokens.min(self.max_tokens() / known.max(1) as f64);
        self.used.clear();
    }

    /// Tokens added a second.
    fn rate(&self) -> f64 {
        self.allowance.per_second * self.share
    }

    /// Maximum level. At least one token, so that single requests can be sent.
    fn max_tokens(&self) -> f64 {
        ((self.allowance.burst + SPARE_TOKENS) * self.share).max(1.0)
    }

    /// Applies the part of the limit that this daemon and those that it hears may use.
    pub(super) fn set_share(&mut self, share: f64) {
        self.share = share;
        self.tokens = self.tokens.min(self.max_tokens());
    }

    /// Deducts what was used beyond the present share in the time that passes until a partition of
    /// the tier is noticed: the other part has done the same.
    pub(super) fn apply_share_to_past(&mut self, now: Time) {
        let used = self.count + self.neighbours_count + self.elsewhere.count();
        self.used.push_back((now, used));
        while self.used.get(1).is_some_and(|&(at, _)| at + LOOKBACK <= now) {
            self.used.pop_front();
        }
        let Some(&(since, before)) = self.used.front() else { return };
        let seconds = now.saturating_sub(since).as_secs_f64();
        let allowed = self.max_tokens() + self.rate() * seconds;
        self.tokens = self.tokens.min(allowed - used.saturating_sub(before) as f64);
    }

    /// Demand at other daemons, in requests a second.
    fn other_demand(&self) -> f64 {
        let neighbours: f64 = self.neighbours.values().map(UsageMeter::assumed_demand).sum();
        neighbours + self.elsewhere.assumed_demand()
    }

    /// Demand at all daemons, in requests a second.
    fn total_demand(&self) -> f64 {
        self.demand.rate() + self.other_demand()
    }

    /// Part of the requests that can be admitted: all of them, unless the bucket would then be empty
    /// within [`SPENDING_SECONDS`], or its debt not be paid within [`CORRECTION_SECONDS`].
    fn admitted_fraction(&self) -> f64 {
        let seconds = if self.tokens > 0.0 { SPENDING_SECONDS } else { CORRECTION_SECONDS };
        let yielded = self.rate() + self.tokens / seconds;
        let demand = self.total_demand();
        if yielded >= demand { 1.0 } else { (yielded / demand).max(0.0) }
    }

    /// Adds the tokens of the time since the last call, and deducts what others are expected to
    /// have admitted.
    pub(super) fn advance(&mut self, now: Time) {
        let seconds = now.saturating_sub(self.at).as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        self.demand.advance(now);
        let admitted = self.admitted_fraction() * seconds;
        self.admitted_seconds += admitted;
        let change = self.rate() * seconds - self.other_demand() * admitted;
        self.tokens = (self.tokens + change).min(self.max_tokens());
        self.at = now;
    }

    /// Admits a request, if there is enough left of the allowance.
    pub(super) fn admit(&mut self, jitter: f64, now: Time) -> Result<(), Throttled> {
        self.advance(now);
        self.asked += 1;
        self.asked_at = now;
        self.demand.add();
        let fraction = self.admitted_fraction();
        self.credit += fraction;
        if self.credit < 1.0 {
            self.refused += 1;
            return Err(self.throttled(jitter, now));
        }
        self.credit -= 1.0;
        self.tokens -= 1.0;
        if self.unclaimed > 0 {
            self.unclaimed -= 1;
        } else {
            self.count += 1;
        }
        Ok(())
    }

    /// The answer to a request that is refused.
    fn throttled(&mut self, jitter: f64, now: Time) -> Throttled {
        let seconds = (1.0 - self.tokens).max(0.0) / self.rate().max(f64::MIN_POSITIVE);
        let wait = Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()));
        let logged = self.logged_at.is_none_or(|at| at + Duration::from_secs(1) <= now);
        if logged {
            self.logged_at = Some(now);
        }
        let meters = self.neighbours.values().chain([&self.elsewhere]);
        // The fewer requests are admitted, the later callers should return.
        let fraction = self.admitted_fraction().max(MIN_FRACTION);
        Throttled {
            wait: (wait + MIN_WAIT.div_f64(fraction)).mul_f64(1.0 + jitter),
            level: self.tokens,
            demand: self.total_demand(),
            refused: self.refused,
            heard_at: meters.filter_map(UsageMeter::heard_at).max(),
            logged,
        }
    }

    /// Takes back the token of an admitted request that hasn't run.
    pub(super) fn give_back(&mut self, now: Time) {
        self.advance(now);
        self.returned += 1;
        self.demand.remove();
        self.tokens = (self.tokens + 1.0).min(self.max_tokens());
        if self.count > self.reported {
            self.count -= 1;
        } else {
            self.unclaimed += 1;
        }
    }

    /// The count and demand to be reported, if they have changed recently.
    pub(super) fn usage(&mut self, scope: UsageScope, now: Time) -> Option<(u64, f64)> {
        self.advance(now);
        let asked_at = (self.asked > 0).then_some(self.asked_at);
        let heard_at = |meters: &BTreeMap<u64, UsageMeter>| {
            meters.values().filter_map(UsageMeter::heard_at).max()
        };
        let (count, changed_at) = match scope {
            UsageScope::Own => (self.count, asked_at),
            UsageScope::Domain => {
                (self.count + self.neighbours_count, asked_at.max(heard_at(&self.neighbours)))
            }
            UsageScope::OtherDomains => (self.domains_count(), heard_at(&self.domains)),
        };
        changed_at.filter(|&at| now < at + REPORT_PERIOD)?;
        if scope != UsageScope::OtherDomains {
            self.reported = self.count;
        }
        let demand = self.scope_demand(scope);
        self.reported_demand[scope as usize] = demand;
        Some((count, demand))
    }

    /// Whether the demand in a scope has grown so much that it must be reported at once.
    pub(super) fn is_urgent(&self, scope: UsageScope) -> bool {
        let reported = self.reported_demand[scope as usize];
        self.scope_demand(scope) >= URGENT_GROWTH * reported + URGENT_DEMAND
    }

    /// Demand in a scope, in requests a second.
    fn scope_demand(&self, scope: UsageScope) -> f64 {
        let sum = |meters: &BTreeMap<u64, UsageMeter>| -> f64 {
            meters.values().map(UsageMeter::assumed_demand).sum()
        };
        match scope {
            UsageScope::Own => self.demand.rate(),
            UsageScope::Domain => self.demand.rate() + sum(&self.neighbours),
            UsageScope::OtherDomains => sum(&self.domains),
        }
    }

    /// Requests in other domains since this process started, as the delegates of these domains have
    /// reported them to this daemon.
    fn domains_count(&self) -> u64 {
        self.domains.values().map(UsageMeter::count).sum()
    }

    /// Merges a record from the report of another daemon.
    pub(super) fn merge(
        &mut self,
        report: &UsageReport,
        record: &UsageRecord,
        domain: &str,
        now: Time,
    ) {
        self.advance(now);
        let admitted = self.admitted_seconds;
        let age = now.saturating_sub(self.created_at);
        let correction = match report.scope {
            UsageScope::Own => {
                let meter = self.neighbours.entry(report.start).or_default();
                let before = meter.count();
                let correction = meter.update(report.start, record, admitted, age, now);
                self.neighbours_count += meter.count() - before;
                correction
            }
            UsageScope::Domain => {
                let meter = self.domains.entry(digest(domain)).or_default();
                meter.update(report.start, record, admitted, age, now);
                let (count, demand) =
                    (self.domains_count(), self.scope_demand(UsageScope::OtherDomains));
                let total = UsageRecord { count, demand, ..*record };
                // What this daemon sums up itself is one more source of the total.
                self.elsewhere.update(0, &total, admitted, age, now)
            }
            UsageScope::OtherDomains => {
                self.elsewhere.update(report.start, record, admitted, age, now)
            }
        };
        self.tokens = (self.tokens + correction).min(self.max_tokens());
    }

    /// Sets the demand of daemons that have not reported for long to zero, and removes them later.
    pub(super) fn expire(&mut self, now: Time) {
        if self.asked_at + REPORT_PERIOD <= now {
            // Others have charged these tokens and refilled them since.
            self.unclaimed = 0;
        }
        let admitted = self.admitted_seconds;
        let seconds = now.saturating_sub(self.expired_at).as_secs_f64();
        let smoothing = 1.0 - (-seconds / USUAL_SECONDS).exp();
        self.expired_at = now;
        self.usual_demand += (self.demand.rate() - self.usual_demand) * smoothing;
        self.neighbours.retain(|_, meter| meter.expire(admitted, smoothing, now));
        self.domains.retain(|_, meter| meter.expire(admitted, smoothing, now));
        self.elsewhere.expire(admitted, smoothing, now);
        let growth = self.growth(now);
        for meter in self.neighbours.values_mut() {
            meter.assume_growth(growth, admitted, now);
        }
        self.elsewhere.assume_growth(growth, admitted, now);
    }

    /// By how much the demand exceeds the usual one at this daemon and those heard in the last
    /// round. Floods come from everywhere: those that are silent may see the same.
    fn growth(&self, now: Time) -> f64 {
        let mut present = self.demand.rate() + GROWTH_DEMAND;
        let mut usual = self.usual_demand + GROWTH_DEMAND;
        let meters = self.neighbours.values().chain([&self.elsewhere]);
        for meter in meters.filter(|it| it.is_current(now)) {
            present += meter.demand();
            usual += meter.usual_demand();
        }
        (present / usual).clamp(1.0, MAX_GROWTH)
    }
}
