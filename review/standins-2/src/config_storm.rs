//! Large configurations come in quick succession while the store is slow.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
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
use crate::tier::get;

const HOST: &str = "stock.example";
/// Time after the acknowledgement from which a version must be in force (`config_apply_ms`).
const APPLY: Duration = Duration::from_millis(3000);
/// Time from the acknowledgement until the store is as fast as usual again.
const STABLE_AFTER: Duration = Duration::from_secs(1);
/// Time from then on after which the daemons are in touch (`stable_window_ms`). With
/// [`STABLE_AFTER`] it is longer than [`APPLY`].
const STABLE_WINDOW: Duration = Duration::from_secs(4);
/// The most by which an unstable core stretches that (`max_skew_ms`).
const SKEW: Duration = Duration::from_millis(12_000);

/// Routes besides the one that moves. A configuration has 0.81 MB, of the 1.05 MB that the store takes.
const ROUTES: usize = 4600;
/// Time that the store usually takes for an answer.
const USUAL_ANSWER_MS: u64 = 4;
/// How many times as long its answers take while it is slow.
const SLOWDOWN: u64 = 96;

/// A configuration in which `/q/` goes to `service`, with so many further routes.
fn config(version: u64, service: &str, idle_ms: u64, routes: usize) -> String {
    let mut text = format!("{{\"version\":{version},\"routes\":[");
    for number in 0..routes {
        text.push_str(&format!(
            "{{\"name\":\"team-{number:05}-lookup\",\"host\":\"{HOST}\",\"prefix\":\"/team/{number:05}/lookup/\",\
             \"kind\":\"idempotent\",\"timeout_ms\":5000,\"goal_ms\":500,\"priority\":2,\"service\":\"s1\",\"attempts\":2}},"
        ));
    }
    text.push_str(&format!(
        "{{\"name\":\"r\",\"host\":\"{HOST}\",\"prefix\":\"/q/\",\"kind\":\"idempotent\",\"timeout_ms\":5000,\
         \"goal_ms\":500,\"priority\":2,\"service\":\"{service}\",\"attempts\":2}}],\"services\":[\
         {{\"name\":\"s1\",\"health_path\":\"/healthz\",\"max_conns\":41}},\
         {{\"name\":\"s2\",\"health_path\":\"/healthz\",\"max_conns\":41}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":{idle_ms}}}}}"
    ));
    text
}

pub fn play(trouble: bool, folder: &Path, record: &mut Record) -> i32 {
    let store = Store::start();
    let log: Log = Arc::new(Mutex::new(Vec::new()));
    let behavior: Behavior = Arc::new(|own, _| {
        Action::Run(Duration::from_millis(20), own.service.clone().into_bytes(), Vec::new())
    });
    for service in ["s1", "s2"] {
        for copy in 1..=3 {
            let id = format!("i-{service}-{copy}");
            Searcher::start("127.0.0.1", &id, service, "z1", 3, behavior.clone(), &log)
                .register(&store, "ready");
        }
    }
    let first = config(7, "s1", 15_000, ROUTES);
    record.line(&format!("a configuration has {} bytes", first.len()));
    store.put("op/config", &first);
    let mut daemons: Vec<Daemon> = Vec::new();
    for (name, zone, ip) in
        [("a", "z1", "127.0.0.11"), ("b", "z2", "127.0.0.12"), ("c", "z3", "127.0.0.13")]
    {
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
    let seeds: Vec<_> = daemons.iter().take(3).map(|it| it.control).collect();
    for daemon in &mut daemons {
        daemon.setup.seeds = seeds.clone();
        daemon.start();
    }
    if !daemons.iter().all(Daemon::wait_ready) {
        record.line("the daemons are not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(6));
    let mut version = 7;
    if trouble {
        record.line(&format!("the store's answers take {SLOWDOWN} times as long"));
        store.delay_ms.store(USUAL_ANSWER_MS * SLOWDOWN, Ordering::SeqCst);
        thread::sleep(Duration::from_secs(1));
        for number in 0..24 {
            version += 3;
            store.put("op/config", &config(version, "s1", 15_000 + number * 10, ROUTES));
            record.line(&format!("version {version} is written"));
            thread::sleep(Duration::from_millis(60));
        }
    }
    version += 3;
    store.put("op/config", &config(version, "s2", 15_000, ROUTES));
    record.line(&format!("version {version} is written; it moves the route"));
    thread::sleep(Duration::from_millis(store.delay_ms.load(Ordering::SeqCst)));
    let acknowledged = Instant::now();
    record.line("it is acknowledged");
    thread::sleep(STABLE_AFTER);
    store.delay_ms.store(USUAL_ANSWER_MS, Ordering::SeqCst);
    record.line("the store's answers take as long as usual");
    let mut broken = [0; 2];
    let mut number = 0;
    while acknowledged.elapsed() < Duration::from_secs(26) {
        for daemon in &daemons {
            number += 1;
            let id = format!("{number:016x}");
            let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "5000")];
            let sent = acknowledged.elapsed();
            let answer = get(daemon.front, "/q/x", HOST, &headers, Duration::from_secs(6));
            let (status, body) = answer.map_or((0, Vec::new()), |it| (it.status(), it.body));
            let served_by = String::from_utf8_lossy(&body).into_owned();
            record.line(&format!(
                "request {id} to {}, sent {} ms after the acknowledgement: status {status}, ran at {served_by}",
                daemon.setup.name,
                sent.as_millis()
            ));
            if status == 200 && served_by == "s1" && sent > STABLE_AFTER + STABLE_WINDOW {
                broken[0] += 1;
                broken[1] += u32::from(sent > APPLY + SKEW);
            }
        }
        thread::sleep(Duration::from_millis(250));
    }
    record.line(&format!(
        "{} requests ran at the old service in touch and past the bound, {} of them past the stretched bound too",
        broken[0], broken[1]
    ));
    i32::from(broken[1] > 0)
}
