//! Prints the cost of limit decisions, and fairness and goodput of one searcher's queue on
//! a simulated clock.
//!
//! `cargo run --release -p tt-limits --example limits [SEED]`

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt::Write;
use std::hint::black_box;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use tt_limits::Admission;
use tt_limits::AdmissionSettings;
use tt_limits::Arrival;
use tt_limits::ConnectionAction;
use tt_limits::ConnectionSettings;
use tt_limits::Connections;
use tt_limits::MemberView;
use tt_limits::QueuePolicy;
use tt_limits::QueueSettings;
use tt_limits::RunOutcome;
use tt_limits::SlotAction;
use tt_limits::SlotQueue;
use tt_limits::SlotRight;
use tt_limits::SubQuery;
use tt_model::Environment;
use tt_model::Key;
use tt_model::ServiceId;
use tt_model::VmId;

const SERVICES: usize = 50;
const SLOTS: u32 = 2;
const SERVICE_TIME: f64 = 0.010;
const DEADLINE: Duration = Duration::from_millis(400);
/// Load of the searcher when every service offers its contract.
const CONTRACT_LOAD: f64 = 0.7;
const LARGEST: usize = 0;
const SMALLEST: usize = 1;
const ORDINARY: usize = 2;

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    println!("seed {seed}, {SERVICES} services, {SLOTS} slots, service time 10 ms (Erlang-4),");
    println!("deadline 400 ms, all contracts together {CONTRACT_LOAD} of the capacity\n");
    decision_cost();
    fairness(seed);
    goodput(seed);
    recovery(seed);
}

/// Requests a second that each service offers: one large caller (10 units), one small
/// (0.1 units), the others 1 unit.
fn contracts() -> Vec<f64> {
    let units = |service| match service {
        LARGEST => 10.0,
        SMALLEST => 0.1,
        _ => 1.0,
    };
    let total: f64 = (0..SERVICES).map(units).sum();
    let capacity = f64::from(SLOTS) / SERVICE_TIME;
    (0..SERVICES).map(|service| units(service) / total * capacity * CONTRACT_LOAD).collect()
}

fn environment(rates: &[f64]) -> Environment {
    let mut services = String::new();
    for (index, rate) in rates.iter().enumerate() {
        let comma = if index == 0 { "" } else { "," };
        let burst = (rate * 2.0).max(5.0);
        write!(
            services,
            r#"{comma}{{"name": "s{index}", "class": "c", "shards": ["a"],
                "contract": {{"rate": {rate}, "burst": {burst}, "concurrency": 200, "share": {rate}}}}}"#
        )
        .unwrap();
    }
    Environment::parse(&format!(
        r#"{{"environment": "e", "domains": ["d"],
            "classes": [{{"name": "c", "prefer": "latency", "deadline_ms": 400}}],
            "services": [{services}],
            "searchers": [{{"name": "a", "address": "127.0.0.1:1", "domain": "d", "slots": {SLOTS}, "connections": 25}}],
            "shards": [{{"name": "a", "replicas": ["a"]}}]}}"#
    ))
    .expect("a valid document")
}

fn decision_cost() {
    println!("decision cost, mean of many rounds   ns per decision");
    let now = Instant::now();
    let rates = contracts();
    let alone = MemberView::Certain(Vec::new());
    let mut admission =
        Admission::new(now, AdmissionSettings::default(), &environment(&[1e9; SERVICES]), alone);
    let arrival = Arrival { service: ServiceId(7), deadline: now + DEADLINE, wait: Duration::ZERO };
    report("admit and release", 1_000_000, |round| {
        let now = now + Duration::from_nanos(round);
        let permit = admission.admit(now, &arrival).expect("within the contract");
        admission.release(black_box(permit));
    });
    let tight = environment(&[1e-3; SERVICES]);
    let alone = MemberView::Certain(Vec::new());
    let mut admission = Admission::new(now, AdmissionSettings::default(), &tight, alone);
    for _ in 0..5 {
        let permit = admission.admit(now, &arrival).expect("the burst");
        admission.release(permit);
    }
    report("reject at admission (rate)", 1_000_000, |round| {
        let now = now + Duration::from_nanos(round);
        black_box(admission.admit(now, &arrival)).expect_err("above the rate");
    });

    for backlog in [0, 50, 200] {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut connections = Connections::new(ConnectionSettings::default());
        connections.set_limit(now, 13, &mut rng);
        connections.set_need(SLOTS);
        let mut time = now;
        while connections.idle() < 3 {
            time += Duration::from_millis(1);
            if let Some(ConnectionAction::Open(id)) = connections.next_action(time, &mut rng) {
                connections.opened(time, id);
            }
        }
        let mut queue = SlotQueue::new(now, QueueSettings::default());
        queue.set_right(SlotRight::promised(SLOTS, now + Duration::from_secs(3600)));
        let sub = |service: u64, now: Instant| SubQuery {
            service: ServiceId::from_index((service % SERVICES as u64) as usize),
            share: rates[(service % SERVICES as u64) as usize],
            urgency: 0,
            deadline: now + Duration::from_secs(600),
        };
        for service in 0..backlog {
            queue.push(now, sub(service, now), service).expect("room");
        }
        let name = format!("push, start, connect, finish (backlog {backlog})");
        report(&name, 1_000_000, |round| {
            let now = now + Duration::from_nanos(round);
            queue.push(now, sub(round, now), round).expect("room");
            let Some(SlotAction::Start { ticket, .. }) = queue.next_action(now) else {
                panic!("a slot is free");
            };
            let acquired = connections.acquire();
            let tt_limits::Acquired::Reuse(id) = acquired else { panic!("one is idle") };
            black_box(connections.next_action(now, &mut rng));
            connections.released(now, id);
            queue.finish(now + Duration::from_millis(10), ticket, RunOutcome::Answered);
        });
    }

    let mut queue = SlotQueue::new(now, QueueSettings::default());
    queue.set_right(SlotRight::Half { slots: SLOTS });
    let sub = SubQuery { service: ServiceId(7), share: 1.0, urgency: 0, deadline: now + DEADLINE };
    while queue.push(now, sub, 0).is_ok() {}
    report("reject at the queue (expected wait)", 1_000_000, |_| {
        black_box(queue.push(now, sub, 0)).expect_err("too long a wait");
    });
    println!();
}

fn report<F>(name: &str, rounds: u64, mut decide: F)
where
    F: FnMut(u64),
{
    for round in 0..rounds / 10 {
        decide(round);
    }
    let start = std::time::Instant::now();
    for round in rounds / 10..rounds / 10 + rounds {
        decide(round);
    }
    println!("{name:<46} {:>6.0}", start.elapsed().as_nanos() as f64 / rounds as f64);
}

/// What stands between callers and the queue.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Front {
    /// Nothing: every sub-query reaches the queue.
    Open,
    /// Entries with admission that exchange usage every second. The contracts are the
    /// offered rates times `headroom`.
    Entries { count: u32, headroom: f64 },
}

struct Scenario {
    policy: QueuePolicy,
    front: Front,
    /// Offered rate of each service by second.
    offered: Box<dyn Fn(usize, f64) -> f64>,
    seconds: f64,
    seed: u64,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    service: usize,
    arrived: f64,
    /// Time until the start; `None` if it was not started.
    wait: Option<f64>,
    in_time: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish(u64),
    Heartbeat,
    Arrive(usize),
    Wake,
}

struct Simulation {
    scenario: Scenario,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    queue: SlotQueue<usize>,
    entries: Vec<Admission>,
    /// Running sub-queries by run number: ticket, sample and permit to return.
    runs: std::collections::HashMap<u64, (tt_limits::Ticket, usize)>,
    permits: std::collections::HashMap<usize, (usize, tt_limits::Permit)>,
    samples: Vec<Sample>,
    start: Instant,
}

impl Simulation {
    fn run(scenario: Scenario) -> Vec<Sample> {
        let start = Instant::now();
        let rates = contracts();
        let settings = QueueSettings { policy: scenario.policy, ..QueueSettings::default() };
        let mut queue = SlotQueue::new(start, settings);
        queue.set_right(SlotRight::promised(SLOTS, start + Duration::from_secs(1 << 20)));
        let (count, headroom) = match scenario.front {
            Front::Open => (0, 1.0),
            Front::Entries { count, headroom } => (count, headroom),
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
        simulation.at(start, Event::Heartbeat);
        for service in 0..SERVICES {
            simulation.next_arrival(start, service);
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
                self.next_arrival(now, service);
            }
            Event::Finish(run) => {
                // Absent if it was cancelled at its deadline.
                if let Some((ticket, sample)) = self.runs.remove(&run) {
                    self.queue.finish(now, ticket, RunOutcome::Answered);
                    self.samples[sample].in_time = true;
                    self.release(sample);
                }
            }
            Event::Heartbeat => {
                self.exchange(now);
                if self.seconds(now) < self.scenario.seconds {
                    self.at(now + Duration::from_secs(1), Event::Heartbeat);
                }
            }
            Event::Wake => {}
        }
        self.pump(now);
    }

    fn arrive(&mut self, now: Instant, service: usize, share: f64) {
        let sample = self.samples.len();
        let arrived = self.seconds(now);
        self.samples.push(Sample { service, arrived, wait: None, in_time: false });
        let id = ServiceId::from_index(service);
        let deadline = now + DEADLINE;
        if !self.entries.is_empty() {
            let entry = self.rng.random_range(0..self.entries.len());
            let arrival = Arrival { service: id, deadline, wait: Duration::ZERO };
            match self.entries[entry].admit(now, &arrival) {
                Ok(permit) => self.permits.insert(sample, (entry, permit)),
                Err(_) => return,
            };
        }
        let sub = SubQuery { service: id, share, urgency: 0, deadline };
        match self.queue.push(now, sub, sample) {
            Ok(_) => self.at(deadline, Event::Wake),
            Err(_) => self.release(sample),
        }
    }

    fn pump(&mut self, now: Instant) {
        while let Some(action) = self.queue.next_action(now) {
            match action {
                SlotAction::Start { ticket, item, .. } => {
                    let sample = self.samples[item];
                    self.samples[item].wait = Some(self.seconds(now) - sample.arrived);
                    let run = self.sequence;
                    let time = self.service_time();
                    self.at(now + time, Event::Finish(run));
                    self.runs.insert(run, (ticket, item));
                }
                SlotAction::Reject { item, .. } => self.release(item),
                SlotAction::Cancel { ticket } => {
                    let run =
                        self.runs.iter().find(|(_, run)| run.0 == ticket).map(|(key, _)| *key);
                    let (_, sample) = self.runs.remove(&run.expect("it runs")).expect("it runs");
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

    fn exchange(&mut self, now: Instant) {
        let reports: Vec<_> = self.entries.iter_mut().map(|e| e.usage_report(now)).collect();
        for (own, entry) in self.entries.iter_mut().enumerate() {
            for (index, report) in reports.iter().enumerate().filter(|(index, _)| *index != own) {
                entry.report_received(VmId(index as u32), now, report.clone());
            }
        }
    }

    fn next_arrival(&mut self, now: Instant, service: usize) {
        let second = self.seconds(now);
        let rate = (self.scenario.offered)(service, second);
        let next = now + self.exponential(rate);
        if self.seconds(next) < self.scenario.seconds {
            self.at(next, Event::Arrive(service));
        }
    }

    /// Erlang distribution of order 4: most times are near the mean, none is fixed.
    fn service_time(&mut self) -> Duration {
        (0..4).map(|_| self.exponential(4.0 / SERVICE_TIME)).sum()
    }

    fn exponential(&mut self, rate: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate)
    }

    fn at(&mut self, time: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn seconds(&self, now: Instant) -> f64 {
        (now - self.start).as_secs_f64()
    }
}

struct Summary {
    p50: f64,
    p99: f64,
    /// Parts of the sub-queries that were answered in time, in percent.
    answered: f64,
}

fn summary<F>(samples: &[Sample], wanted: F) -> Summary
where
    F: Fn(&Sample) -> bool,
{
    let list: Vec<&Sample> = samples.iter().filter(|sample| wanted(sample)).collect();
    let mut waits: Vec<f64> = list.iter().filter_map(|sample| sample.wait).collect();
    waits.sort_by(f64::total_cmp);
    let quantile = |q: f64| match waits.len() {
        0 => f64::NAN,
        count => waits[((count - 1) as f64 * q) as usize] * 1e3,
    };
    let in_time = list.iter().filter(|sample| sample.in_time).count();
    let answered = in_time as f64 / list.len().max(1) as f64 * 100.0;
    Summary { p50: quantile(0.5), p99: quantile(0.99), answered }
}

const SECONDS: f64 = 1200.0;
const ONE_ENTRY: Front = Front::Entries { count: 1, headroom: 1.0 };
const FIVE_ENTRIES: Front = Front::Entries { count: 5, headroom: 1.0 };
const HEADROOM: Front = Front::Entries { count: 5, headroom: 1.25 };
const COMBINATIONS: [(&str, QueuePolicy, Front); 6] = [
    ("Fifo", QueuePolicy::Fifo, Front::Open),
    ("Fair", QueuePolicy::Fair, Front::Open),
    ("Fair, 1 entry", QueuePolicy::Fair, ONE_ENTRY),
    ("Fair, 5 entries", QueuePolicy::Fair, FIVE_ENTRIES),
    ("Fair, 5, 1.25", QueuePolicy::Fair, HEADROOM),
    ("Fifo, 5, 1.25", QueuePolicy::Fifo, HEADROOM),
];

fn fairness(seed: u64) {
    println!("fairness: one service offers ten times its contract, {SECONDS} s");
    println!("1 or 5 entries with admission; 1.25: contracts are 1.25 times the offered rates");
    println!("wait in the queue in ms; answered in time in %");
    println!(
        "{:<16} {:<18} {:>7} {:>7} {:>7} {:>9} {:>9} {:>9} {:>9}",
        "policy", "hot service", "p50", "p99", "ratio", "answered", "smallest", "largest", "hot"
    );
    for (name, policy, front) in COMBINATIONS {
        let mut quiet = Vec::new();
        for (label, hot) in
            [("none", None), ("an ordinary one", Some(ORDINARY)), ("the largest", Some(LARGEST))]
        {
            let rates = contracts();
            let offered =
                Box::new(
                    move |service: usize, _: f64| {
                        if Some(service) == hot { rates[service] * 10.0 } else { rates[service] }
                    },
                );
            let samples =
                Simulation::run(Scenario { policy, front, offered, seconds: SECONDS, seed });
            let others = summary(&samples, |sample| Some(sample.service) != hot);
            if hot.is_none() {
                quiet = samples.clone();
            }
            let quiet_others = summary(&quiet, |sample| Some(sample.service) != hot);
            let of = |service| summary(&samples, |sample| sample.service == service).answered;
            let largest = if hot == Some(LARGEST) { f64::NAN } else { of(LARGEST) };
            println!(
                "{name:<16} {label:<18} {:>7.1} {:>7.1} {:>7.2} {:>9.2} {:>9.2} {:>9} {:>9}",
                others.p50,
                others.p99,
                others.p99 / quiet_others.p99,
                others.answered,
                of(SMALLEST),
                part(largest),
                part(hot.map_or(f64::NAN, of)),
            );
        }
    }
    println!();
}

/// A percentage, or `-` for one that does not apply.
fn part(percent: f64) -> String {
    if percent.is_nan() { "-".to_owned() } else { format!("{percent:.2}") }
}

fn goodput(seed: u64) {
    println!("goodput: answers in time a second, of a capacity of 200; all services scaled alike");
    let loads = [0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0];
    print!("{:<16}", "load");
    loads.iter().for_each(|load| print!(" {load:>7.1}"));
    println!("   2x/peak");
    for (name, policy, front) in COMBINATIONS {
        print!("{name:<16}");
        let mut peak = 0f64;
        let mut at_two = 0.0;
        for load in loads {
            let rates = contracts();
            let offered =
                Box::new(move |service: usize, _: f64| rates[service] * load / CONTRACT_LOAD);
            let seconds = 300.0;
            let samples = Simulation::run(Scenario { policy, front, offered, seconds, seed });
            let good = samples.iter().filter(|sample| sample.in_time).count() as f64 / seconds;
            peak = peak.max(good);
            if load == 2.0 {
                at_two = good;
            }
            print!(" {good:>7.1}");
        }
        println!("   {:>6.0}%", at_two / peak * 100.0);
    }
    println!();
}

fn recovery(seed: u64) {
    println!("recovery: all services offer 2x capacity from 60 s to 90 s, then their contract");
    println!(
        "p99 wait in ms and answered in time in %, before the overload and in each second after"
    );
    let seconds = [0.0, 1.0, 2.0, 4.0, 6.0, 9.0, 14.0];
    print!("{:<16} {:>13}", "", "before");
    seconds.iter().for_each(|second| print!(" {second:>13}"));
    println!();
    for (name, policy, front) in COMBINATIONS {
        let rates = contracts();
        let offered = Box::new(move |service: usize, second: f64| {
            let overload = (60.0..90.0).contains(&second);
            rates[service] * if overload { 2.0 / CONTRACT_LOAD } else { 1.0 }
        });
        let samples = Simulation::run(Scenario { policy, front, offered, seconds: 120.0, seed });
        let part = |from: f64, to: f64| {
            let part = summary(&samples, |sample| (from..to).contains(&sample.arrived));
            format!("{:.1}/{:.1}%", part.p99, part.answered)
        };
        print!("{name:<16} {:>13}", part(10.0, 60.0));
        seconds.iter().for_each(|second| print!(" {:>13}", part(90.0 + second, 91.0 + second)));
        println!();
    }
}
