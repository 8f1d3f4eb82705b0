//! A daemon is killed while it queries shards for another one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::searcher::Action;
use crate::searcher::Behavior;
use crate::searcher::Log;
use crate::searcher::Searcher;
use crate::store::Store;
use crate::tier::Daemon;
use crate::tier::Record;
use crate::tier::Setup;
use crate::tier::get;

const HOST: &str = "stock.example";
const ATTEMPTS: usize = 2;

fn work(service: &str) -> Duration {
    let number: u32 = service.trim_start_matches('s').parse().unwrap_or(0);
    // The first seven shards are heavy, the others light.
    Duration::from_millis(if number <= 7 { 700 } else { 10 })
}

pub fn play(trouble: bool, folder: &Path, record: &mut Record) -> i32 {
    let store = Store::start();
    let log: Log = Arc::new(Mutex::new(Vec::new()));
    let behavior: Behavior =
        Arc::new(|own, _| Action::Run(work(&own.service), [7u8; 32].to_vec(), Vec::new()));
    // Shards 1 to 3 have their searchers in z1, shards 4 to 15 in z2.
    for number in 1..=15 {
        let zone = if number <= 3 { "z1" } else { "z2" };
        for copy in 1..=4 {
            let id = format!("i-{number}-{copy}");
            let service = format!("s{number}");
            let searcher =
                Searcher::start("127.0.0.1", &id, &service, zone, 40, behavior.clone(), &log);
            searcher.register(&store, "ready");
        }
    }
    let names: Vec<String> = (1..=15).map(|it| format!("\"s{it}\"")).collect();
    let services: Vec<String> = (1..=15)
        .map(|it| format!("{{\"name\":\"s{it}\",\"health_path\":\"/healthz\",\"max_conns\":200}}"))
        .collect();
    let config = format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r\",\"host\":\"{HOST}\",\"prefix\":\"/q/\",\"kind\":\"idempotent\",\
         \"timeout_ms\":3000,\"goal_ms\":400,\"priority\":1,\"gather\":[{}],\"attempts\":{ATTEMPTS},\"top_k\":5,\
         \"min_shard_ratio\":0.75}}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        names.join(","),
        services.join(",")
    );
    store.put("op/config", &config);
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
    thread::sleep(Duration::from_secs(3));
    let front = daemons[0].front;
    // A few requests, from which the daemons learn how long a shard usually takes.
    for number in 0..10 {
        let id = format!("ffff{number:08x}");
        let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "3000")];
        let _ = get(front, &format!("/q/{id}"), HOST, &headers, Duration::from_secs(4));
    }
    thread::sleep(Duration::from_secs(5));
    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    let mut clients = Vec::new();
    for client in 0..60 {
        let (stop, answers) = (stop.clone(), answers.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(client * 16));
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("{client:04x}{number:08x}");
                let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "3000")];
                let path = format!("/q/{id}");
                let answer = get(front, &path, HOST, &headers, Duration::from_secs(3));
                let status = answer.map_or(0, |it| it.status());
                answers.lock().unwrap().insert(id, status);
                thread::sleep(Duration::from_millis(200));
            }
        }));
    }
    thread::sleep(Duration::from_millis(500));
    if trouble {
        record.line("SIGKILL of the daemon b");
        daemons[1].kill();
    }
    thread::sleep(Duration::from_millis(2500));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let mut runs: BTreeMap<(String, String), BTreeSet<String>> = BTreeMap::new();
    for event in log.lock().unwrap().iter() {
        record.at(event.at, &format!("{} {} {}", event.searcher, event.what, event.request));
        if event.what == "run" {
            let key = (event.request.clone(), event.service.clone());
            runs.entry(key).or_default().insert(event.searcher.clone());
        }
    }
    for (id, status) in answers.lock().unwrap().iter() {
        record.line(&format!("request {id}: status {status}"));
    }
    let mut broken = BTreeSet::new();
    for ((request, service), searchers) in &runs {
        if searchers.len() > ATTEMPTS {
            broken.insert(request.clone());
            record.line(&format!(
                "request {request} ran at {} searchers of {service}: {searchers:?}",
                searchers.len()
            ));
        }
    }
    let hedged = runs.values().filter(|it| it.len() > 1).count();
    record.line(&format!("{} requests, {hedged} shards ran twice or more, {} requests ran on more than {ATTEMPTS} searchers of a shard", answers.lock().unwrap().len(), broken.len()));
    i32::from(broken.len() > 3)
}
