//! Measures the processor time of a machine that waits for slow answers. Not a case.

use std::sync::Arc;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use super::HOST;
use super::config;
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
use crate::tier::connect;

pub fn run(trouble: bool, record: &mut Record) -> Result<bool, String> {
    let block = Block::find();
    let store = Store::new();
    let arrivals = Arrivals::default();
    let work: Work = Arc::new(|_| Outcome::run(4000, 200, b"x".to_vec()));
    let registration = Registration {
        id: "i-00".to_owned(),
        service: "s".to_owned(),
        zone: "z".to_owned(),
        address: block.searcher(0),
        born: unix_ms(),
    };
    let _searcher = Searcher::start(registration, &store, &arrivals, work);
    let kind = if trouble { "non_idempotent" } else { "idempotent" };
    let route = format!(
        r#"{{"name":"r","host":"{HOST}","prefix":"/r/","kind":"{kind}","timeout_ms":5000,"goal_ms":500,"priority":2,"service":"s","attempts":2}}"#
    );
    store.put("op/config", &config(1, &[route], &["s".to_owned()]));
    let mut tier = Tier::new(block, &["z"], &store);
    tier.start()?;
    sleep(Duration::from_secs(2));
    let machine = &tier.machines[0];
    let idle = machine.cpu_seconds();
    sleep(Duration::from_secs(4));
    let before = machine.cpu_seconds();
    let front = machine.front;
    let asks: Vec<_> = (0..20)
        .map(|index| {
            thread::spawn(move || {
                let id = format!("r{index}");
                let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "5000")];
                connect(front).and_then(|mut it| it.ask("/r/x", HOST, &headers)).map(|it| it.status)
            })
        })
        .collect();
    sleep(Duration::from_secs(3));
    let after = machine.cpu_seconds();
    let statuses: Vec<_> = asks.into_iter().map(|it| it.join().ok().flatten()).collect();
    record.note(&format!(
        "{kind}: idle 4 s {:.2} s, waiting 3 s {:.2} s of processor time; {statuses:?}",
        before - idle,
        after - before
    ));
    Ok(true)
}
