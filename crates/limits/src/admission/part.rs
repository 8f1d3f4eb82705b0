//! This entry's part of each tier-wide limit.
//!
//! With a limit `C`, `n` entries and the equal part `e = C / n`, this entry gets what the
//! others leave, and at least `e`. Between two reports it may grow by `e` and by its
//! proportion of the unused rest, so that all entries together exceed `C` by at most `n * e`
//! until the next reports. A member without a fresh report counts as using its last
//! reported usage or `e`, whichever is more, so that with no fresh report at all this entry
//! has exactly `e`.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::admission::MemberView;
use crate::admission::UsageReport;
use tt_model::ServiceId;
use tt_model::VmId;

#[derive(Debug)]
struct Received {
    measured: Instant,
    report: UsageReport,
}

/// Reports of the other entries.
#[derive(Debug)]
pub(crate) struct Others {
    members: MemberView,
    reports: HashMap<VmId, Received>,
}

/// Sums over the other entries at one time.
#[derive(Debug)]
pub(crate) struct Parts {
    count: f64,
    /// Members without a fresh report.
    stale: f64,
    certain: bool,
    usage: HashMap<ServiceId, Vec<Usage>>,
}

#[derive(Debug, Clone, Copy)]
struct Usage {
    rate: f64,
    in_flight: f64,
    fresh: bool,
}

impl Others {
    pub(crate) fn new(members: MemberView) -> Others {
        Others { members, reports: HashMap::new() }
    }

    pub(crate) fn receive(&mut self, member: VmId, measured: Instant, report: UsageReport) {
        let newer = self.reports.get(&member).is_none_or(|old| old.measured < measured);
        if newer {
            self.reports.insert(member, Received { measured, report });
        }
    }

    pub(crate) fn set_members(&mut self, members: MemberView) {
        if let MemberView::Certain(list) = &members {
            self.reports.retain(|member, _| list.contains(member));
        }
        self.members = members;
    }

    /// Applies the numbers of a new document; services that it does not have are dropped.
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

    pub(crate) fn parts(&self, now: Instant, fresh: Duration) -> Parts {
        let list = match &self.members {
            MemberView::Certain(list) => list,
            MemberView::Uncertain(count) => {
                return Parts {
                    count: f64::from((*count).max(1)),
                    stale: 0.0,
                    certain: false,
                    usage: HashMap::new(),
                };
            }
        };
        let mut parts = Parts {
            count: list.len() as f64 + 1.0,
            stale: 0.0,
            certain: true,
            usage: HashMap::new(),
        };
        for member in list {
            let received = self.reports.get(member);
            let is_fresh = received
                .is_some_and(|report| now.saturating_duration_since(report.measured) < fresh);
            if !is_fresh {
                parts.stale += 1.0;
            }
            for usage in received.iter().flat_map(|received| &received.report.services) {
                parts.usage.entry(usage.service).or_default().push(Usage {
                    rate: usage.rate,
                    in_flight: f64::from(usage.in_flight),
                    fresh: is_fresh,
                });
            }
        }
        parts
    }
}

impl Parts {
    pub(crate) fn rate(&self, service: ServiceId, limit: f64, own: f64) -> f64 {
        self.part(service, limit, own, |usage| usage.rate)
    }

    pub(crate) fn in_flight(&self, service: ServiceId, limit: f64, own: f64) -> f64 {
        self.part(service, limit, own, |usage| usage.in_flight)
    }

    fn part<F>(&self, service: ServiceId, limit: f64, own: f64, amount: F) -> f64
    where
        F: Fn(&Usage) -> f64,
    {
        let equal = limit / self.count;
        if !self.certain {
            return equal;
        }
        let list = self.usage.get(&service).map_or(&[][..], Vec::as_slice);
        let mut used = own;
        // What each entry uses above its equal part; an excess is taken from these.
        let mut above = (own - equal).max(0.0);
        let mut unreported = self.stale;
        for usage in list {
            let amount = if usage.fresh {
                amount(usage)
            } else {
                unreported -= 1.0;
                amount(usage).max(equal)
            };
            used += amount;
            above += (amount - equal).max(0.0);
        }
        used += unreported.max(0.0) * equal;
        let rest = limit - used;
        if rest < 0.0 {
            if own <= equal {
                return equal;
            }
            let reduction = (-rest * (own - equal) / above).min(own - equal);
            return own - reduction;
        }
        let proportion = if used > 0.0 { own / used } else { 1.0 / self.count };
        (own + rest.min(equal + rest * proportion)).max(equal)
    }
}
