//! The store gives the first machine of a zone no response for some seconds. Searchers of the zone are
//! replaced when it serves that machine again.

use std::collections::VecDeque;
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

/// How long the store rejects the machine, less than `platform_down` of the site.
const REJECTED_FOR: Duration = Duration::from_millis(4000);

/// When searchers leave, from the start of that.
const LEAVE_AT_MS: [u64; 10] = [3200, 3400, 3600, 3800, 4000, 4200, 4400, 4600, 4800, 5000];

/// Time between two starts of that.
const ROUND: Duration = Duration::from_millis(9_730);

const ROUNDS: u8 = 9;

/// Searchers in the zone of the machine.
const IN_ZONE: u8 = 20;

/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(3000);

pub fn run(trouble: bool, record: &mut Record) -> Result<bool, String> {
    let block = Block::find();
    let store = Store::new();
    let arrivals = Arrivals::default();
    let work: Work = Arc::new(|_| Outcome::run(20, 200, b"a recipe card".to_vec()));
    let registration = |number: u8, zone: &str| Registration {
        id: format!("i-{number:03}"),
        service: SERVICE.to_owned(),
        zone: zone.to_owned(),
        address: block.searcher(number),
        born: unix_ms(),
    };
    let start = |number: u8, zone: &str| {
        Searcher::start(registration(number, zone), &store, &arrivals, work.clone())
    };
    let mut searchers: VecDeque<Searcher> =
        (0..IN_ZONE).map(|number| start(number, "tx-austin")).collect();
    let mut next = IN_ZONE;
    let others: Vec<Searcher> = (0..8).map(|number| start(140 + number, "tx-waco")).collect();
    let route = format!(
        r#"{{"name":"card","host":"{HOST}","prefix":"/card/","kind":"idempotent","timeout_ms":5000,"goal_ms":500,"priority":2,"service":"{SERVICE}","attempts":2}}"#
    );
    store.put("op/config", &config(1, &[route], &[SERVICE.to_owned()]));
    let mut tier = Tier::new(block, &["tx-austin", "tx-austin", "tx-waco"], &store);
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
    sleep(Duration::from_secs(6));
    let mut left = Vec::new();
    let rejected = tier.machines[0].rejected.clone();
    for _ in 0..ROUNDS {
        let begin = Instant::now();
        // Of each that is replaced, the new one starts first.
        for _ in LEAVE_AT_MS {
            searchers.push_back(start(next, "tx-austin"));
            next += 1;
        }
        if trouble {
            rejected.store(true, Ordering::SeqCst);
            record.line(begin, "the store gives front-tx-austin-1 no response");
        }
        let mut leavers = Vec::new();
        for at in LEAVE_AT_MS {
            if at >= REJECTED_FOR.as_millis() as u64 && rejected.load(Ordering::SeqCst) {
                sleep((begin + REJECTED_FOR).saturating_duration_since(Instant::now()));
                rejected.store(false, Ordering::SeqCst);
                record.line(Instant::now(), "the store serves front-tx-austin-1 again");
            }
            let at = begin + Duration::from_millis(at);
            sleep(at.saturating_duration_since(Instant::now()));
            let Some(leaver) = searchers.pop_front() else { break };
            let acked = leaver.leave();
            let id = leaver.registration.id.clone();
            let line = format!("{id} leaves: the store has accepted that its entry is gone");
            record.line(acked, &line);
            left.push((id, acked));
            leavers.push(leaver);
        }
        // They serve for a while longer than they have to.
        sleep((begin + ROUND).saturating_duration_since(Instant::now()));
        for leaver in leavers {
            leaver.crash();
        }
    }
    stop.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    drop((searchers, others));
    let arrivals = arrivals.lock().unwrap().clone();
    let sent = sent.lock().unwrap().clone();
    let (mut before, mut late, mut held) = (0, 0, 0);
    for (id, acked) in &left {
        for it in arrivals.iter().filter(|it| it.searcher == *id) {
            let Some(request) = sent.iter().find(|sent| sent.id == it.request) else { continue };
            let is_late = it.at > *acked + DRAIN && it.status != 421;
            // The first machine isn't in touch all the time; the others are never disturbed.
            let counts = is_late && request.machine != tier.machines[0].name;
            late += usize::from(counts);
            held += usize::from(is_late && !counts);
            before += usize::from(!is_late);
            let note = match (is_late, counts) {
                (_, true) => " LATER THAN drain_ms AFTER THE ACK",
                (true, false) => " late, not counted",
                _ => continue,
            };
            let late_ms = (it.at - *acked).as_millis();
            let machine = &request.machine;
            let line =
                format!("{} reaches {id} from {machine}, {late_ms} ms after it{note}", it.request);
            record.line(it.at, &line);
        }
    }
    record.note(&format!(
        "{} requests; {before} reached a searcher that left, before drain_ms after the ack that it is \
         gone; later {held} from the machine that was rejected, and {late} from the other machines",
        sent.len()
    ));
    Ok(late == 0)
}
