//! Planned stops of an entry under load: each request that it has accepted is answered.

#[path = "soak/process.rs"]
mod process;
#[path = "../../front/tests/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nix::sys::signal::Signal;
use process::Vm;
use support::config::config;
use support::free_address;
use support::get;
use support::searcher::Behavior;
use support::searcher::Searcher;
use support::start_store;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

/// Number of stops. By hand, `STOP_ROUNDS` sets another one.
const ROUNDS: usize = 3;

/// Number of callers that connect anew for each request, without asking the directory.
const CALLERS: usize = 24;

/// A request that is cut later than this after its last byte was sent counts as lost; bound of the
/// users (`loss_slack_ms`).
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// When the process is delayed after the signal, and for how long. Callers still connect then, and
/// its listener is due to close in this time.
const DELAY_AT: Duration = Duration::from_millis(3100);
const DELAY: Duration = Duration::from_millis(600);

#[derive(Debug, Default)]
struct Counts {
    answered: AtomicUsize,
    lost: AtomicUsize,
}

/// Sends requests over new connections until none is accepted any more.
async fn run_caller(front: std::net::SocketAddr, caller: usize, counts: Arc<Counts>) {
    for request in 0.. {
        let Ok(mut stream) = TcpStream::connect(front).await else { return };
        let head = format!(
            "GET /one/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: c{caller}-{request}\r\n\
             X-Deadline-Ms: 3000\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).await.is_err() {
            continue;
        }
        let sent_at = Instant::now();
        let mut answer = [0; 12];
        let read = timeout(Duration::from_secs(5), stream.read_exact(&mut answer)).await;
        if matches!(read, Ok(Ok(_))) && answer.starts_with(b"HTTP/1.1 200") {
            counts.answered.fetch_add(1, Ordering::Relaxed);
        } else if sent_at.elapsed() > LOSS_SLACK {
            counts.lost.fetch_add(1, Ordering::Relaxed);
        }
        sleep(Duration::from_millis(5)).await;
    }
}

// Guards against requests on connections that the kernel has accepted, but the entry has not when
// it closes its listener.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_accepted_request_is_lost_by_a_planned_stop() {
    let rounds = std::env::var("STOP_ROUNDS").ok().and_then(|text| text.parse().ok());
    let counts = Arc::new(Counts::default());
    for round in 0..rounds.unwrap_or(ROUNDS) {
        let store = start_store().await;
        store.put("op/config", &config(1, &["p0"], 0.5));
        Searcher::start(&store, "s0", "one", "d0", Behavior::Answer(vec![1; 64])).await;
        let mut vm = Vm::new(round as u64, 0, store.address(), &[free_address().await]).await;
        vm.start();
        let ready = async {
            let headers = [("x-request-id", "ready")];
            while get(vm.front, "/one/", &headers).await.map(|answer| answer.status) != Some(200) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(Duration::from_secs(20), ready).await.expect("the entry serves");
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| tokio::spawn(run_caller(vm.front, caller, counts.clone())))
            .collect();
        vm.signal(Signal::SIGTERM);
        sleep(DELAY_AT).await;
        // A second signal to stop changes nothing.
        vm.signal(Signal::SIGTERM);
        vm.signal(Signal::SIGSTOP);
        sleep(DELAY).await;
        vm.signal(Signal::SIGCONT);
        for caller in callers {
            caller.await.expect("a caller ends");
        }
        vm.reap();
    }
    assert!(counts.answered.load(Ordering::Relaxed) > CALLERS, "requests are answered meanwhile");
    assert_eq!(counts.lost.load(Ordering::Relaxed), 0, "{counts:?}");
}

/// Sends a request on an open connection at the time `at` and returns the status of its answer, or
/// `None` if the connection ends without a whole head.
async fn ask_at(mut stream: TcpStream, at: Instant, path: &str, id: String) -> Option<u16> {
    sleep_until(at).await;
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 9000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\n") {
        answer.push(timeout(Duration::from_secs(9), stream.read_u8()).await.ok()?.ok()?);
    }
    String::from_utf8(answer).ok()?.split(' ').nth(1)?.parse().ok()
}

// Guards against requests that a stopping entry takes late and cuts without an answer when its time
// is over, among them some that may not be repeated.
#[tokio::test]
async fn requests_taken_late_in_a_stop_are_answered_before_its_end() {
    let store = start_store().await;
    store.put("op/config", &config(1, &["p0"], 0.5));
    let searcher = Searcher::start(&store, "s0", "one", "d0", Behavior::Answer(vec![1; 64])).await;
    let mut vm = Vm::new(77, 0, store.address(), &[free_address().await]).await;
    vm.start();
    let ready = async {
        let headers = [("x-request-id", "ready")];
        while get(vm.front, "/one/", &headers).await.map(|answer| answer.status) != Some(200) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(20), ready).await.expect("the entry serves");
    searcher.set_behavior(Behavior::Silent);
    let mut requests = Vec::new();
    let start = Instant::now();
    for (index, at_ms) in [500, 2600, 3000, 3300, 3550].into_iter().enumerate() {
        for path in ["/one/", "/once/"] {
            let stream = TcpStream::connect(vm.front).await.expect("a connection");
            let at = start + Duration::from_millis(at_ms);
            let id = format!("late-{index}{}", path.trim_matches('/'));
            requests.push((id.clone(), tokio::spawn(ask_at(stream, at, path, id))));
        }
    }
    vm.signal(Signal::SIGTERM);
    for (id, request) in requests {
        let status = request.await.expect("a caller ends");
        assert!(status.is_some(), "{id} was cut without an answer");
        let ran = searcher.run_ids().contains(&id);
        assert!(status != Some(503) || !ran, "{id} was refused and ran");
    }
    vm.reap();
}
