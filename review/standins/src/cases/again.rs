//! A searcher crashes and starts again under its id. The new start turns requests away and wants
//! nothing for a while, before the machines have read its registration.

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

/// `Retry-After` of the searcher, in seconds.
const REST_S: u32 = 7;

/// How long it is down, and how long its new start turns requests away.
const DOWN: Duration = Duration::from_millis(200);
const SHEDS_FOR: Duration = Duration::from_millis(600);

/// Consumers of each machine.
const CONSUMERS: usize = 1;

/// How often it crashes.
const ROUNDS: usize = 9;

/// Requests from one machine that may reach it in its rest.
const ALLOWED: usize = 2;

pub fn run(trouble: bool, record: &mut Record) -> Result<bool, String> {
    let block = Block::find();
    let store = Store::new();
    let arrivals = Arrivals::default();
    let shedding = Arc::new(AtomicBool::new(false));
    let is_shedding = shedding.clone();
    let work: Work = Arc::new(move |task| {
        let run = Outcome::run(10, 200, b"a recipe card".to_vec());
        let sheds = task.searcher == "i-00" && is_shedding.load(Ordering::SeqCst);
        Outcome { rest: sheds.then_some(REST_S), ..run }
    });
    let zones = ["tx-austin", "tx-austin", "tx-waco"];
    let mut searchers = Vec::new();
    for number in 0..7 {
        let registration = Registration {
            id: format!("i-{number:02}"),
            service: SERVICE.to_owned(),
            zone: if number == 0 { "tx-austin" } else { "tx-waco" }.to_owned(),
            address: block.searcher(number),
            born: unix_ms(),
        };
        searchers.push(Searcher::start(registration, &store, &arrivals, work.clone()));
    }
    let route = format!(
        r#"{{"name":"card","host":"{HOST}","prefix":"/card/","kind":"idempotent","timeout_ms":5000,"goal_ms":500,"priority":2,"service":"{SERVICE}","attempts":2}}"#
    );
    store.put("op/config", &config(1, &[route], &[SERVICE.to_owned()]));
    let mut tier = Tier::new(block, &zones, &store);
    tier.start()?;
    sleep(Duration::from_secs(2));
    let sent = SentRequests::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut consumers = Vec::new();
    for (index, machine) in tier.machines.iter().enumerate() {
        for consumer in 0..CONSUMERS {
            let asks = Asks {
                machine: machine.name.clone(),
                front: machine.front,
                name: format!("m{index}c{consumer}"),
                method: "GET",
                target: "/card/2f".to_owned(),
                deadline_ms: 5000,
                pause: Duration::from_millis(60),
            };
            consumers.push(consume(asks, &sent, &stop));
        }
    }
    sleep(Duration::from_secs(4));
    let mut events = Vec::new();
    for round in 0..ROUNDS {
        if trouble {
            events.push((Instant::now(), "i-00 crashes".to_owned()));
            let mut again = searchers.remove(0).crash();
            sleep(DOWN);
            again.born = unix_ms();
            shedding.store(true, Ordering::SeqCst);
            events.push((Instant::now(), "i-00 starts again under its id".to_owned()));
            searchers.insert(0, Searcher::start(again, &store, &arrivals, work.clone()));
        } else {
            shedding.store(true, Ordering::SeqCst);
        }
        sleep(SHEDS_FOR);
        shedding.store(false, Ordering::SeqCst);
        sleep(Duration::from_millis(8_500 + 170 * round as u64));
    }
    stop.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let arrivals = arrivals.lock().unwrap().clone();
    let sent = sent.lock().unwrap().clone();
    let machine_of: HashMap<&str, &str> =
        sent.iter().map(|it| (it.id.as_str(), it.machine.as_str())).collect();
    // For each machine, the time in which the searcher wants nothing from it.
    let mut rests: HashMap<&str, Vec<(Instant, Instant)>> = HashMap::new();
    let mut late: HashMap<&str, usize> = HashMap::new();
    for it in arrivals.iter().filter(|it| it.searcher == "i-00") {
        let Some(machine) = machine_of.get(it.request.as_str()) else { continue };
        let rest = rests.entry(machine).or_default();
        let in_rest = rest.iter().any(|(from, until)| *from < it.at && it.at < *until);
        let note = if in_rest { " IN ITS REST" } else { "" };
        *late.entry(machine).or_default() += usize::from(in_rest);
        let line = format!("{} from {machine} reaches i-00: {}{note}", it.request, it.status);
        events.push((it.at, line));
        if it.status == 503 {
            let until = it.at + Duration::from_secs(u64::from(REST_S));
            rest.push((it.at + Duration::from_millis(500), until));
        }
    }
    events.sort_by_key(|(at, _)| *at);
    for (at, line) in &events {
        record.line(*at, line);
    }
    let told = rests.values().filter(|rest| !rest.is_empty()).count();
    if told == 0 {
        return Err("no machine was asked for a rest".to_owned());
    }
    record.note(&format!(
        "{} requests; i-00 asked {told} machines for {REST_S} s of rest; requests that reached it \
         in that time, by machine: {late:?} ({ALLOWED} may)",
        sent.len()
    ));
    Ok(late.values().all(|count| *count <= ALLOWED))
}
