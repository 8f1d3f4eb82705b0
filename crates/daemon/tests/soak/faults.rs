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
use crate::support::searcher::Act;
use crate::support::searcher::Searcher;

/// What faults strike.
#[derive(Debug)]
pub struct Targets {
    pub vms: Vec<Vm>,
    pub store: Proxy,
    pub searchers: Vec<(Searcher, Proxy, Act)>,
}

/// Something that ends later.
#[derive(Debug)]
enum Undo {
    Start(usize),
    Continue(usize),
    Store,
    Path(usize),
    Act(usize),
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
    let name = match rng.random_range(0..8) {
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
            targets.store.set(mode);
            undo.push((until, Undo::Store));
            format!("store {mode:?}")
        }
        5 | 6 => {
            let mode = mode(rng);
            targets.searchers[searcher].1.set(mode);
            undo.push((until, Undo::Path(searcher)));
            format!("path to searcher {searcher} {mode:?}")
        }
        7 => {
            let act = act(rng, &targets.searchers[searcher].2);
            targets.searchers[searcher].0.set(act.clone());
            undo.push((until, Undo::Act(searcher)));
            format!("searcher {searcher} {act:?}")
        }
        _ => return None,
    };
    Some(name)
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

fn act<R>(rng: &mut R, sound: &Act) -> Act
where
    R: Rng,
{
    let Act::Answer(body) = sound else { return sound.clone() };
    match rng.random_range(0..8) {
        0 => Act::AnswerTwice(body.clone()),
        1 => Act::OtherId,
        2 => Act::CutShort,
        3 => Act::Close,
        4 => Act::Silent,
        5 => Act::Shed,
        6 => Act::Fail,
        _ => Act::Moved,
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
            Undo::Store => targets.store.set(Mode::Pass),
            Undo::Path(searcher) => targets.searchers[searcher].1.set(Mode::Pass),
            Undo::Act(searcher) => {
                let (server, _, sound) = &targets.searchers[searcher];
                server.set(sound.clone());
            }
        }
    }
    *undo = kept;
}
