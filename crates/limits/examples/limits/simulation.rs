//! Simulation of one searcher and its queue on a simulated clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::workload::DEADLINE;
use crate::workload::SERVICES;
use crate::workload::SLOT_TIME_SECONDS;
use crate::workload::SLOTS;
use crate::workload::contract_rates;
use crate::workload::environment;
use tt_limits::Admission;
use tt_limits::AdmissionSettings;
use tt_limits::Arrival;
use tt_limits::MemberView;
use tt_limits::Permit;
use tt_limits::QueuePolicy;
use tt_limits::QueueSettings;
use tt_limits::RunOutcome;
use tt_limits::SlotAction;
use tt_limits::SlotGrant;
use tt_limits::SlotQueue;
use tt_limits::SubQuery;
use tt_limits::Ticket;
use tt_model::Key;
use tt_model::ServiceId;
use tt_model::VmId;

/// Whether requests pass admission before they reach the queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum AdmissionMode {
    /// No admission: every sub-query reaches the queue.
    None,
    /// `count` entries with admission that exchange usage reports every second. The contracts
    /// are the offered rates times `headroom`.
    Entries { count: u32, headroom: f64 },
}

pub(crate) struct Scenario {
    pub(crate) policy: QueuePolicy,
    pub(crate) admission: AdmissionMode,
    /// Offered requests a second, by service and time in seconds.
    pub(crate) offered_rate: Box<dyn Fn(usize, f64) -> f64>,
    pub(crate) seconds: f64,
    pub(crate) seed: u64,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Sample {
    pub(crate) service: usize,
    /// Time of arrival in seconds since the start of the simulation.
    pub(crate) arrived: f64,
    /// Seconds until the start; `None` if the sub-query was not started.
    pub(crate) wait: Option<f64>,
    /// Whether the sub-query was answered before its deadline.
    pub(crate) in_time: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish(u64),
    Heartbeat,
    Arrive(usize),
    Wake,
}

pub(crate) struct Simulation {
    scenario: Scenario,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    queue: SlotQueue<usize>,
    entries: Vec<Admission>,
    /// Ticket and sample index of each running sub-query, by run number.
    runs: HashMap<u64, (Ticket, usize)>,
    /// Entry index and permit of each admitted request, by sample index.
    permits: HashMap<usize, (usize, Permit)>,
    samples: Vec<Sample>,
    start: Instant,
}

impl Simulation {
    pub(crate) fn run(scenario: Scenario) -> Vec<Sample> {
        let start = Instant::now();
        let rates = contract_rates();
        let settings = QueueSettings { policy: scenario.policy, ..QueueSettings::default() };
        let mut queue = SlotQueue::new(start, settings);
        queue.set_grant(SlotGrant::leased(SLOTS, start + Duration::from_secs(1 << 20)));
        let (count, headroom) = match scenario.admission {
            AdmissionMode::None => (0, 1.0),
            AdmissionMode::Entries { count, headroom } => (count, headroom),
        };
        let contracts: Vec<f64> = rates.iter().map(|rate| rate * headroom).collect();
        let environment = environment(&contracts);
        let entries = (0..count).map(|own| {
            let others = (0..count).filter(|other| *other != own).map(VmId).collect();
            let members = MemberView::Certain(others);
            Admission::new(start, AdmissionSettings::default(), &environment, members)
        });
        let mut simulation = Simulation {
            rng: SmallRng::seed_from_u64(scenario.seed),
            scenario,
            events: BinaryHeap::new(),
            sequence: 0,
            queue,
            entries: entries.collect(),
            runs: Default::default(),
            permits: Default::default(),
            samples: Vec::new(),
            start,
        };
        simulation.schedule(start, Event::Heartbeat);
        for service in 0..SERVICES {
            simulation.schedule_arrival(start, service);
        }
        while let Some(Reverse((now, _, event))) = simulation.events.pop() {
            simulation.handle(now, event, &rates);
        }
        simulation.samples
    }

    fn handle(&mut self, now: Instant, event: Event, rates: &[f64]) {
        match event {
            Event::Arrive(service) => {
                self.arrive(now, service, rates[service]);
                self.schedule_arrival(now, service);
            }
            Event::Finish(run) => {
                // Absent if the sub-query was cancelled at its deadline.
                if let Some((ticket, sample)) = self.runs.remove(&run) {
                    self.queue.finish(now, ticket, RunOutcome::Answered);
                    self.samples[sample].in_time = true;
                    self.release(sample);
                }
            }
            Event::Heartbeat => {
                self.exchange_reports(now);
                if self.seconds(now) < self.scenario.seconds {
                    self.schedule(now + Duration::from_secs(1), Event::Heartbeat);
                }
            }
            Event::Wake => {}
        }
        self.run_actions(now);
    }

    fn arrive(&mut self, now: Instant, service: usize, share: f64) {
        let sample = self.samples.len();
        let arrived = self.seconds(now);
        self.samples.push(Sample { service, arrived, wait: None, in_time: false });
        let id = ServiceId::from_index(service);
        let deadline = now + DEADLINE;
        if !self.entries.is_empty() {
            let entry = self.rng.random_range(0..self.entries.len());
            let arrival = Arrival { service: id, deadline, expected_wait: Duration::ZERO };
            match self.entries[entry].admit(now, &arrival) {
                Ok(permit) => self.permits.insert(sample, (entry, permit)),
                Err(_) => return,
            };
        }
        let sub_query = SubQuery { service: id, share, urgency: 0, deadline };
        match self.queue.push(now, sub_query, sample) {
            Ok(_) => self.schedule(deadline, Event::Wake),
            Err(_) => self.release(sample),
        }
    }

    fn run_actions(&mut self, now: Instant) {
        while let Some(action) = self.queue.next_action(now) {
            match action {
                SlotAction::Start { ticket, item, .. } => {
                    let sample = self.samples[item];
                    self.samples[item].wait = Some(self.seconds(now) - sample.arrived);
                    let run = self.sequence;
                    let time = self.slot_time();
                    self.schedule(now + time, Event::Finish(run));
                    self.runs.insert(run, (ticket, item));
                }
                SlotAction::Reject { item, .. } => self.release(item),
                SlotAction::Cancel { ticket } => {
                    let run =
                        self.runs.iter().find(|(_, run)| run.0 == ticket).map(|(key, _)| *key);
                    let (_, sample) =
                        self.runs.remove(&run.expect("a running sub-query")).expect("a known run");
                    self.queue.finish(now, ticket, RunOutcome::Failed);
                    self.release(sample);
                }
            }
        }
    }

    fn release(&mut self, sample: usize) {
        if let Some((entry, permit)) = self.permits.remove(&sample) {
            self.entries[entry].release(permit);
        }
    }

    fn exchange_reports(&mut self, now: Instant) {
        let reports: Vec<_> = self.entries.iter_mut().map(|e| e.usage_report(now)).collect();
        for (own, entry) in self.entries.iter_mut().enumerate() {
            for (index, report) in reports.iter().enumerate().filter(|(index, _)| *index != own) {
                entry.on_usage_report(VmId(index as u32), now, report.clone());
            }
        }
    }

    fn schedule_arrival(&mut self, now: Instant, service: usize) {
        let second = self.seconds(now);
        let rate = (self.scenario.offered_rate)(service, second);
        let next = now + self.exponential(rate);
        if self.seconds(next) < self.scenario.seconds {
            self.schedule(next, Event::Arrive(service));
        }
    }

    /// Random slot time with an Erlang distribution of order 4: most values are near the mean.
    fn slot_time(&mut self) -> Duration {
        (0..4).map(|_| self.exponential(4.0 / SLOT_TIME_SECONDS)).sum()
    }

    fn exponential(&mut self, rate: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate)
    }

    fn schedule(&mut self, time: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn seconds(&self, now: Instant) -> f64 {
        (now - self.start).as_secs_f64()
    }
}
