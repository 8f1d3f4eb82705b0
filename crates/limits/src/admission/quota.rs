//! This entry's quota of each limit that holds for the whole tier.
//!
//! With a limit `C`, `n` entries and the equal quota `e = C / n`, this entry gets what the
//! other entries leave unused, and at least `e`. Between two reports its usage may grow by
//! `e` and by its proportion of the unused remainder, so that all entries together exceed `C`
//! by at most `n * e` until the next reports. A member without a fresh report counts as using
//! its last reported usage or `e`, whichever is more, so that without any fresh report this
//! entry has exactly `e`.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::admission::MemberView;
use crate::admission::UsageReport;
use tt_model::ServiceId;
use tt_model::VmId;

#[derive(Debug)]
struct PeerReport {
    /// End of the period that the report describes.
    measured: Instant,
    report: UsageReport,
}

/// Last usage report of each other entry.
#[derive(Debug)]
pub(crate) struct PeerReports {
    members: MemberView,
    reports: HashMap<VmId, PeerReport>,
}

/// Usage of the other entries at one time, from which this entry's quotas are computed.
#[derive(Debug)]
pub(crate) struct QuotaCalculator {
    /// Number of entries, this one included.
    entry_count: f64,
    /// Number of members without a fresh report.
    stale_members: f64,
    /// Whether the members are known; if not, each quota is the equal one.
    is_certain: bool,
    usage: HashMap<ServiceId, Vec<PeerUsage>>,
}

#[derive(Debug, Clone, Copy)]
struct PeerUsage {
    rate: f64,
    in_flight: f64,
    is_fresh: bool,
}

impl PeerReports {
    pub(crate) fn new(members: MemberView) -> PeerReports {
        PeerReports { members, reports: HashMap::new() }
    }

    pub(crate) fn receive(&mut self, member: VmId, measured: Instant, report: UsageReport) {
        let newer = self.reports.get(&member).is_none_or(|old| old.measured < measured);
        if newer {
            self.reports.insert(member, PeerReport { measured, report });
        }
    }

    pub(crate) fn set_members(&mut self, members: MemberView) {
        if let MemberView::Certain(others) = &members {
            self.reports.retain(|member, _| others.contains(member));
        }
        self.members = members;
    }

    /// Translates the reports to the service ids of a new document. `kept` maps old ids to
    /// new ones; other services are dropped.
    pub(crate) fn renumber(&mut self, kept: &HashMap<ServiceId, ServiceId>) {
        for received in self.reports.values_mut() {
            let services = &mut received.report.services;
            services.retain_mut(|usage| match kept.get(&usage.service) {
                Some(&new) => {
                    usage.service = new;
                    true
                }
                None => false,
            });
        }
    }

    pub(crate) fn quota_calculator(&self, now: Instant, report_ttl: Duration) -> QuotaCalculator {
        let others = match &self.members {
            MemberView::Certain(others) => others,
            MemberView::Uncertain(count) => {
                return QuotaCalculator {
                    entry_count: f64::from((*count).max(1)),
                    stale_members: 0.0,
                    is_certain: false,
                    usage: HashMap::new(),
                };
            }
        };
        let mut calculator = QuotaCalculator {
            entry_count: others.len() as f64 + 1.0,
            stale_members: 0.0,
            is_certain: true,
            usage: HashMap::new(),
        };
        for member in others {
            let received = self.reports.get(member);
            let is_fresh = received
                .is_some_and(|report| now.saturating_duration_since(report.measured) < report_ttl);
            if !is_fresh {
                calculator.stale_members += 1.0;
            }
            for usage in received.iter().flat_map(|received| &received.report.services) {
                calculator.usage.entry(usage.service).or_default().push(PeerUsage {
                    rate: usage.rate,
                    in_flight: f64::from(usage.in_flight),
                    is_fresh,
                });
            }
        }
        calculator
    }
}

impl QuotaCalculator {
    /// This entry's quota of the rate limit `limit`, when it uses `own`.
    pub(crate) fn rate(&self, service: ServiceId, limit: f64, own: f64) -> f64 {
        self.quota(service, limit, own, |usage| usage.rate)
    }

    /// This entry's quota of the concurrency limit `limit`, when it uses `own`.
    pub(crate) fn in_flight(&self, service: ServiceId, limit: f64, own: f64) -> f64 {
        self.quota(service, limit, own, |usage| usage.in_flight)
    }

    fn quota<F>(&self, service: ServiceId, limit: f64, own: f64, amount: F) -> f64
    where
        F: Fn(&PeerUsage) -> f64,
    {
        let equal_quota = limit / self.entry_count;
        if !self.is_certain {
            return equal_quota;
        }
        let reported = self.usage.get(&service).map_or(&[][..], Vec::as_slice);
        let mut used = own;
        // Sum of what entries use above the equal quota. If the limit is exceeded, these
        // entries reduce their usage in proportion.
        let mut above = (own - equal_quota).max(0.0);
        let mut unreported = self.stale_members;
        for usage in reported {
            let amount = if usage.is_fresh {
                amount(usage)
            } else {
                unreported -= 1.0;
                amount(usage).max(equal_quota)
            };
            used += amount;
            above += (amount - equal_quota).max(0.0);
        }
        used += unreported.max(0.0) * equal_quota;
        let remaining = limit - used;
        if remaining < 0.0 {
            if own <= equal_quota {
                return equal_quota;
            }
            let reduction = (-remaining * (own - equal_quota) / above).min(own - equal_quota);
            return own - reduction;
        }
        let proportion = if used > 0.0 { own / used } else { 1.0 / self.entry_count };
        (own + remaining.min(equal_quota + remaining * proportion)).max(equal_quota)
    }
}
