//! Entries whose calls to the store get no answers although the store is not down.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use support::Entry;
use support::config::config;
use support::get;
use support::searcher::Behavior;
use support::searcher::Searcher;
use support::start_entry;
use support::start_ready_entry;
use support::start_store;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;

/// The users' bound on the time from when a registration is removed until no request may reach the
/// searcher.
const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// Time after which the users' bounds hold again for an entry whose connections went silent.
const STABLE_WINDOW: Duration = Duration::from_secs(4);

/// Time from when the registration is removed until the entry is served again. Before the neighbour
/// reads the listing next.
const RETURN_DELAY: Duration = Duration::from_millis(800);

/// How a way to the store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GateState {
    Open,
    /// Calls get no answers.
    Closed,
    /// Calls on connections that were open before get no answers. New ones are served.
    Renewed,
}

/// A way to the store.
struct Gate {
    address: SocketAddr,
    state: Arc<watch::Sender<GateState>>,
}

impl Gate {
    async fn start(store: SocketAddr) -> Gate {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(watch::Sender::new(GateState::Open));
        let accepting = state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, store, accepting.subscribe()));
            }
        });
        Gate { address, state }
    }

    fn set(&self, state: GateState) {
        self.state.send_replace(state);
    }
}

/// Forwards until the gate changes, then keeps the connection silent until it is opened.
async fn forward(mut stream: TcpStream, store: SocketAddr, mut gate: watch::Receiver<GateState>) {
    let Ok(mut upstream) = TcpStream::connect(store).await else { return };
    let accepted = *gate.borrow_and_update();
    if accepted != GateState::Closed {
        tokio::select! {
            _ = copy_bidirectional(&mut stream, &mut upstream) => return,
            // An error means that the test has ended.
            _ = gate.changed() => {}
        }
    }
    while gate.changed().await.is_ok() {
        if *gate.borrow_and_update() == GateState::Open {
            return;
        }
    }
}

/// Waits until an entry has just read the listing.
async fn wait_until_read(entry: &Entry) {
    loop {
        let answer = get(entry.boot.peer, "/v1/status", &[]).await.expect("an answer");
        let status: Value = serde_json::from_slice(&answer.body).expect("JSON");
        if status["listing"]["age_ms"].as_u64().expect("a time") < 100 {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
}

// Guards against requests to searchers that have left, from the entry that the store has turned
// away and from its neighbour, which takes over its listing (review/3).
#[tokio::test]
async fn searcher_that_leaves_while_an_entry_is_turned_away_gets_no_late_requests() {
    let store = start_store().await;
    store.put("op/config", &config(1, &["p0"], 0.5));
    let answer = Behavior::Answer(vec![7; 16]);
    let leaving = Searcher::start(&store, "leaving", "one", "d", answer.clone()).await;
    Searcher::start(&store, "staying", "one", "d", answer).await;
    let neighbour = start_ready_entry("vm-2", "d", &store).await;
    let gate = Gate::start(store.address()).await;
    let entry = start_entry("vm-1", "d", gate.address, vec![neighbour.boot.peer]).await;
    entry.wait_ready().await;
    gate.set(GateState::Closed);
    // The neighbour has taken over the reads, and has just made one.
    sleep(Duration::from_secs(4)).await;
    wait_until_read(&neighbour).await;
    leaving.unregister(&store);
    let removed_at = Instant::now();
    let (mut count, mut is_back) = (0, false);
    while removed_at.elapsed() < DRAIN_BOUND + Duration::from_secs(1) {
        for asked in [&entry, &neighbour] {
            count += 1;
            asked.ask("/one/", &format!("r{count}")).await;
        }
        if !is_back && removed_at.elapsed() >= RETURN_DELAY {
            gate.set(GateState::Open);
            is_back = true;
        }
        sleep(Duration::from_millis(5)).await;
    }
    let arrivals = leaving.arrivals();
    assert!(!arrivals.is_empty(), "it was used before");
    let late = arrivals.iter().filter(|arrival| arrival.at > removed_at + DRAIN_BOUND);
    assert_eq!(late.count(), 0, "of {count} requests");
}

// Guards against requests to searchers that have left, since the silence of open connections to the
// store is taken for an outage in which their registrations lapsed.
#[tokio::test]
async fn searcher_that_leaves_while_connections_to_the_store_are_silent_gets_no_late_requests() {
    let store = start_store().await;
    store.put("op/config", &config(1, &["p0"], 0.5));
    let answer = Behavior::Answer(vec![7; 16]);
    let leaving = Searcher::start(&store, "leaving", "one", "d", answer.clone()).await;
    Searcher::start(&store, "staying", "one", "d", answer).await;
    let gate = Gate::start(store.address()).await;
    let entry = start_entry("vm-1", "d", gate.address, Vec::new()).await;
    entry.wait_ready().await;
    // Calls of several kinds have left idle connections.
    sleep(Duration::from_secs(1)).await;
    wait_until_read(&entry).await;
    gate.set(GateState::Renewed);
    leaving.unregister(&store);
    let silent_at = Instant::now();
    let mut count = 0;
    while silent_at.elapsed() < STABLE_WINDOW + Duration::from_secs(1) {
        count += 1;
        entry.ask("/one/", &format!("r{count}")).await;
        sleep(Duration::from_millis(5)).await;
    }
    let arrivals = leaving.arrivals();
    let late = arrivals.iter().filter(|arrival| arrival.at > silent_at + STABLE_WINDOW);
    assert_eq!(late.count(), 0, "of {count} requests");
}
