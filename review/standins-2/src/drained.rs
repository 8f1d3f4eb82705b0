//! A searcher is emptied and taken away while requests wait for a connection to it.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::searcher::Action;
use crate::searcher::Behavior;
use crate::searcher::Log;
use crate::searcher::Searcher;
use crate::store::Store;
use crate::tier::Daemon;
use crate::tier::Record;
use crate::tier::Setup;
use crate::tier::ask;
use crate::tier::connect;

const HOST: &str = "stock.example";
/// How long a searcher that drains accepts requests (`drain_ms`).
const DRAIN: Duration = Duration::from_millis(3000);
/// How much longer it serves before it exits.
const LITTLE_LONGER: Duration = Duration::from_millis(1500);
/// Work of a request.
const WORK: Duration = Duration::from_millis(4000);
const CLIENTS: u64 = 24;

pub fn play(trouble: bool, folder: &Path, record: &mut Record) -> i32 {
    let store = Store::start();
    let log: Log = Arc::new(Mutex::new(Vec::new()));
    let behavior: Behavior =
        Arc::new(|own, _| Action::Run(WORK, own.id.clone().into_bytes(), Vec::new()));
    let searchers: Vec<Searcher> = ["i-1", "i-2"]
        .iter()
        .map(|id| Searcher::start("127.0.0.1", id, "s1", "z1", 16, behavior.clone(), &log))
        .collect();
    for searcher in &searchers {
        searcher.register(&store, "ready");
    }
    store.put(
        "op/config",
        &format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r\",\"host\":\"{HOST}\",\"prefix\":\"/q/\",\
             \"kind\":\"non_idempotent\",\"timeout_ms\":10000,\"goal_ms\":2000,\"priority\":1,\"service\":\"s1\",\
             \"attempts\":2}}],\"services\":[{{\"name\":\"s1\",\"health_path\":\"/healthz\",\"max_conns\":16}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
             \"idle_timeout_ms\":15000}}}}"
        ),
    );
    let mut daemons: Vec<Daemon> = Vec::new();
    for (name, zone, ip) in [("a", "z1", "127.0.0.11"), ("b", "z2", "127.0.0.12")] {
        let setup = Setup {
            name: name.to_owned(),
            zone: zone.to_owned(),
            ip: ip.to_owned(),
            store: store.door("127.0.0.1"),
            seeds: Vec::new(),
            first: true,
            memory_mb: 520,
            descriptors: 8200,
            more_bounds: String::new(),
        };
        daemons.push(Daemon::new(setup, folder));
    }
    let seeds: Vec<_> = daemons.iter().map(|it| it.control).collect();
    for daemon in &mut daemons {
        daemon.setup.seeds = seeds.clone();
        daemon.start();
    }
    if !daemons.iter().all(Daemon::wait_ready) {
        record.line("the daemons are not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(7));
    let front = daemons[0].front;
    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let answers = answers.clone();
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(client * 10));
            let id = format!("{client:016x}");
            let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "10000")];
            let start = Instant::now();
            let answer = connect(front, Duration::from_secs(11))
                .and_then(|mut it| ask(&mut it, "POST", "/q/x", HOST, &headers, b"order"));
            let status = answer.map_or(0, |it| it.status());
            answers.lock().unwrap().insert(id, (status, start.elapsed()));
        }));
    }
    thread::sleep(Duration::from_millis(500));
    let drained = Instant::now();
    if trouble {
        searchers[0].register(&store, "draining");
        record.line("the store has accepted that i-1 is draining");
        thread::sleep(DRAIN + LITTLE_LONGER);
        searchers[0].end();
        store.remove("servers/i-1");
        record.line("i-1 has exited");
    }
    for client in clients {
        let _ = client.join();
    }
    let mut broken = 0;
    for event in log.lock().unwrap().iter() {
        record.at(event.at, &format!("{} {} {}", event.searcher, event.what, event.request));
        let since = event.at.saturating_duration_since(drained);
        if trouble && event.searcher == "i-1" && event.what == "run" && since > DRAIN {
            broken += 1;
            record.line(&format!(
                "request {} reached i-1 {} ms after the store had accepted that it is draining",
                event.request,
                since.as_millis()
            ));
        }
    }
    for (id, (status, time)) in answers.lock().unwrap().iter() {
        record.line(&format!("request {id}: status {status} after {} ms", time.as_millis()));
    }
    record.line(&format!(
        "{broken} requests reached i-1 later than drain_ms after the acknowledgement"
    ));
    i32::from(broken > 0)
}
