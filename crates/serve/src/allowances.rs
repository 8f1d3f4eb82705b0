//! Allowances of organisations over all daemons together, without a coordinator.
//!
//! For each organisation, each daemon keeps an estimate of one token bucket for the whole tier. It
//! deducts its own requests at once, those of other daemons as they are reported, and between
//! reports what they are expected to admit. The bucket may go below zero: requests that were
//! admitted while reports were on their way are a debt that later ones pay.
//!
//! Daemons that share an exhausted bucket must not all wait for its next token and then admit at
//! once. So reports carry the demand, too: while it exceeds what the bucket yields, each daemon
//! admits the same fraction of its requests. Since all compute that fraction alike, it also
//! predicts what the others admit.
//!
//! A report is a counter that never decreases, for one start of a daemon and one organisation:
//! lost, duplicated and reordered reports do no harm. Within a failure domain, daemons report their
//! own usage. Delegates sum up: to other domains they report the total of their domain, and to
//! their own domain the total of all others. A daemon gets such a total from two delegates, whose
//! counters began at different times: the greater increase counts.

mod bucket;
mod meter;

use std::collections::BTreeMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use self::bucket::Bucket;
use crate::Time;
use crate::config::Allowance;
use crate::config::Organisation;
use crate::members::HeardDaemons;

/// Interval between updates from which the process counts as paused: it has not heard what others
/// admitted, so that its buckets may be exhausted.
const MIN_PAUSE: Duration = Duration::from_millis(1500);

/// Time after the first start of the tier in which daemons that have not been heard yet don't count
/// as cut off.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);

/// Time after a pause in which the share from before applies: heartbeats that have waited are yet to
/// be read.
const WAKE_PERIOD: Duration = Duration::from_secs(1);

/// Share of the known daemons below which a daemon that doesn't read the store counts as cut off.
const MAJORITY: f64 = 0.75;

/// Age of the last read of the list of daemons from which a daemon may have been dropped from the
/// lists of others, which then use its part; they keep it for `MemberSettings::removal_timeout`.
const LISTED_PERIOD: Duration = Duration::from_secs(15);

/// Part of its share that a daemon uses that others may have dropped. All of these together stay
/// within the tenth by which an allowance may be exceeded.
const UNLISTED_RATIO: f64 = 0.1;

/// Time for which the bucket of an organisation is kept that has been removed.
const RETIRED_PERIOD: Duration = Duration::from_secs(60);

/// Identifies an organisation in reports: a digest of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrganisationKey(pub u32);

impl OrganisationKey {
    /// The key of the organisation with this name.
    pub fn new(name: &str) -> OrganisationKey {
        OrganisationKey(digest(name) as u32)
    }
}

/// Digest of a name, the same on all daemons.
fn digest(name: &str) -> u64 {
    let mut hasher = Xxh3::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// What a report describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UsageScope {
    /// Requests that the sender has admitted itself.
    Own,
    /// Requests of all daemons in the failure domain of the sender.
    Domain,
    /// Requests of all daemons in other failure domains.
    OtherDomains,
}

/// Usage of organisations as one daemon reports it.
#[derive(Debug, Clone, PartialEq)]
pub struct UsageReport {
    /// What it describes.
    pub scope: UsageScope,
    /// Identifies the start of the process that sends it.
    pub start: u64,
    /// One record for each organisation whose usage has changed recently.
    pub records: Vec<UsageRecord>,
}

/// Usage of one organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsageRecord {
    /// The organisation.
    pub organisation: OrganisationKey,
    /// Requests that have run since the start of the sender; never decreases.
    pub count: u64,
    /// Requests a second that were asked recently, admitted or not.
    pub demand: f64,
}

/// The answer to a request beyond the allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Throttled {
    /// When the caller should come back.
    pub wait: Duration,
    /// Level of the bucket; below zero if there is a debt.
    pub level: f64,
    /// Requests a second that are asked of all daemons together, as far as it is known.
    pub demand: f64,
    /// Requests that this daemon has refused so far.
    pub refused: u64,
    /// When another daemon's usage was last heard.
    pub heard_at: Option<Time>,
    /// Whether a line should be logged: the first refusal in a second.
    pub logged: bool,
}

/// State of the allowance of one organisation, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct AllowanceStatus {
    /// Name of the organisation.
    pub name: String,
    /// The configured limit.
    pub allowance: Allowance,
    /// Level of the bucket; below zero if there is a debt.
    pub level: f64,
    /// Requests a second that are asked of all daemons together.
    pub demand: f64,
    /// Requests asked of this daemon.
    pub asked: u64,
    /// Requests that this daemon has refused.
    pub refused: u64,
    /// Requests that this daemon has admitted and that didn't run.
    pub returned: u64,
}

/// The allowances of all organisations, as one daemon knows them.
#[derive(Debug)]
pub struct Allowances {
    /// Identifies this start of the process in reports.
    start: u64,
    /// Whether the whole tier has started with this process, so that nothing was used before.
    starts_with_tier: bool,
    /// Whether limits have been known before.
    has_limits: bool,
    /// Part of the limits that this daemon and those that it hears may use.
    share: f64,
    /// Number of known daemons.
    known: usize,
    /// Last call of [`Allowances::update`].
    updated_at: Option<Time>,
    /// When the process was last found to have been paused.
    woke_at: Option<Time>,
    buckets: BTreeMap<OrganisationKey, Bucket>,
    /// Buckets of organisations that have been removed recently.
    retired: BTreeMap<OrganisationKey, Bucket>,
}

impl Allowances {
    /// Creates the allowances of a process whose start is identified by `start`.
    /// `starts_with_tier` says that all daemons start together for the first time: otherwise others
    /// may have used up the buckets, or the processes before.
    pub fn new(start: u64, starts_with_tier: bool) -> Allowances {
        Allowances {
            start,
            starts_with_tier,
            has_limits: false,
            share: 1.0,
            known: 1,
            updated_at: None,
            woke_at: None,
            buckets: BTreeMap::new(),
            retired: BTreeMap::new(),
        }
    }

    /// Applies the limits of a configuration. A lower limit takes tokens away, a higher one adds
    /// none.
    pub fn set_limits(&mut self, organisations: &[Organisation], now: Time) {
        // Organisations that a later configuration adds have used nothing.
        let starts_full = self.starts_with_tier || self.has_limits;
        let mut before = std::mem::take(&mut self.buckets);
        before.extend(std::mem::take(&mut self.retired));
        for organisation in organisations {
            let Some(allowance) = organisation.allowance else {
                continue;
            };
            let key = OrganisationKey::new(&organisation.name);
            let mut bucket = before.remove(&key).unwrap_or_else(|| {
                Bucket::new(organisation.name.clone(), allowance, starts_full, now)
            });
            bucket.set_allowance(allowance, self.share, now);
            self.buckets.insert(key, bucket);
        }
        // An organisation that is removed and added again must not get a new burst each time.
        before.retain(|_, bucket| now < bucket.updated_at() + RETIRED_PERIOD);
        self.retired = before;
        self.has_limits |= !organisations.is_empty();
    }

    /// Applies how much of the tier is heard. To be called with each round of heartbeats.
    pub fn update(&mut self, heard: HeardDaemons, now: Time) {
        self.observe_pause(now);
        self.updated_at = Some(now);
        // The daemons of a tier that starts together have not heard each other yet.
        let is_starting = self.starts_with_tier && now < STARTUP_PERIOD;
        self.known = heard.known;
        if !is_starting && self.woke_at.is_none_or(|at| at + WAKE_PERIOD <= now) {
            self.share = share(heard, now);
        }
        for bucket in self.buckets.values_mut() {
            bucket.advance(now);
            bucket.set_share(self.share);
            bucket.apply_share_to_past(now);
            bucket.expire(now);
        }
    }

    /// Empties the buckets if the process has been paused.
    fn observe_pause(&mut self, now: Time) {
        if self.updated_at.is_none_or(|at| now < at + MIN_PAUSE) {
            return;
        }
        self.updated_at = Some(now);
        self.woke_at = Some(now);
        for bucket in self.buckets.values_mut() {
            bucket.end_pause(self.known, now);
        }
    }

    /// Admits a request of an organisation. `jitter` is random, from 0 to 1. An organisation
    /// without an allowance is not limited.
    ///
    /// # Errors
    ///
    /// Fails if the organisation has used its allowance up.
    pub fn admit(
        &mut self,
        organisation: OrganisationKey,
        jitter: f64,
        now: Time,
    ) -> Result<(), Throttled> {
        self.observe_pause(now);
        match self.buckets.get_mut(&organisation) {
            Some(bucket) => bucket.admit(jitter, now),
            None => Ok(()),
        }
    }

    /// Takes back the token of an admitted request that hasn't run.
    pub fn give_back(&mut self, organisation: OrganisationKey, now: Time) {
        if let Some(bucket) = self.buckets.get_mut(&organisation) {
            bucket.give_back(now);
        }
    }

    /// The report to be sent now. That of [`UsageScope::Own`] counts as sent.
    pub fn report(&mut self, scope: UsageScope, now: Time) -> UsageReport {
        let records = self.buckets.iter_mut().filter_map(|(&organisation, bucket)| {
            let (count, demand) = bucket.usage(scope, now)?;
            Some(UsageRecord { organisation, count, demand })
        });
        UsageReport { scope, start: self.start, records: records.collect() }
    }

    /// Whether demand has grown so much that others should be told at once. `is_delegate` says that
    /// this daemon reports to other domains, too.
    pub fn is_urgent(&self, is_delegate: bool) -> bool {
        let scopes: &[UsageScope] = if is_delegate {
            &[UsageScope::Own, UsageScope::Domain, UsageScope::OtherDomains]
        } else {
            &[UsageScope::Own]
        };
        self.buckets.values().any(|bucket| scopes.iter().any(|&it| bucket.is_urgent(it)))
    }

    /// Merges the report of another daemon, which is in `domain`.
    pub fn merge(&mut self, report: &UsageReport, domain: &str, now: Time) {
        if report.start == self.start {
            return;
        }
        for record in &report.records {
            if let Some(bucket) = self.buckets.get_mut(&record.organisation) {
                bucket.merge(report, record, domain, now);
            }
        }
    }

    /// The state of all allowances, for operators.
    pub fn status(&mut self, now: Time) -> Vec<AllowanceStatus> {
        self.buckets.values_mut().map(|bucket| bucket.status(now)).collect()
    }

    /// Part of the limits that this daemon and those that it hears may use.
    pub fn share(&self) -> f64 {
        self.share
    }
}

/// Part of the limits for a daemon and those that it hears. The parts of a tier that has split up
/// are in proportion to their sizes. A part that can't read the store doesn't know whether the
/// others have dropped it from their list and use its share.
fn share(heard: HeardDaemons, now: Time) -> f64 {
    let HeardDaemons { heard, known, listed_at } = heard;
    let share = (heard as f64 / known.max(1) as f64).min(1.0);
    let is_listed = listed_at.is_some_and(|at| now < at + LISTED_PERIOD);
    if is_listed || share >= MAJORITY { share } else { share * UNLISTED_RATIO }
}
