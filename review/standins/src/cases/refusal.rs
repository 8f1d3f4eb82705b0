//! A searcher runs requests that may run once and fails part of them with a client error.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use super::Asks;
use super::HOST;
use super::SentRequests;
use super::config;
use super::consume;
use super::hash;
use super::unix_ms;
use crate::record::Record;
use crate::searcher::Arrivals;
use crate::searcher::Outcome;
use crate::searcher::Registration;
use crate::searcher::Searcher;
use crate::searcher::Work;
use crate::store::Store;
use crate::tier::Block;
use crate::tier::Tier;

const SERVICE: &str = "recipe-desk";

/// Status with which the searcher fails requests that it ran.
const FAILED_STATUS: u16 = 429;

/// Share of its requests that it fails, and for how long: as `srv_grey` of the site.
const FAILED_PERCENT: u64 = 45;
const FAILS_FOR: Duration = Duration::from_millis(6500);

/// How often that happens.
const WINDOWS: usize = 3;

pub fn run(trouble: bool, record: &mut Record) -> Result<bool, String> {
    let block = Block::find();
    let store = Store::new();
    let arrivals = Arrivals::default();
    let failing = Arc::new(AtomicBool::new(false));
    let is_failing = failing.clone();
    let work: Work = Arc::new(move |task| {
        let grey = task.searcher == "i-00" && is_failing.load(Ordering::SeqCst);
        let fails = grey && hash(&task.request) % 100 < FAILED_PERCENT;
        let status = if fails { FAILED_STATUS } else { 200 };
        Outcome::run(20, status, b"payout slip".to_vec())
    });
    let zones = ["tx-austin", "tx-waco", "tx-temple"];
    let mut searchers = Vec::new();
    for number in 0..7 {
        let registration = Registration {
            id: format!("i-{number:02}"),
            service: SERVICE.to_owned(),
            zone: zones[usize::from(number) % 3].to_owned(),
            address: block.searcher(number),
            born: unix_ms(),
        };
        searchers.push(Searcher::start(registration, &store, &arrivals, work.clone()));
    }
    let route = format!(
        r#"{{"name":"payout","host":"{HOST}","prefix":"/payout/","kind":"non_idempotent","timeout_ms":5000,"goal_ms":500,"priority":2,"service":"{SERVICE}","attempts":2}}"#
    );
    store.put("op/config", &config(1, &[route], &[SERVICE.to_owned()]));
    let mut tier = Tier::new(block, &zones, &store);
    tier.start()?;
    sleep(Duration::from_secs(2));
    let sent = SentRequests::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut consumers = Vec::new();
    for (index, machine) in tier.machines.iter().enumerate() {
        for consumer in 0..2 {
            let asks = Asks {
                machine: machine.name.clone(),
                front: machine.front,
                name: format!("m{index}c{consumer}"),
                method: "POST",
                target: "/payout/2f".to_owned(),
                deadline_ms: 5000,
                pause: Duration::from_millis(60),
            };
            consumers.push(consume(asks, &sent, &stop));
        }
    }
    sleep(Duration::from_secs(4));
    let mut windows = Vec::new();
    for _ in 0..WINDOWS {
        let from = Instant::now();
        failing.store(trouble, Ordering::SeqCst);
        sleep(FAILS_FOR);
        failing.store(false, Ordering::SeqCst);
        windows.push((from, Instant::now()));
        sleep(Duration::from_secs(3));
    }
    stop.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    sleep(Duration::from_secs(1));
    for (from, until) in windows.into_iter().filter(|_| trouble) {
        record.line(from, "i-00 begins to fail requests that it runs");
        record.line(until, "i-00 ends that");
    }
    let arrivals = arrivals.lock().unwrap().clone();
    let mut runs: HashMap<&str, Vec<String>> = HashMap::new();
    for it in arrivals.iter().filter(|it| it.ran) {
        runs.entry(&it.request).or_default().push(format!("{} ({})", it.searcher, it.status));
    }
    let (mut refused, mut broken) = (0, 0);
    let sent = sent.lock().unwrap().clone();
    for it in &sent {
        let status = it.answer.as_ref().map_or(0, |answer| answer.status);
        let ran = runs.get(it.id.as_str()).cloned().unwrap_or_default();
        let promise = matches!(status, 429 | 503 | 408 | 421);
        refused += usize::from(promise);
        let is_broken = promise && !ran.is_empty();
        broken += usize::from(is_broken);
        let note = if is_broken { " REFUSED, BUT HAS RUN" } else { "" };
        let ran = ran.join(", ");
        record.line(it.at, &format!("{} to {}: {status}, ran at {ran}{note}", it.id, it.machine));
    }
    record.note(&format!(
        "{} requests that may run once, {refused} answered with 429, 503, 408 or 421, of these \
         {broken} have run",
        sent.len()
    ));
    Ok(broken == 0)
}
