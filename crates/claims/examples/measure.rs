//! Measures claims with an in-memory store that takes 5 ms for each call.
//!
//! Usage: `cargo run --release -p tt-claims --example measure [seconds for each row]`

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use uuid::Uuid;

use tt_claims::BodyDigest;
use tt_claims::CallerAttempt;
use tt_claims::ClaimId;
use tt_claims::ClaimReply;
use tt_claims::ClaimRequest;
use tt_claims::FencingToken;
use tt_claims::Now;
use tt_claims::PARTITION_COUNT;
use tt_claims::Partition;
use tt_claims::PartitionAction;
use tt_claims::PartitionEvent;
use tt_claims::PartitionId;
use tt_claims::PartitionSettings;
use tt_claims::PartitionStatus;
use tt_claims::RequestKey;
use tt_claims::RunResult;
use tt_claims::Start;
use tt_claims::Step;
use tt_model::Epoch;
use tt_model::Incarnation;
use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

const STORE_DELAY: Duration = Duration::from_millis(5);
/// Within the deadlines of the current classes.
const MAX_WAIT_MS: u32 = 2_000;

#[derive(Clone, Default)]
struct Store(Arc<Mutex<StoreState>>);

#[derive(Default)]
struct StoreState {
    values: HashMap<String, (Revision, Vec<u8>)>,
    last_revision: u64,
    reads: u64,
    writes: u64,
    written_bytes: u64,
}

impl Store {
    fn run(&self, call: StoreCall) -> StoreReply {
        let mut guard = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let store = &mut *guard;
        match call {
            StoreCall::Get { key } | StoreCall::Watch { key, .. } => {
                store.reads += 1;
                match store.values.get(&key).cloned() {
                    Some((revision, value)) => StoreReply::Value { revision, value },
                    None => StoreReply::Missing,
                }
            }
            StoreCall::Put { key, expect, value } => {
                store.writes += 1;
                store.written_bytes += value.len() as u64;
                store.last_revision += 1;
                let revision = Revision(store.last_revision);
                match store.values.entry(key) {
                    Entry::Occupied(mut entry) if entry.get().0 == expect => {
                        entry.insert((revision, value));
                        StoreReply::Written { revision }
                    }
                    Entry::Occupied(entry) => StoreReply::Conflict { revision: entry.get().0 },
                    Entry::Vacant(entry) if expect == Revision(0) => {
                        entry.insert((revision, value));
                        StoreReply::Written { revision }
                    }
                    Entry::Vacant(_) => StoreReply::Conflict { revision: Revision(0) },
                }
            }
            StoreCall::Delete { key, expect } => {
                store.writes += 1;
                match store.values.remove(&key) {
                    Some(_) => StoreReply::Written { revision: expect },
                    None => StoreReply::Missing,
                }
            }
        }
    }

    /// Reads, writes and written bytes so far.
    fn counts(&self) -> [u64; 3] {
        let store = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        [store.reads, store.writes, store.written_bytes]
    }
}

type ReplySender = oneshot::Sender<ClaimReply>;

/// Runs one partition until its channel of calls is closed.
async fn drive(
    mut partition: Partition,
    store: Store,
    mut calls: mpsc::UnboundedReceiver<(ClaimRequest, ReplySender)>,
) {
    let (done, mut replies) = mpsc::unbounded_channel();
    let mut waiting: HashMap<u64, ReplySender> = HashMap::new();
    let mut tag = 0;
    let mut event = PartitionEvent::Timer;
    loop {
        for action in partition.handle(event, now()) {
            match action {
                PartitionAction::Store { call, request } => {
                    let (store, done) = (store.clone(), done.clone());
                    tokio::spawn(async move {
                        tokio::time::sleep(STORE_DELAY).await;
                        let reply = store.run(request);
                        done.send(PartitionEvent::Store { call, reply }).ok();
                    });
                }
                PartitionAction::Reply { tag, reply } => {
                    if let Some(answer) = waiting.remove(&tag) {
                        answer.send(reply).ok();
                    }
                }
            }
        }
        let idle = Instant::now() + Duration::from_secs(3600);
        let timer = tokio::time::sleep_until(partition.next_timer().unwrap_or(idle));
        event = tokio::select! {
            reply = replies.recv() => match reply {
                Some(event) => event,
                None => return,
            },
            call = calls.recv() => match call {
                Some((request, answer)) => {
                    tag += 1;
                    waiting.insert(tag, answer);
                    PartitionEvent::Request { tag, request }
                }
                None => return,
            },
            () = timer => PartitionEvent::Timer,
        };
    }
}

fn now() -> Now {
    Now { instant: Instant::now(), unix_ms: unix_ms() }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

fn request(key: RequestKey, step: Step) -> ClaimRequest {
    ClaimRequest {
        key,
        claim: ClaimId(key.id.as_u128()),
        digest: BodyDigest::of(b"body"),
        attempt: CallerAttempt::FIRST,
        wait_ms: MAX_WAIT_MS,
        step,
    }
}

fn claim() -> Step {
    Step::Claim { start: Start::Now, deadline_unix_ms: unix_ms() + u64::from(MAX_WAIT_MS) }
}

fn token(epoch: u64) -> FencingToken {
    FencingToken { epoch: Epoch(epoch), incarnation: Incarnation(epoch) }
}

#[derive(Clone)]
struct Load {
    name: &'static str,
    settings: PartitionSettings,
    /// Claims a second.
    rate: f64,
    result_bytes: usize,
}

/// Sends claims at a fixed mean rate (Poisson arrivals), followed by their results, and prints a
/// row of figures.
async fn offer(load: Load, seconds: u64) {
    let store = Store::default();
    let owners: Vec<_> = (0..PARTITION_COUNT)
        .map(|id| {
            let (sender, receiver) = mpsc::unbounded_channel();
            let partition = Partition::new(PartitionId(id), token(1), load.settings.clone(), now());
            tokio::spawn(drive(partition, store.clone(), receiver));
            sender
        })
        .collect();
    // Waits for the take-over, which is not part of the figures.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let [_, writes, bytes] = store.counts();
    let results = Arc::new(Mutex::new(Vec::new()));
    let mut rng = StdRng::seed_from_u64(7);
    let start_time = Instant::now();
    let mut at = start_time;
    let mut offered = 0_u64;
    while at < start_time + Duration::from_secs(seconds) {
        tokio::time::sleep_until(at).await;
        offered += 1;
        let Ok(key) = RequestKey::new("measure", Uuid::now_v7()) else {
            continue;
        };
        let owner = owners[usize::from(key.partition().0)].clone();
        let (results, result_bytes) = (results.clone(), load.result_bytes);
        tokio::spawn(async move {
            let start = Instant::now();
            let (answer, reply) = oneshot::channel();
            owner.send((request(key, claim()), answer)).ok();
            let granted = matches!(reply.await, Ok(ClaimReply::Started));
            let wait = start.elapsed();
            results.lock().unwrap_or_else(PoisonError::into_inner).push((granted, wait));
            if granted {
                let (answer, reply) = oneshot::channel();
                let result = RunResult::Kept(vec![b'r'; result_bytes]);
                owner.send((request(key, Step::Finish { result }), answer)).ok();
                reply.await.ok();
            }
        });
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        at += Duration::from_secs_f64(-uniform.ln() / load.rate);
    }
    let elapsed = start_time.elapsed().as_secs_f64();
    let [_, writes_after, bytes_after] = store.counts();
    let mut waits: Vec<f64> = {
        let results = results.lock().unwrap_or_else(PoisonError::into_inner);
        let granted = results.iter().filter(|(granted, _)| *granted);
        granted.map(|(_, wait)| wait.as_secs_f64() * 1e3).collect()
    };
    waits.sort_by(f64::total_cmp);
    let quantile = |q: f64| match waits.len() {
        0 => f64::NAN,
        len => waits[((len - 1) as f64 * q) as usize],
    };
    println!(
        "{:<26} {:>6} {:>7} {:>9.0} {:>9.0} {:>8.0} {:>8.1} {:>8.1} {:>8.1}",
        load.name,
        load.rate,
        load.result_bytes,
        offered as f64 / elapsed,
        waits.len() as f64 / elapsed,
        (writes_after - writes) as f64 / elapsed,
        (bytes_after - bytes) as f64 / elapsed / 1e6,
        quantile(0.5),
        quantile(0.99),
    );
}

/// Fills the log of partition 0 with `claims` claims and their results, without delays, and
/// returns the store.
fn fill(claims: usize) -> Store {
    let store = Store::default();
    let mut clock = now();
    let settings = PartitionSettings::default();
    let mut partition = Partition::new(PartitionId(0), token(1), settings, clock);
    let mut events = vec![PartitionEvent::Timer];
    let mut filled = 0;
    let mut tag = 0;
    let mut results: Vec<(RequestKey, Step)> = Vec::new();
    loop {
        while let Some(event) = events.pop() {
            for action in partition.handle(event, clock) {
                if let PartitionAction::Store { call, request } = action {
                    let reply = store.run(request);
                    events.push(PartitionEvent::Store { call, reply });
                }
            }
        }
        if partition.status() == PartitionStatus::Owner && partition.pending_calls() == 0 {
            if filled >= claims && results.is_empty() {
                return store;
            }
            // Results are sent once their claims are durable.
            let steps = results.drain(..).chain((0..100.min(claims - filled)).filter_map(|_| {
                filled += 1;
                let key = RequestKey::new("measure", Uuid::now_v7()).ok()?;
                Some((key, claim()))
            }));
            for (key, step) in steps.collect::<Vec<_>>() {
                if let Step::Claim { .. } = step {
                    let result = RunResult::Kept(vec![b'r'; 100]);
                    results.push((key, Step::Finish { result }));
                }
                tag += 1;
                let request = request(key, step);
                events.insert(0, PartitionEvent::Request { tag, request });
            }
        } else {
            clock.instant = partition.next_timer().unwrap_or(clock.instant).max(clock.instant);
            events.push(PartitionEvent::Timer);
        }
    }
}

/// Takes over the log in `store`, and prints the time and the number of store calls.
async fn replay(store: Store, window: usize) {
    let before = store.counts();
    let settings = PartitionSettings { read_window: window, ..PartitionSettings::default() };
    let start = Instant::now();
    let mut partition = Partition::new(PartitionId(0), token(2), settings, now());
    let (done, mut replies) = mpsc::unbounded_channel();
    let mut event = PartitionEvent::Timer;
    while partition.status() != PartitionStatus::Owner {
        for action in partition.handle(event, now()) {
            if let PartitionAction::Store { call, request } = action {
                let (store, done) = (store.clone(), done.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(STORE_DELAY).await;
                    let reply = store.run(request);
                    done.send(PartitionEvent::Store { call, reply }).ok();
                });
            }
        }
        if partition.status() == PartitionStatus::Owner {
            break;
        }
        let idle = Instant::now() + Duration::from_secs(3600);
        let timer = tokio::time::sleep_until(partition.next_timer().unwrap_or(idle));
        event = tokio::select! {
            Some(event) = replies.recv() => event,
            () = timer => PartitionEvent::Timer,
        };
    }
    let after = store.counts();
    println!(
        "{:>9} {:>7} {:>9.0} {:>7} {:>7}",
        partition.request_id_count(),
        window,
        start.elapsed().as_secs_f64() * 1e3,
        after[0] - before[0],
        after[1] - before[1],
    );
}

#[tokio::main]
async fn main() {
    let seconds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(10);
    let batched = PartitionSettings::default();
    let single = PartitionSettings { max_batch_len: 1, ..batched.clone() };
    let unthrottled = PartitionSettings { write_interval: Duration::ZERO, ..single.clone() };
    println!(
        "{:<26} {:>6} {:>7} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8}",
        "mode", "rate", "result", "offered/s", "granted/s", "writes/s", "MB/s", "p50 ms", "p99 ms"
    );
    for rate in [50.0, 500.0, 5_000.0] {
        let modes = [
            ("batches", &batched),
            ("one record", &single),
            ("one record, no interval", &unthrottled),
        ];
        for (name, settings) in modes {
            let load = Load { name, settings: settings.clone(), rate, result_bytes: 100 };
            offer(load, seconds).await;
        }
    }
    for rate in [50.0, 500.0] {
        let load = Load { name: "batches", settings: batched.clone(), rate, result_bytes: 4096 };
        offer(load, seconds).await;
    }
    println!("\n{:>9} {:>7} {:>9} {:>7} {:>7}", "retained", "window", "ms", "reads", "writes");
    for claims in [0, 100, 1_000, 10_000, 100_000] {
        let store = fill(claims);
        for window in [1, 4, 16] {
            let copy = {
                let state = store.0.lock().unwrap_or_else(PoisonError::into_inner);
                StoreState {
                    values: state.values.clone(),
                    last_revision: state.last_revision,
                    ..StoreState::default()
                }
            };
            replay(Store(Arc::new(Mutex::new(copy))), window).await;
        }
    }
}
