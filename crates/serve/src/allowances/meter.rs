//! Demand at this daemon, and usage that others report.

use std::time::Duration;

use super::UsageRecord;
use crate::Time;

/// Time constant of the average of demand. Shorter ones make the demand of small organisations
/// noisy; with longer ones a flood is noticed late.
const DEMAND_SECONDS: f64 = 0.4;

/// Time without a report after which the demand of a source counts as zero; as long as a daemon
/// counts as live without heartbeats.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1700);

/// Time without a report from which a source counts as silent: more than one round of heartbeats.
const ROUND_TIMEOUT: Duration = Duration::from_millis(450);

/// Time without a report after which a source is removed. A daemon that is cut off for a shorter
/// time has all its requests charged when it is heard again.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum part of a counter that is charged when a source is heard for the first time, as the
/// time in which its demand makes up the count. Earlier requests are older than the bucket, or
/// have been charged before.
const FIRST_CHARGE: Duration = Duration::from_secs(1);

/// Exponentially weighted average of the requests asked of this daemon.
#[derive(Debug)]
pub(super) struct DemandMeter {
    rate: f64,
    at: Time,
}

impl DemandMeter {
    pub(super) fn new(now: Time) -> DemandMeter {
        DemandMeter { rate: 0.0, at: now }
    }

    pub(super) fn advance(&mut self, now: Time) {
        let seconds = now.saturating_sub(self.at).as_secs_f64();
        self.rate *= (-seconds / DEMAND_SECONDS).exp();
        self.at = now;
    }

    pub(super) fn add(&mut self) {
        self.rate += 1.0 / DEMAND_SECONDS;
    }

    /// Takes back a request that hasn't run.
    pub(super) fn remove(&mut self) {
        self.rate = (self.rate - 1.0 / DEMAND_SECONDS).max(0.0);
    }

    /// Requests a second.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }
}

/// Usage of one organisation at other daemons, as one or more sources count it.
#[derive(Debug, Default)]
pub(super) struct UsageMeter {
    /// Requests that have been reported since this process started.
    count: u64,
    /// Requests a second, of the source with the highest demand.
    demand: f64,
    /// Slow average of `demand`.
    usual_demand: f64,
    /// What `demand` is multiplied by while the sources are silent; 0 stands for 1.
    growth: f64,
    /// Requests that are expected since the last report, up to `admitted_at`.
    expected: f64,
    /// Value of the integral of the admitted fraction up to which `expected` is computed.
    admitted_at: f64,
    /// Value of that integral at the last report that told of all known requests.
    current_at: f64,
    sources: Vec<Source>,
}

/// A process that reports the usage.
#[derive(Debug)]
struct Source {
    start: u64,
    /// Last value of its counter.
    value: u64,
    /// What `count` was when it was first heard, less the value of its counter.
    offset: i64,
    demand: f64,
    heard_at: Time,
}

impl UsageMeter {
    pub(super) fn count(&self) -> u64 {
        self.count
    }

    pub(super) fn demand(&self) -> f64 {
        self.demand
    }

    /// As [`UsageMeter::demand`], grown like that of others if the sources are silent.
    pub(super) fn assumed_demand(&self) -> f64 {
        if self.growth > 0.0 { self.demand * self.growth } else { self.demand }
    }

    /// Slow average of the demand.
    pub(super) fn usual_demand(&self) -> f64 {
        self.usual_demand
    }

    /// Whether a source was heard in the last round.
    pub(super) fn is_current(&self, now: Time) -> bool {
        self.heard_at().is_some_and(|at| now < at + ROUND_TIMEOUT)
    }

    /// Applies the growth of demand elsewhere, if the sources are silent.
    pub(super) fn assume_growth(&mut self, growth: f64, admitted: f64, now: Time) {
        self.settle(admitted);
        self.growth = if self.is_current(now) { 0.0 } else { growth };
    }

    /// When a source was last heard.
    pub(super) fn heard_at(&self) -> Option<Time> {
        self.sources.iter().map(|it| it.heard_at).max()
    }

    /// Applies a report of the process `start`. `admitted` is the integral of the admitted fraction,
    /// `age` that of the bucket. Returns the change of the bucket: what was expected, less what was reported.
    pub(super) fn update(
        &mut self,
        start: u64,
        record: &UsageRecord,
        admitted: f64,
        age: Duration,
        now: Time,
    ) -> f64 {
        self.settle(admitted);
        let before = self.count;
        let is_single = self.sources.len() <= 1;
        let mut is_current = true;
        match self.sources.iter_mut().find(|it| it.start == start) {
            // An older report, which has been overtaken.
            Some(source) if record.count < source.value => return 0.0,
            Some(source) => {
                source.value = record.count;
                source.demand = record.demand;
                source.heard_at = now;
                let count = record.count.saturating_add_signed(source.offset);
                is_current = is_single || count >= self.count;
                self.count = self.count.max(count);
            }
            None => {
                // What it counted before is not known. If other sources count the same, that is what
                // has been admitted since their last report.
                let seconds = if self.sources.is_empty() {
                    age.min(FIRST_CHARGE).as_secs_f64()
                } else {
                    (admitted - self.current_at).min(SILENCE_TIMEOUT.as_secs_f64())
                };
                self.count += record.count.min((record.demand * seconds).round() as u64);
                self.sources.push(Source {
                    start,
                    value: record.count,
                    offset: self.count as i64 - record.count as i64,
                    demand: record.demand,
                    heard_at: now,
                });
            }
        }
        self.update_demand(now);
        // Another source has reported more: this one says nothing of what has happened since.
        if !is_current {
            return 0.0;
        }
        self.current_at = admitted;
        self.growth = 0.0;
        std::mem::take(&mut self.expected) - (self.count - before) as f64
    }

    /// Adds what is expected up to now at the demand known so far.
    fn settle(&mut self, admitted: f64) {
        self.expected += self.assumed_demand() * (admitted - self.admitted_at);
        self.admitted_at = admitted;
    }

    fn update_demand(&mut self, now: Time) {
        let fresh = self.sources.iter().filter(|it| now < it.heard_at + SILENCE_TIMEOUT);
        self.demand = fresh.map(|it| it.demand).fold(0.0, f64::max);
    }

    /// Forgets the demand of silent sources. `smoothing` is the weight of the present demand in the
    /// slow average. Returns whether any source is left.
    pub(super) fn expire(&mut self, admitted: f64, smoothing: f64, now: Time) -> bool {
        self.settle(admitted);
        self.sources.retain(|it| now < it.heard_at + REMOVAL_TIMEOUT);
        self.update_demand(now);
        self.usual_demand += (self.demand - self.usual_demand) * smoothing;
        !self.sources.is_empty()
    }
}
