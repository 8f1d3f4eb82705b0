//! A route with a longer prefix and a smaller `top_k` is added over the same shards, while two
//! machines of a zone ask one another for parts.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use super::Asks;
use super::HOST;
use super::Sent;
use super::SentRequests;
use super::config;
use super::consume;
use super::records;
use super::unix_ms;
use crate::http::header;
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
const RECORDS: usize = 10;
const TOP: usize = 20;
const TOP_OF_ADDED: usize = 5;

/// How often the route is added.
const CHANGES: u64 = 4;

fn services() -> Vec<String> {
    (0..SHARDS).map(|shard| format!("shard{shard:02}")).collect()
}

fn route(name: &str, prefix: &str, top: usize) -> String {
    let gather: Vec<String> = services().iter().map(|it| format!("\"{it}\"")).collect();
    format!(
        r#"{{"name":"{name}","host":"{HOST}","prefix":"{prefix}","kind":"idempotent","timeout_ms":1200,"goal_ms":120,"priority":1,"gather":[{}],"attempts":2,"top_k":{top},"min_shard_ratio":0.89}}"#,
        gather.join(",")
    )
}

pub fn run(trouble: bool, record: &mut Record) -> Result<bool, String> {
    let block = Block::find();
    let store = Store::new();
    let arrivals = Arrivals::default();
    let work: Work = Arc::new(|task| {
        Outcome::run(8, 200, records(&task.service, &task.request, RECORDS).concat())
    });
    let mut searchers = Vec::new();
    for (shard, service) in services().iter().enumerate() {
        for (copy, zone) in ["tx-austin", "tx-waco"].iter().enumerate() {
            let number = (2 * shard + copy) as u8;
            let registration = Registration {
                id: format!("i-{number:02}"),
                service: service.clone(),
                zone: (*zone).to_owned(),
                address: block.searcher(number),
                born: unix_ms(),
            };
            searchers.push(Searcher::start(registration, &store, &arrivals, work.clone()));
        }
    }
    let first = [route("sweep", "/stock/", TOP)];
    let both = [first[0].clone(), route("low", "/stock/low/", TOP_OF_ADDED)];
    store.put("op/config", &config(1, &first, &services()));
    let mut tier = Tier::new(block, &["tx-austin", "tx-austin", "tx-waco"], &store);
    tier.start()?;
    sleep(Duration::from_secs(3));
    let sent = SentRequests::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut consumers = Vec::new();
    for (index, machine) in tier.machines.iter().enumerate() {
        for consumer in 0..3 {
            let asks = Asks {
                machine: machine.name.clone(),
                front: machine.front,
                name: format!("m{index}c{consumer}"),
                method: "GET",
                target: "/stock/low/2f".to_owned(),
                deadline_ms: 1200,
                pause: Duration::from_millis(30),
            };
            consumers.push(consume(asks, &sent, &stop));
        }
    }
    sleep(Duration::from_secs(4));
    let mut changes = Vec::new();
    for change in 0..CHANGES {
        for (version, routes) in [(2 * change + 2, &both[..]), (2 * change + 3, &first[..])] {
            if trouble {
                let acked = store.put("op/config", &config(version, routes, &services()));
                changes.push((acked, format!("config {version} with {} routes", routes.len())));
            }
            sleep(Duration::from_secs(5));
        }
    }
    stop.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let sent = sent.lock().unwrap().clone();
    Ok(report(record, &changes, &sent))
}

fn report(record: &mut Record, changes: &[(Instant, String)], sent: &[Sent]) -> bool {
    let mut lines: Vec<(Instant, String)> = changes.to_vec();
    let (mut whole, mut wrong, mut other) = (0, 0, 0);
    for it in sent {
        match judge(it) {
            Some(Ok(top)) => {
                whole += 1;
                let text = format!("{} to {}: greatest {top}", it.id, it.machine);
                lines.push((it.at, text));
            }
            Some(Err(cause)) => {
                wrong += 1;
                lines.push((it.at, format!("{} to {}: WRONG, {cause}", it.id, it.machine)));
            }
            None => {
                other += 1;
                let status = it.answer.as_ref().map_or(0, |answer| answer.status);
                lines.push((it.at, format!("{} to {}: status {status}", it.id, it.machine)));
            }
        }
    }
    lines.sort_by_key(|(at, _)| *at);
    for (at, line) in &lines {
        record.line(*at, line);
    }
    record.note(&format!(
        "{} requests: {whole} answered with the greatest records of their parts, {wrong} answered \
         with other records, {other} not answered with success",
        sent.len()
    ));
    wrong == 0
}

/// How many records a success holds, or what is wrong with it; `None` without a success.
fn judge(it: &Sent) -> Option<Result<usize, String>> {
    let answer = it.answer.as_ref().filter(|answer| answer.status == 200)?;
    let stamps: Vec<&str> = answer
        .headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("x-part-stamps"))
        .flat_map(|(_, value)| value.split(',').map(str::trim))
        .collect();
    let mut parts = HashSet::new();
    for stamp in &stamps {
        let Some((searcher, request)) = stamp.split_once('.') else {
            return Some(Err(format!("stamp {stamp}")));
        };
        let number = searcher.strip_prefix("i-").and_then(|it| it.parse::<usize>().ok());
        let is_new = number.is_some_and(|number| parts.insert(number / 2));
        if request != it.id || !is_new {
            return Some(Err(format!("stamp {stamp}")));
        }
    }
    let missing = header(&answer.headers, "x-missing-parts").and_then(|it| it.parse().ok());
    if parts.len() + missing.unwrap_or(0) != SHARDS {
        return Some(Err("parts and missing parts".to_owned()));
    }
    let names = services();
    let mut expected: Vec<[u8; 16]> =
        parts.iter().flat_map(|part| records(&names[*part], &it.id, RECORDS)).collect();
    expected.sort_unstable_by(|a, b| b.cmp(a));
    // Either version of the configuration may be in force.
    for top in [TOP, TOP_OF_ADDED] {
        if answer.body == expected[..top].concat() {
            return Some(Ok(top));
        }
    }
    let got: Vec<&[u8]> = answer.body.chunks(16).collect();
    let place = |record: &&[u8]| expected.iter().position(|it| it == record).map(|it| it + 1);
    let places: Vec<String> = got
        .iter()
        .map(|record| place(record).map_or("?".to_owned(), |place| place.to_string()))
        .collect();
    let parts = parts.len();
    Some(Err(format!(
        "{} records of {parts} parts, by rank in these parts: {}",
        got.len(),
        places.join(" ")
    )))
}
