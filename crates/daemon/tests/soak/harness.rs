//! The stand-ins, the callers and the run of one seed.

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
use crate::check::Known;
use crate::check::Seen;
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

/// Fewest shards in an answer, for the coverage below.
const NEED: usize = 4;

pub const COVERAGE: f64 = 0.8;

/// Records in an answer, as the stand-in's configuration says.
const TOP: usize = 3;

/// Machines, each in a failure domain of its own.
const VMS: usize = 3;

/// Time in which faults strike.
const STRIKES: Duration = Duration::from_secs(6);

/// Time after the faults in which service must come back; the users allow 12 s.
const RECOVERY: Duration = Duration::from_secs(12);

/// Requests in a row that must succeed at each machine once service is back.
const SOUND: usize = 10;

/// What came of one seed.
#[derive(Debug)]
pub struct Report {
    pub broken: Vec<String>,
    requests: usize,
    answered: usize,
    faults: usize,
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { broken, requests, answered, faults } = self;
        write!(out, "{answered} of {requests} answered under {faults} faults, ")?;
        write!(out, "{} promises broken", broken.len())
    }
}

/// Runs one seed.
pub async fn run(seed: u64) -> Report {
    let mut rng = StdRng::seed_from_u64(seed);
    let store = start_store().await;
    store.put("op/config", &config(1, &SHARDS, COVERAGE));
    let mut targets = build(seed, &store).await;
    for vm in &mut targets.vms {
        vm.start();
    }
    let directories: Vec<SocketAddr> = targets.vms.iter().map(|vm| vm.directory).collect();
    let fronts: Vec<SocketAddr> = targets.vms.iter().map(|vm| vm.front).collect();
    let mut broken = Vec::new();
    if !is_back(&fronts, "start", "/all/").await {
        broken.push("no service after the start".to_owned());
    }
    let seen = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..6)
        .map(|caller| {
            let rng = StdRng::seed_from_u64(seed * 1000 + caller);
            let (seen, stop) = (seen.clone(), stop.clone());
            tokio::spawn(call(caller, rng, directories.clone(), seen, stop))
        })
        .collect();
    let done = faults::strike(&mut targets, &mut rng, Instant::now() + STRIKES).await;
    for (name, path) in [("end", "/all/".to_owned()), ("new", format!("/v{}/", targets.version))] {
        if !is_back(&fronts, name, &path).await {
            broken.push(format!("no service at {path} {} s after the faults", RECOVERY.as_secs()));
        }
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("a caller ends");
    }
    // A send that is still on its way would show a false refusal only later.
    sleep(Duration::from_millis(500)).await;
    let known: Vec<Known<'_>> = targets.searchers.iter().map(known).collect();
    let seen = seen.lock().expect("no holder panics").clone();
    broken.extend(check::broken(&seen, &known, SHARDS.len(), NEED, TOP));
    if !broken.is_empty() {
        println!("seed {seed}: faults {done:?}");
        for vm in &targets.vms {
            println!("seed {seed}: log of {} at {}", vm.name, vm.log().display());
        }
    }
    if std::env::var_os("SOAK_FAULTS").is_some() {
        println!("seed {seed}: faults {done:?}");
    }
    let answered = seen.iter().filter(|it| it.answer.as_ref().is_some_and(|it| it.status == 200));
    Report { broken, requests: seen.len(), answered: answered.count(), faults: done.len() }
}

async fn build(seed: u64, store: &Platform) -> Targets {
    let way = Proxy::start(store.address()).await;
    let mut peers = Vec::new();
    for _ in 0..VMS {
        peers.push(free_address().await);
    }
    let mut vms = Vec::new();
    for index in 0..VMS {
        vms.push(Vm::new(seed, index, way.address, &peers).await);
    }
    let mut searchers = Vec::new();
    let mut value = 0;
    for (place, pool) in SHARDS.iter().chain(&["one"]).enumerate() {
        for replica in 0..2 {
            value += 1;
            let act = Behavior::Answer([value; 32].to_vec());
            let id = format!("{pool}-{replica}");
            let domain = format!("d{}", (place + replica) % VMS);
            let mut searcher = Searcher::start(store, &id, pool, &domain, act.clone()).await;
            let proxy = Proxy::start(searcher.address).await;
            searcher.address = proxy.address;
            let pool = (*pool).to_owned();
            let target = Target { searcher, way: proxy, sound: act, pool, domain, born: 5 };
            target.register(store, "ready", 2);
            searchers.push(target);
        }
    }
    Targets { vms, store: store.clone(), way, searchers, version: 1 }
}

fn known(target: &Target) -> Known<'_> {
    let Target { searcher, sound, pool, .. } = target;
    let pool = pool.clone();
    let body = match sound {
        Behavior::Answer(body) => body.clone(),
        _ => Vec::new(),
    };
    Known { searcher, pool, body }
}

/// Whether each machine serves several requests in a row in time.
async fn is_back(fronts: &[SocketAddr], name: &str, path: &str) -> bool {
    let end = Instant::now() + RECOVERY;
    let count = AtomicU64::new(0);
    for &front in fronts {
        let mut sound = 0;
        while sound < SOUND {
            if Instant::now() > end {
                return false;
            }
            let id = format!("{name}-{front}-{}", count.fetch_add(1, Ordering::Relaxed));
            let headers = [("x-request-id", id.as_str()), ("x-deadline-ms", "2000")];
            let answer = timeout(Duration::from_secs(3), get(front, path, &headers)).await;
            let served = answer.ok().flatten().is_some_and(|answer| answer.status == 200);
            sound = if served { sound + 1 } else { 0 };
            if !served {
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
    true
}

/// A caller: asks a directory, keeps its connection as long as it works, and asks on.
async fn call(
    caller: u64,
    mut rng: StdRng,
    directories: Vec<SocketAddr>,
    seen: Arc<Mutex<Vec<Seen>>>,
    stop: Arc<AtomicBool>,
) {
    let mut kept: Option<CallerConnection> = None;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let Some(mut connection) = (match kept.take() {
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
            kept = Some(connection);
        }
        seen.lock().expect("no holder panics").push(Seen { id, path, answer });
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
