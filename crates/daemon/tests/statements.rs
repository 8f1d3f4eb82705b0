//! A randomized soak test of what searchers say of themselves: three entries run as processes, and
//! searchers name limits, leave and start again, and ask for rest, in series that overlap. One
//! entry is killed, stopped and paused; the users' rules on statements excuse it and hold for the
//! others.
//!
//! `STATEMENT_SEEDS=100..150 cargo test -p tt-daemon --test statements -- --nocapture` runs other
//! seeds.

#[path = "soak/check.rs"]
mod check;
#[path = "soak/process.rs"]
mod process;
#[path = "../../front/tests/support/mod.rs"]
mod support;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use check::CallerRequest;
use check::ExpectedSearcher;
use nix::sys::signal::Signal;
use process::Vm;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::CallerConnection;
use support::config::config;
use support::free_address;
use support::get;
use support::searcher::Arrival;
use support::searcher::Behavior;
use support::searcher::Incarnation;
use support::searcher::Searcher;
use support::start_store;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use tt_standin::Platform;

/// Seeds that run in CI.
const CI_SEEDS: Range<u64> = 1..3;

/// Seeds that failed in the past, with the cause.
const REGRESSIONS: &[(u64, &str)] = &[
    (101, "hedges went to a searcher that leaves"),
    (137, "what a new start said was forgotten when its registration was read"),
];

/// The entry that is killed, stopped and paused.
const EXCUSED_VM: usize = 0;

const VM_COUNT: usize = 3;

/// Number of callers of each entry.
const CALLERS: usize = 3;

/// How long searchers make statements.
const STATEMENT_DURATION: Duration = Duration::from_secs(10);

/// Bounds of the users: when a limit applies, and the window in which requests are counted.
const STABLE: Duration = Duration::from_secs(4);
const WINDOW: Duration = Duration::from_secs(4);

/// Time after a statement from which requests count, and the requests allowed while a searcher
/// rests.
const REACTION: Duration = Duration::from_millis(500);
const MAX_IN_REST: usize = 2;

/// The limits, as they stand in answers.
const LIMITS: [(&str, f64); 3] =
    [("Server-Limit: 8", 8.0), ("Server-Limit: 12.5", 12.5), ("Server-Limit: 30.0", 30.0)];
const LEAVING: &str = "Server-Leaving: 1";
const RESTS: [(&str, f64); 3] = [("0.9", 0.9), ("1.5", 1.5), ("2.75", 2.75)];

/// A request of a caller with its entry and times.
#[derive(Debug, Clone)]
struct Sent {
    vm: usize,
    sent_at: Instant,
    answered_at: Instant,
    request: CallerRequest,
}

type Log = Arc<Mutex<Vec<Sent>>>;

async fn run_caller(vm: usize, caller: usize, front: SocketAddr, log: Log, stop: Arc<AtomicBool>) {
    let mut open: Option<CallerConnection> = None;
    for count in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let mut connection = match open.take() {
            Some(connection) => connection,
            None => match TcpStream::connect(front).await {
                Ok(stream) => CallerConnection::new(stream),
                Err(_) => {
                    sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
        };
        let id = format!("v{vm}c{caller}-{count}");
        let path = ["/one/", "/once/"][count % 2];
        let sent_at = Instant::now();
        let asked = timeout(Duration::from_secs(4), connection.ask(path, &id));
        let answer = asked.await.ok().flatten();
        if answer.as_ref().is_some_and(|it| it.header("connection") != Some("close")) {
            open = Some(connection);
        }
        let request = CallerRequest { id, path, answer };
        let sent = Sent { vm, sent_at, answered_at: Instant::now(), request };
        log.lock().expect("no holder panics").push(sent);
        sleep(Duration::from_millis(3)).await;
    }
}

/// Makes one searcher say something at random until `end`. Returns when it started again.
async fn make_statements(
    searcher: Searcher,
    store: Platform,
    domain: String,
    mut rng: StdRng,
    end: Instant,
) -> Vec<Instant> {
    let body = vec![7; 32];
    let mut restarts = Vec::new();
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(50..600))).await;
        let (behavior, duration_ms) = match rng.random_range(0..3) {
            0 => {
                let (line, _) = LIMITS[rng.random_range(0..LIMITS.len())];
                (Behavior::AnswerWith(line, body.clone()), rng.random_range(5000..8000))
            }
            1 => (Behavior::AnswerWith(LEAVING, body.clone()), rng.random_range(500..4500)),
            _ => {
                let (seconds, _) = RESTS[rng.random_range(0..RESTS.len())];
                (Behavior::ShedFor(seconds), rng.random_range(100..900))
            }
        };
        let leaves = behavior == Behavior::AnswerWith(LEAVING, body.clone());
        searcher.set_behavior(behavior);
        sleep_until(end.min(Instant::now() + Duration::from_millis(duration_ms))).await;
        searcher.set_behavior(Behavior::Answer(body.clone()));
        if leaves {
            restarts.push(Instant::now());
            let born = 5 + restarts.len() as u64;
            let incarnation = Incarnation { state: "ready", born, sequence: 1 };
            searcher.register_as(&store, "one", &domain, incarnation);
        }
    }
    restarts
}

/// Kills, stops and pauses the excused entry, and lets the store misbehave.
async fn disturb(vms: &mut [Vm], store: &Platform, rng: &mut StdRng, end: Instant) {
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(300..900))).await;
        let vm = &mut vms[EXCUSED_VM];
        match rng.random_range(0..5) {
            0 => {
                vm.signal(Signal::SIGKILL);
                vm.reap();
                vm.start();
            }
            1 => {
                vm.signal(Signal::SIGSTOP);
                sleep(Duration::from_millis(rng.random_range(100..1500))).await;
                vm.signal(Signal::SIGCONT);
            }
            2 => store.lapse_leases(),
            3 => store.compact(),
            _ => vms.iter().for_each(|vm| vm.signal(Signal::SIGHUP)),
        }
    }
}

/// The arrivals of requests of one entry at one searcher.
fn arrivals_of<'a>(
    vm: usize,
    arrivals: &'a [Arrival],
    sent: &HashMap<&str, &Sent>,
) -> Vec<&'a Arrival> {
    let is_own = |it: &&Arrival| sent.get(it.id.as_str()).is_some_and(|sent| sent.vm == vm);
    arrivals.iter().filter(is_own).collect()
}

/// Requests that reach a searcher in the time for which it has asked for none. A new start of it
/// knows nothing of that.
fn rest_violations(arrivals: &[&Arrival], restarts: &[Instant]) -> Vec<String> {
    let mut violations = Vec::new();
    for shed in arrivals {
        let Behavior::ShedFor(seconds) = &shed.behavior else { continue };
        let rest = RESTS.iter().find(|(text, _)| text == seconds).expect("a known time").1;
        let restart = restarts.iter().copied().find(|restart| *restart > shed.at);
        let end = shed.at + Duration::from_secs_f64(rest);
        let end = restart.map_or(end, |restart| restart.min(end));
        let within = |it: &&&Arrival| shed.at + REACTION < it.at && it.at < end;
        let count = arrivals.iter().filter(within).count();
        if count > MAX_IN_REST {
            violations.push(format!("{count} requests in a rest of {seconds} s"));
        }
    }
    violations
}

/// Requests that a caller sent after the entry had passed on that the searcher is leaving.
fn leaving_violations(
    searcher: &str,
    arrivals: &[&Arrival],
    sent: &HashMap<&str, &Sent>,
    restarts: &[Instant],
) -> Vec<String> {
    let mut violations = Vec::new();
    let starts = arrivals.first().map(|it| it.at).into_iter().chain(restarts.iter().copied());
    for start in starts {
        let end = restarts.iter().copied().find(|restart| *restart > start);
        let is_within = |at: Instant| at >= start && end.is_none_or(|end| at < end);
        let told = arrivals.iter().filter(|it| is_within(it.at)).filter_map(|it| {
            let sent = sent[it.id.as_str()];
            let answer = sent.request.answer.as_ref()?;
            // A retry may have been answered by another searcher, which leaves too.
            let is_own = answer.header("x-server-stamp")?.starts_with(&format!("{searcher}."));
            let is_leaving = answer.header("server-leaving") == Some("1");
            (is_own && is_leaving).then_some(sent.answered_at)
        });
        let Some(told) = told.min() else { continue };
        let late = |it: &&&Arrival| is_within(it.at) && sent[it.id.as_str()].sent_at > told;
        let late: Vec<&str> = arrivals.iter().filter(late).map(|it| it.id.as_str()).collect();
        if !late.is_empty() {
            violations.push(format!("{late:?} reached a searcher that leaves"));
        }
    }
    violations
}

/// Windows in which a searcher gets more than its limit from the entries that have heard it.
fn limit_violations(by_vm: &[Vec<&Arrival>]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut all: Vec<(usize, &Arrival)> = Vec::new();
    for (vm, arrivals) in by_vm.iter().enumerate() {
        all.extend(arrivals.iter().map(|&it| (vm, it)));
    }
    all.sort_by_key(|(_, it)| it.at);
    // Each run of arrivals that were answered with the same limit is one period.
    for period in all.chunk_by(|a, b| a.1.behavior == b.1.behavior) {
        let Behavior::AnswerWith(line, _) = &period[0].1.behavior else { continue };
        let Some((_, limit)) = LIMITS.iter().find(|(text, _)| text == line) else { continue };
        let first = period[0].1.at;
        let told_at = |vm: usize| period.iter().find(|(it, _)| *it == vm).map(|(_, it)| it.at);
        let counted: Vec<Instant> = period
            .iter()
            .filter(|(vm, it)| {
                let is_told = told_at(*vm).is_some_and(|told| told + REACTION <= it.at);
                is_told && it.at >= first + STABLE
            })
            .map(|(_, it)| it.at)
            .collect();
        let max = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
        for &start in &counted {
            let count = counted.iter().filter(|&&at| start <= at && at < start + WINDOW).count();
            if count as f64 > max {
                violations.push(format!("{count} requests in 4 s at a limit of {limit}"));
                break;
            }
        }
    }
    violations
}

async fn run(seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let store = start_store().await;
    store.put("op/config", &config(1, &["p0"], 0.0));
    let mut searchers = Vec::new();
    for index in 0..3 {
        let behavior = Behavior::Answer(vec![7; 32]);
        let (id, domain) = (format!("one-{index}"), format!("d{index}"));
        searchers.push(Searcher::start(&store, &id, "one", &domain, behavior).await);
    }
    let mut peers = Vec::new();
    for _ in 0..VM_COUNT {
        peers.push(free_address().await);
    }
    let mut vms = Vec::new();
    for index in 0..VM_COUNT {
        let mut vm = Vm::new(10_000 + seed, index, store.address(), &peers).await;
        vm.start();
        vms.push(vm);
    }
    let ready = async {
        for (index, vm) in vms.iter().enumerate() {
            let id = format!("ready-{index}");
            let headers = [("x-request-id", id.as_str())];
            while get(vm.front, "/one/", &headers).await.map(|answer| answer.status) != Some(200) {
                sleep(Duration::from_millis(20)).await;
            }
        }
    };
    timeout(Duration::from_secs(20), ready).await.expect("the entries serve");
    let (log, stop) = (Log::default(), Arc::new(AtomicBool::new(false)));
    let mut callers = Vec::new();
    for (index, vm) in vms.iter().enumerate() {
        for caller in 0..CALLERS {
            let caller = run_caller(index, caller, vm.front, log.clone(), stop.clone());
            callers.push(tokio::spawn(caller));
        }
    }
    let end = Instant::now() + STATEMENT_DURATION;
    // The last searcher says nothing, so that there is always one to use.
    let speaking: Vec<_> = (0..2)
        .map(|index| {
            let rng = StdRng::seed_from_u64(seed * 10 + index as u64);
            let (searcher, domain) = (searchers[index].clone(), format!("d{index}"));
            tokio::spawn(make_statements(searcher, store.clone(), domain, rng, end))
        })
        .collect();
    disturb(&mut vms, &store, &mut rng, end).await;
    let mut restarts = Vec::new();
    for speaking in speaking {
        restarts.push(speaking.await.expect("a searcher ends its statements"));
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("a caller ends");
    }
    sleep(Duration::from_millis(500)).await;
    let log = log.lock().expect("no holder panics").clone();
    let sent: HashMap<&str, &Sent> = log.iter().map(|it| (it.request.id.as_str(), it)).collect();
    let requests: Vec<CallerRequest> = log.iter().map(|it| it.request.clone()).collect();
    let expected: Vec<ExpectedSearcher<'_>> = searchers
        .iter()
        .map(|searcher| ExpectedSearcher { searcher, pool: "one".to_owned(), body: vec![7; 32] })
        .collect();
    let mut violations = check::violations(&requests, &expected, 1, 0, 3);
    for (index, restarts) in restarts.iter().enumerate() {
        let arrivals = searchers[index].arrivals();
        let by_vm: Vec<Vec<&Arrival>> = (0..VM_COUNT)
            .filter(|vm| *vm != EXCUSED_VM)
            .map(|vm| arrivals_of(vm, &arrivals, &sent))
            .collect();
        for arrivals in &by_vm {
            violations.extend(rest_violations(arrivals, restarts));
            let id = &searchers[index].id;
            violations.extend(leaving_violations(id, arrivals, &sent, restarts));
        }
        violations.extend(limit_violations(&by_vm));
    }
    let served = log.iter().filter(|it| it.vm != EXCUSED_VM);
    let (mut asked, mut answered) = (0, 0);
    for it in served {
        asked += 1;
        answered += usize::from(it.request.answer.as_ref().is_some_and(|it| it.status == 200));
    }
    if answered * 100 < asked * 99 {
        violations.push(format!("{answered} of {asked} served, though a searcher has room"));
    }
    println!("seed {seed}: {answered} of {asked} served, {} violations", violations.len());
    violations
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("STATEMENT_SEEDS") else {
        return CI_SEEDS.chain(REGRESSIONS.iter().map(|(seed, _)| *seed)).collect();
    };
    let (first, end) = text.split_once("..").expect("STATEMENT_SEEDS is FIRST..END");
    (first.parse().expect("a number")..end.parse().expect("a number")).collect()
}

// Guards against requests that a searcher has asked not to get, while entries and searchers come
// and go: beyond its limit, after it said that it leaves, and while it rests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn statements_of_searchers_are_heeded_under_faults() {
    let mut violations = Vec::new();
    for seed in seeds() {
        violations.extend(run(seed).await.into_iter().map(|line| format!("seed {seed}: {line}")));
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
