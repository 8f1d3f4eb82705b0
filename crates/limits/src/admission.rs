//! Admission at the entry: each service's contract and this entry's quota of it.

mod bucket;
mod meter;
mod quota;

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::admission::bucket::TokenBucket;
use crate::admission::meter::RateMeter;
use crate::admission::quota::PeerReports;
use tt_model::Arena;
use tt_model::Contract;
use tt_model::Environment;
use tt_model::ResultCode;
use tt_model::ServiceId;
use tt_model::VmId;

/// When reports of other entries become stale, and when this entry is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Age from which another entry's usage report counts as stale.
    pub report_ttl: Duration,
    /// Number of requests in flight at which this entry is full. A full entry admits requests
    /// only from services that are below their share of this number.
    pub max_in_flight: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        // Three heartbeat intervals.
        AdmissionSettings { report_ttl: Duration::from_secs(3), max_in_flight: 20_000 }
    }
}

/// What is known about the other entries from the member table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberView {
    /// All other entries.
    Certain(Vec<VmId>),
    /// The members are uncertain, for example during a partition. The value is an upper bound
    /// for the number of entries, this one included.
    Uncertain(u32),
}

/// A request that asks for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// The service that sent the request.
    pub service: ServiceId,
    /// When the answer is due.
    pub deadline: Instant,
    /// Expected wait for slots, from the owners' reports. Zero if unknown.
    pub expected_wait: Duration,
}

/// Permission to run one request; returned with [`Admission::release`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit that is not released counts against the service forever"]
pub struct Permit {
    state_index: u32,
}

/// This entry's quota of a service's contract.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EntryQuota {
    /// Maximum requests a second.
    pub rate: f64,
    /// Maximum requests in flight.
    pub concurrency: u32,
}

/// Usage of one service at one entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceUsage {
    /// The service, numbered by the document in force.
    pub service: ServiceId,
    /// Admitted requests a second.
    pub rate: f64,
    /// Maximum number of requests in flight at the same time since the last report.
    pub in_flight: u32,
}

/// Usage at one entry. Services without traffic are omitted.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct UsageReport {
    /// Usage of each service, sorted by service.
    pub services: Vec<ServiceUsage>,
}

/// State of one service, found by name when a new document renumbers the services.
#[derive(Debug)]
struct ServiceState {
    name: String,
    contract: Contract,
    bucket: TokenBucket,
    /// Current quota of requests in flight.
    concurrency: u32,
    /// Number of requests in flight that are admitted even when the entry is full.
    reserved: u32,
    in_flight: u32,
    /// Maximum of `in_flight` since the last report.
    peak_in_flight: u32,
    rate_meter: RateMeter,
    /// Usage in the last report.
    last_usage: ServiceUsage,
}

/// Decides whether this entry runs a request.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    service_states: Vec<ServiceState>,
    /// Index into `service_states` of each service of the document in force.
    services: Arena<ServiceId, u32>,
    peers: PeerReports,
    in_flight: u32,
    last_report: Instant,
    last_recompute: Instant,
}

/// Lower bound of an entry's quota of a burst, unless the contract's burst is smaller. With a
/// lower quota, two requests of a small service at the same entry would be rejected although
/// they are within the contract.
const MIN_BURST_REQUESTS: f64 = 4.0;

/// Lower bound of an entry's quota of requests in flight, for the same reason.
const MIN_IN_FLIGHT_REQUESTS: u32 = 2;

/// Minimum time between computations of the quotas by [`Admission::admit`]. Reports and
/// changes of contracts and members cause further ones.
const RECOMPUTE_INTERVAL: Duration = Duration::from_millis(250);

impl Admission {
    /// Creates the admission for `environment`. Each service starts with a full bucket, sized
    /// by this entry's quota of the burst.
    pub fn new(
        now: Instant,
        settings: AdmissionSettings,
        environment: &Environment,
        members: MemberView,
    ) -> Admission {
        let mut admission = Admission {
            settings,
            service_states: Vec::new(),
            services: Arena::default(),
            peers: PeerReports::new(members),
            in_flight: 0,
            last_report: now,
            last_recompute: now,
        };
        admission.set_environment(now, environment);
        admission
    }

    /// Admits or rejects a request before any part of it runs.
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
        if now.saturating_duration_since(self.last_recompute) >= RECOMPUTE_INTERVAL {
            self.recompute(now);
        }
        let state = &mut self.service_states[index as usize];
        if state.in_flight >= state.concurrency {
            return Err(ResultCode::TooManyInFlight);
        }
        if self.in_flight >= self.settings.max_in_flight && state.in_flight >= state.reserved {
            return Err(ResultCode::Overloaded);
        }
        if !state.bucket.take(now) {
            return Err(ResultCode::RateLimited);
        }
        state.in_flight += 1;
        state.rate_meter.add();
        state.peak_in_flight = state.peak_in_flight.max(state.in_flight);
        self.in_flight += 1;
        Ok(Permit { state_index: index })
    }

    /// Ends an admitted request.
    #[expect(clippy::needless_pass_by_value, reason = "a permit is released once")]
    pub fn release(&mut self, permit: Permit) {
        let state = &mut self.service_states[permit.state_index as usize];
        state.in_flight = state.in_flight.saturating_sub(1);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns this entry's usage since the last report, for the next heartbeat, and begins
    /// the next report interval.
    pub fn usage_report(&mut self, now: Instant) -> UsageReport {
        let seconds = now.saturating_duration_since(self.last_report).as_secs_f64();
        if seconds > 0.0 {
            self.last_report = now;
            for state in &mut self.service_states {
                state.last_usage.rate = state.rate_meter.end_interval(seconds);
                state.last_usage.in_flight = state.peak_in_flight;
                state.peak_in_flight = state.in_flight;
            }
            self.recompute(now);
        }
        let usage =
            self.services.values().map(|&index| self.service_states[index as usize].last_usage);
        let used = usage.filter(|usage| usage.rate > 0.0 || usage.in_flight > 0);
        UsageReport { services: used.collect() }
    }

    /// Records another entry's report of its usage up to `measured`. A report that is older
    /// than the last one from the same entry is ignored.
    pub fn on_usage_report(&mut self, member: VmId, measured: Instant, report: UsageReport) {
        self.peers.receive(member, measured, report);
    }

    /// Changes what is known about the other entries and recomputes the quotas.
    pub fn set_members(&mut self, now: Instant, members: MemberView) {
        self.peers.set_members(members);
        self.recompute(now);
    }

    /// Applies the contracts of a new document. Requests in flight keep their permits, and
    /// services with the same name keep their state. Reports received from now on must use
    /// the service ids of this document.
    pub fn set_environment(&mut self, now: Instant, environment: &Environment) {
        let by_name: HashMap<&str, (ServiceId, u32)> = self
            .services
            .iter()
            .map(|(id, &index)| (self.service_states[index as usize].name.as_str(), (id, index)))
            .collect();
        let mut kept = HashMap::new();
        let mut indexes = Vec::with_capacity(environment.services.len());
        for (id, service) in environment.services.iter() {
            let found = by_name.get(service.name.as_str());
            kept.extend(found.map(|&(old, _)| (old, id)));
            indexes.push(found.map(|&(_, index)| index));
        }
        self.peers.renumber(&kept);

        let shares: f64 = environment.services.values().map(|service| service.contract.share).sum();
        let mut in_use = vec![false; self.service_states.len()];
        for index in indexes.iter().flatten() {
            in_use[*index as usize] = true;
        }
        // The state of a removed service is reused once its last permit is released.
        let mut free_indexes: Vec<u32> = (0..self.service_states.len() as u32)
            .filter(|&index| {
                !in_use[index as usize] && self.service_states[index as usize].in_flight == 0
            })
            .collect();
        let mut services = Arena::default();
        let mut added = Vec::new();
        for ((id, service), found) in environment.services.iter().zip(indexes) {
            let index = found.unwrap_or_else(|| {
                let state = ServiceState::new(now, id, &service.name);
                let index = match free_indexes.pop() {
                    Some(index) => {
                        self.service_states[index as usize] = state;
                        index
                    }
                    None => {
                        self.service_states.push(state);
                        (self.service_states.len() - 1) as u32
                    }
                };
                added.push(index);
                index
            });
            let state = &mut self.service_states[index as usize];
            state.contract = service.contract;
            state.last_usage.service = id;
            let reserved = f64::from(self.settings.max_in_flight) * service.contract.share / shares;
            state.reserved = (reserved as u32).max(1);
            services.push(index);
        }
        self.services = services;
        self.recompute(now);
        for index in added {
            self.service_states[index as usize].bucket.fill();
        }
    }

    /// This entry's current quota of a service's contract. `None` for an unknown service.
    pub fn quota(&self, service: ServiceId) -> Option<EntryQuota> {
        let state = &self.service_states[*self.services.get(service)? as usize];
        Some(EntryQuota { rate: state.bucket.rate(), concurrency: state.concurrency })
    }

    /// Number of requests in flight at this entry, of all services.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn recompute(&mut self, now: Instant) {
        self.last_recompute = now;
        let quotas = self.peers.quota_calculator(now, self.settings.report_ttl);
        for (service, &index) in self.services.iter() {
            let state = &mut self.service_states[index as usize];
            let contract = &state.contract;
            let rate = quotas.rate(service, contract.rate, state.last_usage.rate);
            let min_burst = contract.burst.clamp(1.0, MIN_BURST_REQUESTS);
            let burst = (contract.burst * rate / contract.rate).max(min_burst);
            state.bucket.set(now, rate, burst);
            let own = f64::from(state.last_usage.in_flight);
            let concurrency = quotas.in_flight(service, f64::from(contract.concurrency), own);
            let min_concurrency = contract.concurrency.min(MIN_IN_FLIGHT_REQUESTS);
            state.concurrency = (concurrency.floor() as u32).max(min_concurrency);
        }
    }
}

impl ServiceState {
    fn new(now: Instant, service: ServiceId, name: &str) -> ServiceState {
        ServiceState {
            name: name.to_owned(),
            contract: Contract { rate: 1.0, burst: 1.0, concurrency: 1, share: 1.0 },
            bucket: TokenBucket::new(now),
            concurrency: 1,
            reserved: 1,
            in_flight: 0,
            peak_in_flight: 0,
            rate_meter: RateMeter::default(),
            last_usage: ServiceUsage { service, rate: 0.0, in_flight: 0 },
        }
    }
}
