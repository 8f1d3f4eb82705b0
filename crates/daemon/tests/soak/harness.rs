//! Runs one seed: starts the stand-ins, the entries and the callers, injects faults, and checks.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::check;
use crate::check::CallerRequest;
use crate::check::ExpectedSearcher;
use crate::faults;
use crate::faults::Target;
use crate::faults::Targets;
use crate::process::Vm;
use crate::proxy::Proxy;
use crate::support::CallerConnection;
use crate::support::config::config;
use crate::support::free_address;
use crate::support::get;
use crate::support::searcher::Behavior;
use crate::support::searcher::Searcher;
use crate::support::start_store;
use tt_standin::Platform;

pub const SHARDS: [&str; 5] = ["p0", "p1", "p2", "p3", "p4"];

/// Minimum number of shards in an answer, from `MIN_SHARD_RATIO`.
const MIN_SHARDS: usize = 4;

pub const MIN_SHARD_RATIO: f64 = 0.8;

/// Maximum number of records in an answer, as in the configuration of the stand-in.
const TOP_K: usize = 3;

/// Number of VMs, each in a failure domain of its own.
const VM_COUNT: usize = 3;

/// How long faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(6);

/// Time after the faults within which service must have recovered; the users allow 12 s.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Number of requests in a row that must succeed at each VM for it to count as recovered.
const MIN_SUCCESSES: usize = 10;

/// The result of one seed.
#[derive(Debug)]
pub struct Report {
    pub violations: Vec<String>,
    requests: usize,
    answered: usize,
    faults: usize,
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { violations, requests, answered, faults } = self;
        write!(out, "{answered} of {requests} answered under {faults} faults, ")?;
        write!(out, "{} violations", violations.len())
    }
}

/// Runs one seed.
pub async fn run(seed: u64) -> Report {
    let mut rng = StdRng::seed_from_u64(seed);
    let store = start_store().await;
    store.put("op/config", &config(1, &SHARDS, MIN_SHARD_RATIO));
    let mut targets = start_targets(seed, &store).await;
    for vm in &mut targets.vms {
        vm.start();
    }
    let directories: Vec<SocketAddr> = targets.vms.iter().map(|vm| vm.directory).collect();
    let fronts: Vec<SocketAddr> = targets.vms.iter().map(|vm| vm.front).collect();
    let mut violations = Vec::new();
    if !has_recovered(&fronts, "start", "/all/").await {
        violations.push("no service after the start".to_owned());
    }
    let requests = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..6)
        .map(|caller| {
            let rng = StdRng::seed_from_u64(seed * 1000 + caller);
            let (requests, stop) = (requests.clone(), stop.clone());
            tokio::spawn(run_caller(caller, rng, directories.clone(), requests, stop))
        })
        .collect();
    let faults =
        faults::inject_faults(&mut targets, &mut rng, Instant::now() + FAULT_DURATION).await;
    for (name, path) in [("end", "/all/".to_owned()), ("new", format!("/v{}/", targets.version))] {
        if !has_recovered(&fronts, name, &path).await {
            violations.push(format!(
                "no service at {path} {} s after the faults",
                RECOVERY_TIMEOUT.as_secs()
            ));
        }
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("a caller ends");
    }
    // A request that was refused but is still being sent would show at a searcher only later.
    sleep(Duration::from_millis(500)).await;
    let expected: Vec<ExpectedSearcher<'_>> =
        targets.searchers.iter().map(expected_searcher).collect();
    let requests = requests.lock().expect("no holder panics").clone();
    violations.extend(check::violations(&requests, &expected, SHARDS.len(), MIN_SHARDS, TOP_K));
    if !violations.is_empty() {
        println!("seed {seed}: faults {faults:?}");
        for vm in &targets.vms {
            println!("seed {seed}: log of {} at {}", vm.name, vm.log().display());
        }
    }
    if std::env::var_os("SOAK_FAULTS").is_some() {
        println!("seed {seed}: faults {faults:?}");
    }
    let answered =
        requests.iter().filter(|it| it.answer.as_ref().is_some_and(|it| it.status == 200));
    Report {
        violations,
        requests: requests.len(),
        answered: answered.count(),
        faults: faults.len(),
    }
}

async fn start_targets(seed: u64, store: &Platform) -> Targets {
    let store_proxy = Proxy::start(store.address()).await;
    let mut peers = Vec::new();
    for _ in 0..VM_COUNT {
        peers.push(free_address().await);
    }
    let mut vms = Vec::new();
    for index in 0..VM_COUNT {
        vms.push(Vm::new(seed, index, store_proxy.address, &peers).await);
    }
    let mut searchers = Vec::new();
    let mut value = 0;
    for (place, pool) in SHARDS.iter().chain(&["one"]).enumerate() {
        for replica in 0..2 {
            value += 1;
            let normal_behavior = Behavior::Answer([value; 32].to_vec());
            let id = format!("{pool}-{replica}");
            let domain = format!("d{}", (place + replica) % VM_COUNT);
            let mut searcher =
                Searcher::start(store, &id, pool, &domain, normal_behavior.clone()).await;
            let proxy = Proxy::start(searcher.address).await;
            searcher.address = proxy.address;
            let pool = (*pool).to_owned();
            let mut target = Target {
                searcher,
                proxy,
                normal_behavior,
                pool,
                domain,
                born: 5,
                sequence: 1,
                state: None,
            };
            target.register(store, Some("ready"));
            searchers.push(target);
        }
    }
    Targets { vms, store: store.clone(), store_proxy, searchers, version: 1 }
}

fn expected_searcher(target: &Target) -> ExpectedSearcher<'_> {
    let Target { searcher, normal_behavior, pool, .. } = target;
    let pool = pool.clone();
    let body = match normal_behavior {
        Behavior::Answer(body) => body.clone(),
        _ => Vec::new(),
    };
    ExpectedSearcher { searcher, pool, body }
}

/// Whether each VM serves [`MIN_SUCCESSES`] requests in a row before the timeout.
async fn has_recovered(fronts: &[SocketAddr], name: &str, path: &str) -> bool {
    let end = Instant::now() + RECOVERY_TIMEOUT;
    let count = AtomicU64::new(0);
    for &front in fronts {
        let mut successes = 0;
        while successes < MIN_SUCCESSES {
            if Instant::now() > end {
                return false;
            }
            let id = format!("{name}-{front}-{}", count.fetch_add(1, Ordering::Relaxed));
            let headers = [("x-request-id", id.as_str()), ("x-deadline-ms", "2000")];
            let answer = timeout(Duration::from_secs(3), get(front, path, &headers)).await;
            let served = answer.ok().flatten().is_some_and(|answer| answer.status == 200);
            successes = if served { successes + 1 } else { 0 };
            if !served {
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
    true
}

/// Runs a caller: it gets an address from a directory, and reuses its connection for as long as
/// that works.
async fn run_caller(
    caller: u64,
    mut rng: StdRng,
    directories: Vec<SocketAddr>,
    requests: Arc<Mutex<Vec<CallerRequest>>>,
    stop: Arc<AtomicBool>,
) {
    let mut open_connection: Option<CallerConnection> = None;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let Some(mut connection) = (match open_connection.take() {
            Some(connection) => Some(connection),
            None => connect(&directories, &mut rng).await,
        }) else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        count += 1;
        let id = format!("c{caller}-{count}");
        let path = ["/all/", "/one/", "/once/"][rng.random_range(0..3)];
        let answer =
            timeout(Duration::from_secs(4), connection.ask(path, &id)).await.ok().flatten();
        if answer.as_ref().is_some_and(|it| it.header("connection") != Some("close")) {
            open_connection = Some(connection);
        }
        requests.lock().expect("no holder panics").push(CallerRequest { id, path, answer });
        sleep(Duration::from_millis(rng.random_range(1..15))).await;
    }
}

async fn connect(directories: &[SocketAddr], rng: &mut StdRng) -> Option<CallerConnection> {
    let directory = directories[rng.random_range(0..directories.len())];
    let asked = timeout(Duration::from_secs(1), get(directory, "/resolve?name=a.example", &[]));
    let answer = asked.await.ok()??;
    let body: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    let addresses = body["addrs"].as_array()?;
    let address = addresses[rng.random_range(0..addresses.len())].as_str()?;
    let stream = timeout(Duration::from_secs(1), TcpStream::connect(address)).await.ok()?.ok()?;
    Some(CallerConnection::new(stream))
}
