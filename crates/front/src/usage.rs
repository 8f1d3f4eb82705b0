//! Allowances of organisations: the check of a request, and the usage that heartbeats report.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use prost::Message;
use serde_json::Value;
use serde_json::json;

use crate::entry::Entry;
use crate::metrics;
use crate::sync::lock;
use tt_serve::AllowanceStatus;
use tt_serve::Organisation;
use tt_serve::OrganisationKey;
use tt_serve::Throttled;
use tt_serve::UsageRecord;
use tt_serve::UsageReport;
use tt_serve::UsageScope;

/// Minimum time between two rounds of heartbeats of which the second is sent early, since the demand
/// of an organisation has grown. Four rounds in the time of one bound the bytes.
pub(crate) const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Demand is sent in hundredths of a request a second.
const DEMAND_UNITS: f64 = 100.0;

/// Usage of organisations, as heartbeats carry it.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct UsageMessage {
    /// 0 the sender's own, 1 of its failure domain, 2 of all other domains.
    #[prost(uint32, tag = "1")]
    scope: u32,
    /// Identifies the start of the sender.
    #[prost(fixed64, tag = "2")]
    start: u64,
    #[prost(message, repeated, tag = "3")]
    organisations: Vec<OrganisationUsage>,
}

/// Usage of one organisation.
#[derive(Clone, Copy, PartialEq, Message)]
struct OrganisationUsage {
    /// Digest of its name.
    #[prost(fixed32, tag = "1")]
    organisation: u32,
    #[prost(uint64, tag = "2")]
    count: u64,
    /// In hundredths of a request a second.
    #[prost(uint32, tag = "3")]
    demand: u32,
}

impl UsageMessage {
    fn new(report: &UsageReport) -> UsageMessage {
        let usage = |record: &UsageRecord| OrganisationUsage {
            organisation: record.organisation.0,
            count: record.count,
            demand: (record.demand * DEMAND_UNITS).round() as u32,
        };
        UsageMessage {
            scope: match report.scope {
                UsageScope::Own => 0,
                UsageScope::Domain => 1,
                UsageScope::OtherDomains => 2,
            },
            start: report.start,
            organisations: report.records.iter().map(usage).collect(),
        }
    }

    /// Returns the report, or `None` if its scope is unknown.
    fn decode(&self) -> Option<UsageReport> {
        let scope = match self.scope {
            0 => UsageScope::Own,
            1 => UsageScope::Domain,
            2 => UsageScope::OtherDomains,
            _ => return None,
        };
        let record = |usage: &OrganisationUsage| UsageRecord {
            organisation: OrganisationKey(usage.organisation),
            count: usage.count,
            demand: f64::from(usage.demand) / DEMAND_UNITS,
        };
        Some(UsageReport {
            scope,
            start: self.start,
            records: self.organisations.iter().map(record).collect(),
        })
    }
}

/// A request that has been admitted. Its token is returned when this is dropped, unless the request
/// has been started and may have run.
#[derive(Debug)]
pub(crate) struct AllowanceToken {
    entry: Arc<Entry>,
    organisation: OrganisationKey,
    used: AtomicBool,
}

impl AllowanceToken {
    /// Whether it was taken for this organisation.
    pub(crate) fn is_of(&self, organisation: &Organisation) -> bool {
        self.organisation == OrganisationKey::new(&organisation.name)
    }

    /// Records whether the request may have run.
    pub(crate) fn set_used(&self, used: bool) {
        self.used.store(used, Ordering::Relaxed);
    }
}

impl Drop for AllowanceToken {
    fn drop(&mut self) {
        if !self.used.load(Ordering::Relaxed) {
            lock(&self.entry.allowances).give_back(self.organisation, self.entry.now());
        }
    }
}

/// Admits the request `id` of an organisation.
///
/// # Errors
///
/// Fails if the organisation has used its allowance up, with the time after which the caller should
/// come back.
pub(crate) fn admit(
    entry: &Arc<Entry>,
    organisation: &Organisation,
    id: &str,
) -> Result<AllowanceToken, Duration> {
    let now = entry.now();
    let key = OrganisationKey::new(&organisation.name);
    let mut allowances = lock(&entry.allowances);
    let admitted = allowances.admit(key, rand::random(), now);
    let share = allowances.share();
    drop(allowances);
    let Err(Throttled { wait, level, demand, refused, heard_at, logged }) = admitted else {
        let used = AtomicBool::new(false);
        return Ok(AllowanceToken { entry: entry.clone(), organisation: key, used });
    };
    metrics::count_refused("allowance");
    if logged {
        log::info!(
            "allowance: organisation={:?} outcome=refused id={id} wait_ms={} level={level:.1} \
             demand_per_s={demand:.1} limit={:?} share={share:.2} heard_ms_ago={:?} refused={refused} \
             version={}",
            organisation.name,
            wait.as_millis(),
            organisation.allowance.map(|it| (it.per_second, it.burst)),
            heard_at.map(|at| now.saturating_sub(at).as_millis()),
            entry.config_version(),
        );
    }
    Err(wait)
}

/// Applies which daemons are heard. To be called with each round of heartbeats.
pub(crate) fn update(entry: &Entry) {
    let now = entry.now();
    let heard = lock(&entry.members).heard(now);
    lock(&entry.allowances).update(heard, now);
}

/// Whether usage must be reported before the next round of heartbeats.
pub(crate) fn is_urgent(entry: &Entry) -> bool {
    let is_delegate = lock(&entry.members).is_delegate(entry.now());
    lock(&entry.allowances).is_urgent(is_delegate)
}

/// The usage to be reported to daemons in `domain`; empty if there is none.
pub(crate) fn messages_for(entry: &Entry, domain: &str) -> Vec<UsageMessage> {
    let scopes: &[UsageScope] = if domain == entry.vm.domain {
        &[UsageScope::Own, UsageScope::OtherDomains]
    } else {
        &[UsageScope::Domain]
    };
    let now = entry.now();
    let mut allowances = lock(&entry.allowances);
    let reports = scopes.iter().map(|&scope| allowances.report(scope, now));
    reports.filter(|it| !it.records.is_empty()).map(|it| UsageMessage::new(&it)).collect()
}

/// Merges what a daemon in `domain` reports. Returns whether all of it is valid.
pub(crate) fn merge(entry: &Entry, messages: &[UsageMessage], domain: &str) -> bool {
    let now = entry.now();
    let mut allowances = lock(&entry.allowances);
    let mut is_valid = true;
    for message in messages {
        match message.decode() {
            Some(report) => allowances.merge(&report, domain, now),
            None => is_valid = false,
        }
    }
    is_valid
}

/// State of the allowances for the status page.
pub(crate) fn status(entry: &Entry) -> Value {
    let now = entry.now();
    let allowance = |status: &AllowanceStatus| {
        json!({
            "organisation": status.name,
            "rate_per_s": status.allowance.per_second,
            "burst": status.allowance.burst,
            "level": tenths(status.level),
            "demand_per_s": tenths(status.demand),
            "asked": status.asked,
            "refused": status.refused,
            "returned": status.returned,
        })
    };
    let mut allowances = lock(&entry.allowances);
    let organisations: Vec<Value> = allowances.status(now).iter().map(allowance).collect();
    json!({ "share": allowances.share(), "organisations": organisations })
}

fn tenths(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}
