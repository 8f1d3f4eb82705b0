//! Simulates one entry, its searchers and their queues in virtual time, and prints latency,
//! coverage and extra load of both policies. Without sockets, the figures show the effect of
//! the query decisions, not the cost of the daemon.
//!
//! `cargo run --release -p tt-routing --example stragglers [SHARDS [QUERIES]]`

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use tt_model::Environment;
use tt_model::Key;
use tt_model::SearcherId;
use tt_model::ServiceId;
use tt_model::Snapshot;
use tt_routing::Action;
use tt_routing::Attempt;
use tt_routing::AttemptKey;
use tt_routing::AttemptOutcome;
use tt_routing::Mode;
use tt_routing::Policy;
use tt_routing::Pressure;
use tt_routing::QueryKey;
use tt_routing::Reply;
use tt_routing::Request;
use tt_routing::Router;
use tt_routing::Settings;
use tt_routing::Shards;

const SHARDS: usize = 52;
const REPLICAS: usize = 2;
const SLOTS: usize = 2;
const QUERIES: usize = 20_000;
// Queries before the measurement, during which the latency estimates become stable.
const WARM_UP_QUERIES: usize = 1_000;
const ONE_WAY_US: u64 = 1_000;
const DEADLINE: Duration = Duration::from_secs(1);

/// The fault of the searchers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// One attempt in 100 takes ten times as long.
    Stragglers,
    /// One attempt in 100, and every attempt at one searcher, takes ten times as long.
    SlowSearcher,
    /// One attempt in 100 takes ten times as long, and one searcher never answers.
    HungSearcher,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Executed { attempt: usize },
    Reply { attempt: usize },
    Wake { index: u32, generation: u64 },
}

struct Simulation {
    router: Router<u64, StdRng>,
    rng: StdRng,
    fault: Fault,
    shards: usize,
    start: Instant,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    attempts: Vec<Attempt>,
    indexes: HashMap<AttemptKey, usize>,
    cancelled: HashSet<AttemptKey>,
    busy: Vec<usize>,
    queues: Vec<VecDeque<usize>>,
    executed: usize,
    latencies: Vec<Duration>,
    covered: usize,
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(|text| text.parse().expect("a number"));
    let shards = arguments.next().unwrap_or(SHARDS);
    let queries = arguments.next().unwrap_or(QUERIES);
    println!("{shards} shards, {REPLICAS} replicas, slot time 8 to 12 ms, {queries} queries");
    println!("fault         rate/s  policy      p50    p99   p999 ms  coverage  extra load");
    for fault in [Fault::Stragglers, Fault::SlowSearcher, Fault::HungSearcher] {
        for rate in [5.0, 20.0, 60.0] {
            for policy in [Policy::Baseline, Policy::Adaptive] {
                let simulation = Simulation::new(fault, policy, shards);
                simulation.run(rate, policy, queries);
            }
        }
    }
}

impl Simulation {
    fn new(fault: Fault, policy: Policy, shards: usize) -> Simulation {
        let environment = environment(shards);
        let start = Instant::now();
        let settings = Settings { policy, ..Settings::default() };
        let rng = StdRng::seed_from_u64(1);
        let mut router = Router::new(Arc::clone(&environment), settings, rng, start);
        for searcher in environment.searchers.keys() {
            router.set_held_snapshots(searcher, &[Snapshot(1)]);
        }
        Simulation {
            router,
            rng: StdRng::seed_from_u64(3),
            fault,
            shards,
            start,
            events: BinaryHeap::new(),
            attempts: Vec::new(),
            indexes: HashMap::new(),
            cancelled: HashSet::new(),
            busy: vec![0; environment.searchers.len()],
            queues: vec![VecDeque::new(); environment.searchers.len()],
            executed: 0,
            latencies: Vec::new(),
            covered: 0,
        }
    }

    fn run(mut self, rate: f64, policy: Policy, queries: usize) {
        self.events.push(Reverse((0, Event::Arrival)));
        let mut arrived = 0;
        let mut out = Vec::new();
        while let Some(Reverse((at, event))) = self.events.pop() {
            let now = self.start + Duration::from_micros(at);
            match event {
                Event::Arrival if arrived == queries => continue,
                Event::Arrival => {
                    arrived += 1;
                    let delay = -(1.0 - self.rng.random::<f64>()).ln() / rate;
                    self.events.push(Reverse((at + (delay * 1e6) as u64, Event::Arrival)));
                    let request = Request {
                        service: ServiceId(0),
                        shards: Shards::All,
                        mode: Mode::Idempotent,
                        deadline: now + DEADLINE,
                    };
                    self.router.start(request, now, &mut out).expect("a plan");
                }
                Event::Executed { attempt } => {
                    let searcher = self.attempts[attempt].searcher;
                    self.busy[searcher.index()] -= 1;
                    if !self.cancelled.contains(&self.attempts[attempt].key) {
                        self.events.push(Reverse((at + ONE_WAY_US, Event::Reply { attempt })));
                    }
                    self.serve(searcher, at);
                }
                Event::Reply { attempt } => {
                    let attempt = self.attempts[attempt];
                    let index = attempt.searcher.index();
                    let queued = self.queues[index].len() as u32;
                    let pressure = Some(Pressure { queued, busy: self.busy[index] as u32 });
                    let outcome = AttemptOutcome::Answered { snapshot: attempt.snapshot, body: 0 };
                    let reply = Reply { outcome, held: &[], pressure };
                    self.router.on_reply(attempt.key, reply, now, &mut out);
                }
                Event::Wake { index, generation } => {
                    self.router.wake(QueryKey { index, generation }, now, &mut out);
                }
            }
            for action in out.drain(..) {
                self.act(action, at, arrived);
            }
        }
        self.print(rate, policy);
    }

    fn act(&mut self, action: Action<u64>, at: u64, arrived: usize) {
        match action {
            Action::Send(attempt) => {
                self.indexes.insert(attempt.key, self.attempts.len());
                self.queues[attempt.searcher.index()].push_back(self.attempts.len());
                self.attempts.push(attempt);
                self.serve(attempt.searcher, at);
            }
            Action::Cancel { key, searcher } => {
                self.cancelled.insert(key);
                // A cancellation closes the connection, which frees the slot of a hung searcher.
                if self.fault == Fault::HungSearcher && searcher == SearcherId(0) {
                    let attempt = self.indexes[&key];
                    let queue = &mut self.queues[0];
                    match queue.iter().position(|&other| other == attempt) {
                        Some(place) => drop(queue.remove(place)),
                        None => self.busy[0] -= 1,
                    }
                    self.serve(searcher, at);
                }
            }
            Action::WakeAt { query, at } => {
                let at = (at - self.start).as_micros() as u64;
                let event = Event::Wake { index: query.index, generation: query.generation };
                self.events.push(Reverse((at, event)));
            }
            Action::Finish(answer) if arrived > WARM_UP_QUERIES => {
                self.latencies.push(answer.elapsed);
                self.covered += answer.covered.len();
            }
            Action::Finish(_) => {}
        }
    }

    /// Starts queued attempts while the searcher has free slots.
    fn serve(&mut self, searcher: SearcherId, at: u64) {
        let index = searcher.index();
        while self.busy[index] < SLOTS {
            let Some(attempt) = self.queues[index].pop_front() else { return };
            if self.cancelled.contains(&self.attempts[attempt].key) {
                continue;
            }
            self.busy[index] += 1;
            self.executed += 1;
            let mut us = self.rng.random_range(8_000..12_000);
            if self.rng.random_range(0..100) == 0 {
                us *= 10;
            }
            match (self.fault, searcher) {
                (Fault::SlowSearcher, SearcherId(0)) => us *= 10,
                (Fault::HungSearcher, SearcherId(0)) => continue,
                _ => {}
            }
            self.events.push(Reverse((at + ONE_WAY_US + us, Event::Executed { attempt })));
        }
    }

    fn print(mut self, rate: f64, policy: Policy) {
        self.latencies.sort_unstable();
        let quantile = |q: f64| {
            let index = ((self.latencies.len() - 1) as f64 * q) as usize;
            self.latencies[index].as_secs_f64() * 1e3
        };
        let coverage = self.covered as f64 / (self.latencies.len() * self.shards) as f64;
        let extra = self.executed as f64 / self.router.counters().primaries as f64 - 1.0;
        println!(
            "{:12}  {rate:6}  {:8}  {:5.1}  {:5.1}  {:8.1}  {:7.3}%  {:9.2}%",
            format!("{:?}", self.fault),
            format!("{policy:?}"),
            quantile(0.5),
            quantile(0.99),
            quantile(0.999),
            100.0 * coverage,
            100.0 * extra,
        );
    }
}

fn environment(shards: usize) -> Arc<Environment> {
    let searchers: Vec<String> = (0..shards * REPLICAS)
        .map(|i| {
            format!(
                r#"{{"name":"r{i}","address":"127.0.0.1:{}","domain":"here","slots":{SLOTS},
                    "connections":25}}"#,
                1_024 + i
            )
        })
        .collect();
    let shards: Vec<String> = (0..shards)
        .map(|i| {
            let first = i * REPLICAS;
            let replicas: Vec<String> =
                (first..first + REPLICAS).map(|r| format!("\"r{r}\"")).collect();
            format!(r#"{{"name":"s{i}","replicas":[{}]}}"#, replicas.join(","))
        })
        .collect();
    let text = format!(
        r#"{{"environment":"sim","domains":["here"],
            "classes":[{{"name":"c","prefer":"coverage","deadline_ms":1000}}],
            "services":[{{"name":"s","class":"c","shards":["*"],
                "contract":{{"rate":1,"burst":1,"concurrency":1}}}}],
            "searchers":[{}],"shards":[{}]}}"#,
        searchers.join(","),
        shards.join(",")
    );
    Arc::new(Environment::parse(&text).unwrap_or_else(|faults| panic!("{faults}")))
}
