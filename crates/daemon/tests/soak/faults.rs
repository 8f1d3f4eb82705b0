//! Injects a random series of faults that may overlap.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::Rng;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::harness::MIN_SHARD_RATIO;
use crate::harness::SHARDS;
use crate::process::Vm;
use crate::proxy::Mode;
use crate::proxy::Proxy;
use crate::support::config::config;
use crate::support::searcher::Behavior;
use crate::support::searcher::Incarnation;
use crate::support::searcher::Searcher;
use tt_standin::Fault;
use tt_standin::Platform;
use tt_standin::StoreCopy;

/// Time after the store has come back from a copy until what it has lost is written again.
const REWRITE_DELAY: Duration = Duration::from_millis(700);

/// Everything that faults are injected into.
#[derive(Debug)]
pub struct Targets {
    pub vms: Vec<Vm>,
    pub store: Platform,
    /// The proxy in front of the store.
    pub store_proxy: Proxy,
    pub searchers: Vec<Target>,
    /// Version of the newest configuration.
    pub version: u64,
}

/// A searcher with the proxy in front of it.
#[derive(Debug)]
pub struct Target {
    pub searcher: Searcher,
    pub proxy: Proxy,
    pub normal_behavior: Behavior,
    pub pool: String,
    pub domain: String,
    /// Start of its newest incarnation, in Unix milliseconds.
    pub born: u64,
    /// Sequence number of its last heartbeat.
    pub sequence: u64,
    /// The state that it is registered with, if it is.
    pub state: Option<&'static str>,
}

impl Target {
    /// Registers it with this state, or removes its registration.
    pub fn register(&mut self, store: &Platform, state: Option<&'static str>) {
        self.state = state;
        self.sequence += 1;
        let Target { searcher, pool, domain, born, sequence, .. } = self;
        match state {
            Some(state) => {
                let incarnation = Incarnation { state, born: *born, sequence: *sequence };
                searcher.register_as(store, pool, domain, incarnation);
            }
            None => searcher.unregister(store),
        }
    }
}

/// How to end a fault.
#[derive(Debug)]
enum Undo {
    StartVm(usize),
    ResumeVm(usize),
    StoreProxy,
    StoreFault,
    /// The store comes back from this copy.
    RestoreStore(StoreCopy),
    /// What the operator and the searchers have written is written again.
    Rewrite,
    SearcherProxy(usize),
    SearcherBehavior(usize),
    RestartSearcher(usize),
}

/// Injects faults until `end` and then undoes them all. Returns a description of each.
pub async fn inject_faults(targets: &mut Targets, rng: &mut StdRng, end: Instant) -> Vec<String> {
    let mut injected = Vec::new();
    let mut undo: Vec<(Instant, Undo)> = Vec::new();
    while Instant::now() < end {
        let next = Instant::now() + millis(rng, 30, 220);
        injected.extend(inject_one(targets, rng, &mut undo));
        while Instant::now() < next {
            undo_due(targets, &mut undo, Instant::now());
            sleep(Duration::from_millis(20)).await;
        }
    }
    let last_undo = undo.iter().map(|(at, _)| *at).max().unwrap_or(end);
    sleep_until(last_undo.min(end + Duration::from_secs(2))).await;
    for (at, _) in &mut undo {
        *at = Instant::now();
    }
    // A process that got SIGTERM has to end before it can be started again.
    let restart_deadline = Instant::now() + Duration::from_secs(10);
    while !undo.is_empty() && Instant::now() < restart_deadline {
        undo_due(targets, &mut undo, Instant::now());
        sleep(Duration::from_millis(20)).await;
    }
    injected
}

fn millis(rng: &mut StdRng, min: u64, max: u64) -> Duration {
    Duration::from_millis(rng.random_range(min..max))
}

fn inject_one(
    targets: &mut Targets,
    rng: &mut StdRng,
    undo: &mut Vec<(Instant, Undo)>,
) -> Option<String> {
    let until = Instant::now() + millis(rng, 200, 1800);
    let vm = rng.random_range(0..targets.vms.len());
    let searcher = rng.random_range(0..targets.searchers.len());
    let restart_due = undo.iter().any(|(_, it)| matches!(it, Undo::StartVm(it) if *it == vm));
    let description = match rng.random_range(0..13) {
        0 if !restart_due => {
            targets.vms[vm].signal(Signal::SIGKILL);
            undo.push((until, Undo::StartVm(vm)));
            format!("kill vm {vm}")
        }
        1 if !restart_due => {
            targets.vms[vm].signal(Signal::SIGTERM);
            undo.push((until, Undo::StartVm(vm)));
            format!("terminate vm {vm}")
        }
        2 => {
            targets.vms[vm].signal(Signal::SIGSTOP);
            undo.push((until, Undo::ResumeVm(vm)));
            format!("pause vm {vm}")
        }
        3 => {
            targets.vms[vm].signal(Signal::SIGHUP);
            format!("SIGHUP to vm {vm}")
        }
        4 => {
            let mode = random_mode(rng);
            targets.store_proxy.set(mode);
            undo.push((until, Undo::StoreProxy));
            format!("store proxy {mode:?}")
        }
        5 | 6 => {
            let mode = random_mode(rng);
            targets.searchers[searcher].proxy.set(mode);
            undo.push((until, Undo::SearcherProxy(searcher)));
            format!("proxy of searcher {searcher} {mode:?}")
        }
        7 => {
            let behavior = random_behavior(rng, &targets.searchers[searcher].normal_behavior);
            targets.searchers[searcher].searcher.set_behavior(behavior.clone());
            undo.push((until, Undo::SearcherBehavior(searcher)));
            format!("searcher {searcher} {behavior:?}")
        }
        8 => {
            undo.push((until, Undo::StoreFault));
            format!("store {}", inject_store_fault(&targets.store, rng))
        }
        9 | 10 => {
            targets.version += rng.random_range(1..4);
            let version = targets.version;
            targets.store.put("op/config", &config(version, &SHARDS, MIN_SHARD_RATIO));
            format!("configuration {version}")
        }
        11 if !undo
            .iter()
            .any(|(_, it)| matches!(it, Undo::RestartSearcher(it) if *it == searcher)) =>
        {
            let state = rng.random_bool(0.5).then_some("draining");
            targets.searchers[searcher].register(&targets.store, state);
            undo.push((until, Undo::RestartSearcher(searcher)));
            format!("searcher {searcher} drains or leaves")
        }
        12 if !undo.iter().any(|(_, it)| matches!(it, Undo::RestoreStore(_) | Undo::Rewrite)) => {
            undo.push((until, Undo::RestoreStore(targets.store.copy())));
            "store copied, and comes back from the copy".to_owned()
        }
        _ => return None,
    };
    Some(description)
}

/// Injects a fault into the store itself.
fn inject_store_fault(store: &Platform, rng: &mut StdRng) -> &'static str {
    match rng.random_range(0..6) {
        0 => {
            store.set_fault(Fault::Refusing);
            "refuses"
        }
        1 => {
            store.set_fault(Fault::Down);
            "down"
        }
        2 => {
            store.set_fault(Fault::Slow(millis(rng, 20, 600)));
            "slow"
        }
        3 => {
            store.lose_replies(rng.random_range(1..6));
            "loses replies"
        }
        4 => {
            store.lapse_leases();
            "lapses leases"
        }
        _ => {
            store.compact();
            "drops its history"
        }
    }
}

fn random_mode<R>(rng: &mut R) -> Mode
where
    R: Rng,
{
    match rng.random_range(0..4) {
        0 => Mode::Delay(Duration::from_millis(rng.random_range(10..400))),
        1 => Mode::Reset,
        2 => Mode::Silent,
        _ => Mode::OneWay,
    }
}

fn random_behavior<R>(rng: &mut R, normal_behavior: &Behavior) -> Behavior
where
    R: Rng,
{
    let Behavior::Answer(body) = normal_behavior else { return normal_behavior.clone() };
    match rng.random_range(0..9) {
        0 => Behavior::AnswerTwice(body.clone()),
        1 => Behavior::OtherId,
        2 => Behavior::CutShort,
        3 => Behavior::Close,
        4 => Behavior::Silent,
        5 => Behavior::Shed,
        6 => Behavior::Fail,
        7 => Behavior::FailWith(429),
        _ => Behavior::Moved,
    }
}

fn undo_due(targets: &mut Targets, undo: &mut Vec<(Instant, Undo)>, now: Instant) {
    let mut remaining = Vec::new();
    for (at, it) in undo.drain(..) {
        if at > now {
            remaining.push((at, it));
            continue;
        }
        match it {
            Undo::StartVm(vm) if targets.vms[vm].has_ended() => {
                targets.vms[vm].reap();
                targets.vms[vm].start();
            }
            Undo::StartVm(vm) => remaining.push((at, Undo::StartVm(vm))),
            Undo::ResumeVm(vm) => targets.vms[vm].signal(Signal::SIGCONT),
            Undo::StoreProxy => targets.store_proxy.set(Mode::Pass),
            Undo::StoreFault => {
                targets.store.set_fault(Fault::None);
                targets.store.lose_replies(0);
            }
            Undo::RestoreStore(copy) => {
                targets.store.restore(&copy);
                // Late enough that entries read the copy, in time for those that lost their
                // registrations.
                remaining.push((at + REWRITE_DELAY, Undo::Rewrite));
            }
            Undo::Rewrite => {
                let newest = config(targets.version, &SHARDS, MIN_SHARD_RATIO);
                targets.store.put("op/config", &newest);
                for target in &mut targets.searchers {
                    target.register(&targets.store, target.state);
                }
            }
            Undo::SearcherProxy(searcher) => targets.searchers[searcher].proxy.set(Mode::Pass),
            Undo::SearcherBehavior(searcher) => {
                let Target { searcher, normal_behavior, .. } = &targets.searchers[searcher];
                searcher.set_behavior(normal_behavior.clone());
            }
            // It registers with the same id as a new incarnation, so its sequence starts again.
            Undo::RestartSearcher(searcher) => {
                let target = &mut targets.searchers[searcher];
                target.born += 1;
                target.sequence = 0;
                target.register(&targets.store, Some("ready"));
            }
        }
    }
    *undo = remaining;
}
