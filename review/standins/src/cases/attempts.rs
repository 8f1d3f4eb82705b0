//! A machine that asks searchers for another one is killed while part of the searchers fail part
//! of their requests.

use std::collections::BTreeSet;
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
use super::records;
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

const SHARDS: usize = 20;
const COPIES: usize = 3;
const ATTEMPTS: usize = 2;

/// Requests that may run on more searchers than `attempts`.
const ALLOWED: usize = 3;

/// Share of the searchers that fail requests, and of the requests that they fail.
const GREY_PERCENT: u64 = 80;
const FAILED_PERCENT: u64 = 20;

/// How long they do so at a time, as `srv_grey` of the site, and how long they don't in between.
const GREY_FOR: Duration = Duration::from_millis(9000);
const CALM_FOR: Duration = Duration::from_millis(2000);

const ROUNDS: usize = 8;

/// When the machine is killed in each round, from the start of the failures.
const KILLS_AT: [Duration; 3] =
    [Duration::from_millis(1500), Duration::from_millis(5000), Duration::from_millis(8400)];

fn services() -> Vec<String> {
    (0..SHARDS).map(|shard| format!("shard{shard:02}")).collect()
}

pub fn run(trouble: bool, record: &mut Record) -> Result<bool, String> {
    let block = Block::find();
    let store = Store::new();
    let arrivals = Arrivals::default();
    let failing = Arc::new(AtomicBool::new(false));
    let is_failing = failing.clone();
    let work: Work = Arc::new(move |task| {
        let grey = is_failing.load(Ordering::SeqCst) && hash(&task.searcher) % 100 < GREY_PERCENT;
        let luck = hash(&format!("{}/{}", task.searcher, task.request)) % 100;
        if grey && luck < FAILED_PERCENT {
            return Outcome::run(1, 500, Vec::new());
        }
        Outcome::run(15, 200, records(&task.service, &task.request, 5).concat())
    });
    let mut searchers = Vec::new();
    for (shard, service) in services().iter().enumerate() {
        for copy in 0..COPIES {
            let number = (COPIES * shard + copy) as u8;
            let registration = Registration {
                id: format!("i-{number:02}"),
                service: service.clone(),
                zone: "tx-austin".to_owned(),
                address: block.searcher(number),
                born: unix_ms(),
            };
            searchers.push(Searcher::start(registration, &store, &arrivals, work.clone()));
        }
    }
    let gather: Vec<String> = services().iter().map(|it| format!("\"{it}\"")).collect();
    let route = format!(
        r#"{{"name":"sweep","host":"{HOST}","prefix":"/stock/","kind":"idempotent","timeout_ms":1200,"goal_ms":120,"priority":1,"gather":[{}],"attempts":{ATTEMPTS},"top_k":20,"min_shard_ratio":0.89}}"#,
        gather.join(",")
    );
    store.put("op/config", &config(1, &[route], &services()));
    let mut tier = Tier::new(block, &["tx-austin", "tx-austin", "tx-waco"], &store);
    tier.start()?;
    sleep(Duration::from_secs(3));
    let sent = SentRequests::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut consumers = Vec::new();
    for consumer in 0..6 {
        let machine = &tier.machines[1];
        let asks = Asks {
            machine: machine.name.clone(),
            front: machine.front,
            name: format!("c{consumer}"),
            method: "GET",
            target: "/stock/2f".to_owned(),
            deadline_ms: 1200,
            pause: Duration::from_millis(5),
        };
        consumers.push(consume(asks, &sent, &stop));
    }
    sleep(Duration::from_secs(5));
    let mut events = Vec::new();
    for _ in 0..ROUNDS {
        let start = Instant::now();
        failing.store(trouble, Ordering::SeqCst);
        for at in KILLS_AT {
            sleep((start + at).saturating_duration_since(Instant::now()));
            if trouble {
                events.push((Instant::now(), format!("{} is killed", tier.machines[0].name)));
                tier.machines[0].kill();
                sleep(Duration::from_millis(500));
                tier.machines[0].start_again()?;
            }
        }
        sleep((start + GREY_FOR).saturating_duration_since(Instant::now()));
        failing.store(false, Ordering::SeqCst);
        sleep(CALM_FOR);
    }
    stop.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    sleep(Duration::from_secs(1));
    let arrivals = arrivals.lock().unwrap().clone();
    // For each request and service, the searchers that ran it.
    let mut runs: HashMap<&str, HashMap<&str, BTreeSet<&str>>> = HashMap::new();
    for it in arrivals.iter().filter(|it| it.ran) {
        let services = runs.entry(&it.request).or_default();
        services.entry(&it.service).or_default().insert(&it.searcher);
    }
    let mut over = 0;
    let sent = sent.lock().unwrap().clone();
    for it in &sent {
        let status = it.answer.as_ref().map_or(0, |answer| answer.status);
        let services = runs.remove(it.id.as_str()).unwrap_or_default();
        let count: usize = services.values().map(BTreeSet::len).sum();
        let most: Vec<String> = services
            .iter()
            .filter(|(_, searchers)| searchers.len() > ATTEMPTS)
            .map(|(service, searchers)| format!("{service} on {searchers:?}"))
            .collect();
        over += usize::from(!most.is_empty());
        let note = if most.is_empty() { "" } else { " MORE THAN attempts: " };
        let most = most.join(", ");
        events.push((it.at, format!("{}: {status}, {count} runs{note}{most}", it.id)));
    }
    events.sort_by_key(|(at, _)| *at);
    for (at, line) in &events {
        record.line(*at, line);
    }
    record.note(&format!(
        "{} requests, {over} ran on more than {ATTEMPTS} searchers of a shard ({ALLOWED} may)",
        sent.len()
    ));
    Ok(over <= ALLOWED)
}
