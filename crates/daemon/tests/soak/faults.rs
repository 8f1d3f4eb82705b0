//! Faults in a random series; they overlap.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::Rng;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::process::Vm;
use crate::proxy::Mode;
use crate::proxy::Proxy;
use crate::support::config::config;
use crate::support::searcher::Behavior;
use crate::support::searcher::Incarnation;
use crate::support::searcher::Searcher;
use crate::world::COVERAGE;
use crate::world::SHARDS;
use tt_standin::Fault;
use tt_standin::Platform;

/// What faults strike.
#[derive(Debug)]
pub struct Targets {
    pub vms: Vec<Vm>,
    pub store: Platform,
    /// The way to the store.
    pub way: Proxy,
    pub searchers: Vec<Target>,
    /// Version of the newest configuration.
    pub version: u64,
}

/// A searcher with the way to it.
#[derive(Debug)]
pub struct Target {
    pub searcher: Searcher,
    pub way: Proxy,
    pub sound: Behavior,
    pub pool: String,
    pub domain: String,
    /// Start of its newest incarnation, in Unix milliseconds.
    pub born: u64,
}

impl Target {
    pub fn register(&self, store: &Platform, state: &str, sequence: u64) {
        let life = Incarnation { state, born: self.born, sequence };
        self.searcher.register_as(store, &self.pool, &self.domain, life);
    }
}

/// Something that ends later.
#[derive(Debug)]
enum Undo {
    Start(usize),
    Continue(usize),
    Way,
    Store,
    Path(usize),
    Act(usize),
    Rebirth(usize),
}

/// Strikes until `end`, and then undoes everything.
pub async fn strike(targets: &mut Targets, rng: &mut StdRng, end: Instant) -> Vec<String> {
    let mut done = Vec::new();
    let mut undo: Vec<(Instant, Undo)> = Vec::new();
    while Instant::now() < end {
        let next = Instant::now() + millis(rng, 30, 220);
        done.extend(one(targets, rng, &mut undo));
        while Instant::now() < next {
            take_back(targets, &mut undo, Instant::now());
            sleep(Duration::from_millis(20)).await;
        }
    }
    let last = undo.iter().map(|(at, _)| *at).max().unwrap_or(end);
    sleep_until(last.min(end + Duration::from_secs(2))).await;
    for (at, _) in &mut undo {
        *at = Instant::now();
    }
    // A machine that was told to stop ends before it starts again.
    let patience = Instant::now() + Duration::from_secs(10);
    while !undo.is_empty() && Instant::now() < patience {
        take_back(targets, &mut undo, Instant::now());
        sleep(Duration::from_millis(20)).await;
    }
    done
}

fn millis(rng: &mut StdRng, least: u64, most: u64) -> Duration {
    Duration::from_millis(rng.random_range(least..most))
}

fn one(targets: &mut Targets, rng: &mut StdRng, undo: &mut Vec<(Instant, Undo)>) -> Option<String> {
    let until = Instant::now() + millis(rng, 200, 1800);
    let vm = rng.random_range(0..targets.vms.len());
    let searcher = rng.random_range(0..targets.searchers.len());
    let starting = undo.iter().any(|(_, it)| matches!(it, Undo::Start(it) if *it == vm));
    let name = match rng.random_range(0..12) {
        0 if !starting => {
            targets.vms[vm].signal(Signal::SIGKILL);
            undo.push((until, Undo::Start(vm)));
            format!("kill vm {vm}")
        }
        1 if !starting => {
            targets.vms[vm].signal(Signal::SIGTERM);
            undo.push((until, Undo::Start(vm)));
            format!("terminate vm {vm}")
        }
        2 => {
            targets.vms[vm].signal(Signal::SIGSTOP);
            undo.push((until, Undo::Continue(vm)));
            format!("pause vm {vm}")
        }
        3 => {
            targets.vms[vm].signal(Signal::SIGHUP);
            format!("hang up vm {vm}")
        }
        4 => {
            let mode = mode(rng);
            targets.way.set(mode);
            undo.push((until, Undo::Way));
            format!("way to the store {mode:?}")
        }
        5 | 6 => {
            let mode = mode(rng);
            targets.searchers[searcher].way.set(mode);
            undo.push((until, Undo::Path(searcher)));
            format!("path to searcher {searcher} {mode:?}")
        }
        7 => {
            let act = act(rng, &targets.searchers[searcher].sound);
            targets.searchers[searcher].searcher.set_behavior(act.clone());
            undo.push((until, Undo::Act(searcher)));
            format!("searcher {searcher} {act:?}")
        }
        8 => {
            undo.push((until, Undo::Store));
            format!("store {}", misbehave(&targets.store, rng))
        }
        9 | 10 => {
            targets.version += rng.random_range(1..4);
            let version = targets.version;
            targets.store.put("op/config", &config(version, &SHARDS, COVERAGE));
            format!("configuration {version}")
        }
        11 if !undo.iter().any(|(_, it)| matches!(it, Undo::Rebirth(it) if *it == searcher)) => {
            let target = &targets.searchers[searcher];
            if rng.random_bool(0.5) {
                target.register(&targets.store, "draining", 3);
            } else {
                target.searcher.unregister(&targets.store);
            }
            undo.push((until, Undo::Rebirth(searcher)));
            format!("searcher {searcher} leaves")
        }
        _ => return None,
    };
    Some(name)
}

/// Lets the store itself misbehave.
fn misbehave(store: &Platform, rng: &mut StdRng) -> &'static str {
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

fn mode<R>(rng: &mut R) -> Mode
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

fn act<R>(rng: &mut R, sound: &Behavior) -> Behavior
where
    R: Rng,
{
    let Behavior::Answer(body) = sound else { return sound.clone() };
    match rng.random_range(0..8) {
        0 => Behavior::AnswerTwice(body.clone()),
        1 => Behavior::OtherId,
        2 => Behavior::CutShort,
        3 => Behavior::Close,
        4 => Behavior::Silent,
        5 => Behavior::Shed,
        6 => Behavior::Fail,
        _ => Behavior::Moved,
    }
}

fn take_back(targets: &mut Targets, undo: &mut Vec<(Instant, Undo)>, now: Instant) {
    let mut kept = Vec::new();
    for (at, it) in undo.drain(..) {
        if at > now {
            kept.push((at, it));
            continue;
        }
        match it {
            Undo::Start(vm) if targets.vms[vm].has_ended() => {
                targets.vms[vm].reap();
                targets.vms[vm].start();
            }
            Undo::Start(vm) => kept.push((at, Undo::Start(vm))),
            Undo::Continue(vm) => targets.vms[vm].signal(Signal::SIGCONT),
            Undo::Way => targets.way.set(Mode::Pass),
            Undo::Store => {
                targets.store.set_fault(Fault::None);
                targets.store.lose_replies(0);
            }
            Undo::Path(searcher) => targets.searchers[searcher].way.set(Mode::Pass),
            Undo::Act(searcher) => {
                let Target { searcher, sound, .. } = &targets.searchers[searcher];
                searcher.set_behavior(sound.clone());
            }
            // It starts again under its id, and its counts start anew.
            Undo::Rebirth(searcher) => {
                let target = &mut targets.searchers[searcher];
                target.born += 1;
                target.register(&targets.store, "ready", 1);
            }
        }
    }
    *undo = kept;
}
