//! Admission at the entry: each service's contract and this entry's part of it.

mod bucket;
mod meter;
mod part;

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::admission::bucket::Bucket;
use crate::admission::meter::Meter;
use crate::admission::part::Others;
use tt_model::Arena;
use tt_model::Contract;
use tt_model::Environment;
use tt_model::ResultCode;
use tt_model::ServiceId;
use tt_model::VmId;

/// Settings of [`Admission`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Age at which a member's usage report is no longer fresh.
    pub report_ttl: Duration,
    /// Requests in flight at this entry above which only services that hold less than their
    /// part of it are admitted.
    pub max_in_flight: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        // Three heartbeats.
        AdmissionSettings { report_ttl: Duration::from_secs(3), max_in_flight: 20_000 }
    }
}

/// What the member table says about the other entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberView {
    /// These are all the other entries.
    Certain(Vec<VmId>),
    /// The member count is uncertain, for example during a partition. There are at most this
    /// many entries, this one included.
    Uncertain(u32),
}

/// A request that asks for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// The service that asks.
    pub service: ServiceId,
    /// When the answer must be there.
    pub deadline: Instant,
    /// Expected wait for slots, from the owners' reports; zero if unknown.
    pub expected_wait: Duration,
}

/// The right to run one request; given back by [`Admission::release`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit that is not released counts against the service for ever"]
pub struct Permit {
    account: u32,
}

/// This entry's part of a service's contract.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EntryQuota {
    /// Requests a second.
    pub rate: f64,
    /// Requests in flight.
    pub concurrency: u32,
}

/// Usage of one service at one entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceUsage {
    /// The service.
    pub service: ServiceId,
    /// Admitted requests a second.
    pub rate: f64,
    /// Most requests in flight at the same time since the last report.
    pub in_flight: u32,
}

/// Usage at one entry; services without traffic are left out.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct UsageReport {
    /// Usage by service, in order of service.
    pub services: Vec<ServiceUsage>,
}

/// State of one service. Kept under its name when a new document numbers services anew.
#[derive(Debug)]
struct Account {
    name: String,
    contract: Contract,
    bucket: Bucket,
    concurrency: u32,
    /// In-flight requests that are admitted even when the entry is full.
    reserved: u32,
    in_flight: u32,
    peak: u32,
    admitted: Meter,
    published: ServiceUsage,
}

/// Decides whether this entry runs a request.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    accounts: Vec<Account>,
    services: Arena<ServiceId, u32>,
    others: Others,
    in_flight: u32,
    reported: Instant,
    recomputed: Instant,
}

/// Requests that every entry admits at once from a service that was idle, if the contract's
/// burst allows them. A part of the burst below this would reject a small service's
/// requests within its contract just because two arrive at the same entry.
const MIN_BURST: f64 = 4.0;

/// Requests in flight that every entry admits, if the contract allows them, for the same
/// reason.
const MIN_CONCURRENCY: u32 = 2;

/// Parts are recomputed at most this often apart from changes of contracts and members.
const RECOMPUTE: Duration = Duration::from_millis(250);

impl Admission {
    /// Admission for `environment`. Each service starts with this entry's part of its burst.
    pub fn new(
        now: Instant,
        settings: AdmissionSettings,
        environment: &Environment,
        members: MemberView,
    ) -> Admission {
        let mut admission = Admission {
            settings,
            accounts: Vec::new(),
            services: Arena::default(),
            others: Others::new(members),
            in_flight: 0,
            reported: now,
            recomputed: now,
        };
        admission.set_environment(now, environment);
        admission
    }

    /// Admits or rejects a request. A rejected request has run nowhere.
    pub fn admit(&mut self, now: Instant, arrival: &Arrival) -> Result<Permit, ResultCode> {
        let Some(&index) = self.services.get(arrival.service) else {
            return Err(ResultCode::UnknownService);
        };
        if arrival.deadline <= now {
            return Err(ResultCode::DeadlinePassed);
        }
        if now + arrival.expected_wait >= arrival.deadline {
            return Err(ResultCode::Overloaded);
        }
        if now.saturating_duration_since(self.recomputed) >= RECOMPUTE {
            self.recompute(now);
        }
        let account = &mut self.accounts[index as usize];
        if account.in_flight >= account.concurrency {
            return Err(ResultCode::TooManyInFlight);
        }
        if self.in_flight >= self.settings.max_in_flight && account.in_flight >= account.reserved {
            return Err(ResultCode::Overloaded);
        }
        if !account.bucket.take(now) {
            return Err(ResultCode::RateLimited);
        }
        account.in_flight += 1;
        account.admitted.add();
        account.peak = account.peak.max(account.in_flight);
        self.in_flight += 1;
        Ok(Permit { account: index })
    }

    /// Ends an admitted request.
    #[expect(clippy::needless_pass_by_value, reason = "a permit is released once")]
    pub fn release(&mut self, permit: Permit) {
        let account = &mut self.accounts[permit.account as usize];
        account.in_flight = account.in_flight.saturating_sub(1);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Usage of this entry since the last report, for the next heartbeat.
    pub fn usage_report(&mut self, now: Instant) -> UsageReport {
        let seconds = now.saturating_duration_since(self.reported).as_secs_f64();
        if seconds > 0.0 {
            self.reported = now;
            for account in &mut self.accounts {
                account.published.rate = account.admitted.close(seconds);
                account.published.in_flight = account.peak;
                account.peak = account.in_flight;
            }
            self.recompute(now);
        }
        let published =
            self.services.values().map(|&index| self.accounts[index as usize].published);
        let used = published.filter(|usage| usage.rate > 0.0 || usage.in_flight > 0);
        UsageReport { services: used.collect() }
    }

    /// Records another entry's report, which described the time until `measured`. A report
    /// older than the last one from the same entry is ignored.
    pub fn report_received(&mut self, member: VmId, measured: Instant, report: UsageReport) {
        self.others.receive(member, measured, report);
    }

    /// Changes the member table's view of the other entries.
    pub fn set_members(&mut self, now: Instant, members: MemberView) {
        self.others.set_members(members);
        self.recompute(now);
    }

    /// Takes over the contracts of a new document. Requests in flight keep their permits, and
    /// services keep their state under their name. Reports received from now on must number
    /// services by this document.
    pub fn set_environment(&mut self, now: Instant, environment: &Environment) {
        let by_name: HashMap<&str, (ServiceId, u32)> = self
            .services
            .iter()
            .map(|(id, &index)| (self.accounts[index as usize].name.as_str(), (id, index)))
            .collect();
        let mut kept = HashMap::new();
        let mut indexes = Vec::with_capacity(environment.services.len());
        for (id, service) in environment.services.iter() {
            let found = by_name.get(service.name.as_str());
            kept.extend(found.map(|&(old, _)| (old, id)));
            indexes.push(found.map(|&(_, index)| index));
        }
        self.others.renumber(&kept);

        let shares: f64 = environment.services.values().map(|service| service.contract.share).sum();
        let mut in_use = vec![false; self.accounts.len()];
        for index in indexes.iter().flatten() {
            in_use[*index as usize] = true;
        }
        // An account without a service is used again once its last permit is back.
        let mut free: Vec<u32> = (0..self.accounts.len() as u32)
            .filter(|&index| {
                !in_use[index as usize] && self.accounts[index as usize].in_flight == 0
            })
            .collect();
        let mut services = Arena::default();
        let mut added = Vec::new();
        for ((id, service), found) in environment.services.iter().zip(indexes) {
            let index = found.unwrap_or_else(|| {
                let account = Account::new(now, id, &service.name);
                let index = match free.pop() {
                    Some(index) => {
                        self.accounts[index as usize] = account;
                        index
                    }
                    None => {
                        self.accounts.push(account);
                        (self.accounts.len() - 1) as u32
                    }
                };
                added.push(index);
                index
            });
            let account = &mut self.accounts[index as usize];
            account.contract = service.contract;
            account.published.service = id;
            let part = f64::from(self.settings.max_in_flight) * service.contract.share / shares;
            account.reserved = (part as u32).max(1);
            services.push(index);
        }
        self.services = services;
        self.recompute(now);
        for index in added {
            self.accounts[index as usize].bucket.fill();
        }
    }

    /// This entry's part of a service's contract at the moment.
    pub fn quota(&self, service: ServiceId) -> Option<EntryQuota> {
        let account = &self.accounts[*self.services.get(service)? as usize];
        Some(EntryQuota { rate: account.bucket.rate(), concurrency: account.concurrency })
    }

    /// Requests in flight at this entry.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn recompute(&mut self, now: Instant) {
        self.recomputed = now;
        let parts = self.others.parts(now, self.settings.report_ttl);
        for (service, &index) in self.services.iter() {
            let account = &mut self.accounts[index as usize];
            let contract = &account.contract;
            let rate = parts.rate(service, contract.rate, account.published.rate);
            let least = contract.burst.clamp(1.0, MIN_BURST);
            let burst = (contract.burst * rate / contract.rate).max(least);
            account.bucket.set(now, rate, burst);
            let own = f64::from(account.published.in_flight);
            let concurrency = parts.in_flight(service, f64::from(contract.concurrency), own);
            let least = contract.concurrency.min(MIN_CONCURRENCY);
            account.concurrency = (concurrency.floor() as u32).max(least);
        }
    }
}

impl Account {
    fn new(now: Instant, service: ServiceId, name: &str) -> Account {
        Account {
            name: name.to_owned(),
            contract: Contract { rate: 1.0, burst: 1.0, concurrency: 1, share: 1.0 },
            bucket: Bucket::new(now),
            concurrency: 1,
            reserved: 1,
            in_flight: 0,
            peak: 0,
            admitted: Meter::default(),
            published: ServiceUsage { service, rate: 0.0, in_flight: 0 },
        }
    }
}
