//! A searcher starts again under its id while the time of day of its machine jumps back. Later it
//! drains.

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

/// How far the time of day jumps back, as `clock_step` of the site.
const JUMP_MS: u64 = 2400;

/// How long the searcher runs before its crash, and how long it is down.
const FIRST_LIFETIME: Duration = Duration::from_millis(1000);
const DOWN: Duration = Duration::from_millis(300);

/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(3000);

pub fn run(trouble: bool, record: &mut Record) -> Result<bool, String> {
    let block = Block::find();
    let store = Store::new();
    let arrivals = Arrivals::default();
    let work: Work = Arc::new(|_| Outcome::run(20, 200, b"a recipe card".to_vec()));
    let zones = ["tx-austin", "tx-waco", "tx-temple"];
    let registration = |number: u8| Registration {
        id: format!("i-{number:02}"),
        service: SERVICE.to_owned(),
        zone: zones[usize::from(number) % 3].to_owned(),
        address: block.searcher(number),
        born: unix_ms(),
    };
    let mut searchers = Vec::new();
    for number in 1..4 {
        searchers.push(Searcher::start(registration(number), &store, &arrivals, work.clone()));
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
        for consumer in 0..2 {
            let asks = Asks {
                machine: machine.name.clone(),
                front: machine.front,
                name: format!("m{index}c{consumer}"),
                method: "GET",
                target: "/card/2f".to_owned(),
                deadline_ms: 5000,
                pause: Duration::from_millis(30),
            };
            consumers.push(consume(asks, &sent, &stop));
        }
    }
    // The searcher starts, crashes a second later and starts again under its id.
    let started = Instant::now();
    let leaver = Searcher::start(registration(0), &store, &arrivals, work.clone());
    sleep(FIRST_LIFETIME);
    let crashed = Instant::now();
    let mut again = leaver.crash();
    sleep(DOWN);
    let first_born = again.born;
    again.born = if trouble { unix_ms() - JUMP_MS } else { unix_ms() };
    let again_born = again.born;
    let restarted = Instant::now();
    let leaver = Searcher::start(again, &store, &arrivals, work.clone());
    sleep(Duration::from_secs(10));
    let acked = leaver.drain();
    // It serves for a while longer than it has to.
    sleep(DRAIN + Duration::from_secs(5));
    stop.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    record.line(started, &format!("i-00 starts, born {first_born}"));
    record.line(crashed, "i-00 crashes");
    record.line(restarted, &format!("i-00 starts again at its address, born {again_born}"));
    record.line(acked, "i-00 is draining; the store has accepted that");
    let arrivals = arrivals.lock().unwrap().clone();
    let sent = sent.lock().unwrap().clone();
    let (mut before, mut late) = (0, 0);
    for it in arrivals.iter().filter(|it| it.searcher == "i-00") {
        let Some(request) = sent.iter().find(|sent| sent.id == it.request) else { continue };
        let is_late = it.at > acked + DRAIN && it.status != 421;
        late += usize::from(is_late);
        before += usize::from(!is_late);
        let note = if is_late { " LATER THAN drain_ms AFTER THE ACK" } else { "" };
        let line = format!("{} reaches i-00 from {}{note}", it.request, request.machine);
        record.line(it.at, &line);
    }
    record.note(&format!(
        "{} requests; {before} reached i-00 before drain_ms after the ack, {late} later",
        sent.len()
    ));
    Ok(late == 0)
}
