//! Stand-in for a searcher: limited slots and connections, connection setup time, index
//! snapshots, stragglers, cold start, draining, load shedding, and a status endpoint that can be
//! made to report a wrong state.

mod counts;
mod latency;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

pub use crate::searcher::counts::SearcherCounts;
pub use crate::searcher::latency::LatencyProfile;

use crate::http::Answer;
use crate::http::Call;
use crate::http::Handler;
use crate::http::Server;
use crate::http::reply;
use crate::http::serve;

/// Configuration of a searcher.
#[derive(Debug, Clone)]
pub struct SearcherSettings {
    /// Address to serve; port 0 picks a free one.
    pub address: SocketAddr,
    /// Names of the shards that it serves.
    pub shards: Vec<String>,
    /// Maximum number of sub-queries at the same time; it refuses more as overloaded.
    pub slots: u32,
    /// Maximum number of connections at the same time; it closes more at once.
    pub connections: u32,
    /// Time between accepting a connection and serving it.
    pub connect_delay: Duration,
    /// Snapshots held at the start.
    pub snapshots: Vec<u64>,
    /// Distribution of the time that sub-queries take.
    pub profile: LatencyProfile,
    /// Seed of the random service times.
    pub seed: u64,
}

impl Default for SearcherSettings {
    fn default() -> Self {
        SearcherSettings {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            shards: Vec::new(),
            slots: 2,
            connections: 25,
            connect_delay: Duration::from_millis(6),
            snapshots: vec![1],
            profile: LatencyProfile::default(),
            seed: 1,
        }
    }
}

/// How a searcher treats new sub-queries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Runs them.
    Ready,
    /// Refuses them as not executed, with state `draining`.
    Draining,
    /// Refuses them as not executed, with state `overloaded`.
    Shedding,
    /// Runs them and replies with bytes without end.
    Endless,
    /// Closes connections without a reply.
    Dead,
}

/// What the status endpoint reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusMode {
    /// The actual state.
    Actual,
    /// Ready and idle, whatever the state.
    AlwaysReady,
    /// Draining, whatever the state.
    AlwaysDraining,
}

/// A running stand-in for a searcher.
#[derive(Debug)]
pub struct Searcher {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: SearcherSettings,
    state: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    state: State,
    status_mode: StatusMode,
    snapshots: BTreeSet<u64>,
    profile: LatencyProfile,
    started: Instant,
    rng: StdRng,
    busy_slots: u32,
    open_connections: u32,
    counts: SearcherCounts,
    /// Number of executions by request id.
    executions: BTreeMap<String, u32>,
}

#[derive(Debug, Deserialize)]
struct SearchBody {
    shard: String,
    snapshot: u64,
    query: serde_json::Value,
}

impl Searcher {
    /// Starts a searcher; fails if it cannot listen at the address.
    pub async fn start(settings: SearcherSettings) -> std::io::Result<Searcher> {
        let inner = Inner {
            state: State::Ready,
            status_mode: StatusMode::Actual,
            snapshots: settings.snapshots.iter().copied().collect(),
            profile: settings.profile.clone(),
            started: Instant::now(),
            rng: StdRng::seed_from_u64(settings.seed),
            busy_slots: 0,
            open_connections: 0,
            counts: SearcherCounts::default(),
            executions: BTreeMap::new(),
        };
        let address = settings.address;
        let shared = Arc::new(Shared { settings, state: Mutex::new(inner) });
        let server = serve(address, shared.clone()).await?;
        Ok(Searcher { server, shared })
    }

    /// The address it listens at, with the port that was picked.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets how it treats new sub-queries.
    pub fn set_state(&self, state: State) {
        self.shared.lock().state = state;
    }

    /// Sets what the status endpoint reports.
    pub fn set_status_mode(&self, mode: StatusMode) {
        self.shared.lock().status_mode = mode;
    }

    /// Sets the distribution of the time that sub-queries take.
    pub fn set_profile(&self, profile: LatencyProfile) {
        self.shared.lock().profile = profile;
    }

    /// Adds a snapshot to those it holds.
    pub fn publish(&self, snapshot: u64) {
        self.shared.lock().snapshots.insert(snapshot);
    }

    /// Removes a snapshot from those it holds.
    pub fn retire(&self, snapshot: u64) {
        self.shared.lock().snapshots.remove(&snapshot);
    }

    /// Counts since the start.
    pub fn counts(&self) -> SearcherCounts {
        self.shared.lock().counts
    }

    /// How many times the request `id` was executed here.
    pub fn executions(&self, id: &str) -> u32 {
        self.shared.lock().executions.get(id).copied().unwrap_or(0)
    }

    /// The ids of all requests executed here, with the number of executions.
    pub fn all_executions(&self) -> Vec<(String, u32)> {
        self.shared.lock().executions.iter().map(|(id, count)| (id.clone(), *count)).collect()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn status(&self) -> Answer {
        let inner = self.lock();
        let (state, busy_slots) = match inner.status_mode {
            StatusMode::Actual => (inner.state_name(), inner.busy_slots),
            StatusMode::AlwaysReady => ("ready", 0),
            StatusMode::AlwaysDraining => ("draining", inner.busy_slots),
        };
        let body = json!({
            "state": state,
            "slots": self.settings.slots,
            "busy": busy_slots,
            "snapshots": inner.snapshots,
        });
        Answer::Reply(reply(StatusCode::OK, Bytes::from(body.to_string())))
    }

    async fn search(self: &Arc<Self>, call: Call) -> Answer {
        let Ok(body) = serde_json::from_slice::<SearchBody>(&call.body) else {
            return refusal(StatusCode::BAD_REQUEST, "ready");
        };
        let request_id = header(&call, "x-request-id").unwrap_or_default().to_owned();
        let deadline_ms =
            header(&call, "x-deadline-unix-ms").and_then(|text| text.parse::<u64>().ok());
        let (slot, service_time) = {
            let mut inner = self.lock();
            inner.counts.received += 1;
            let held: Vec<u64> = inner.snapshots.iter().copied().collect();
            match inner.state {
                State::Dead => return Answer::Close,
                State::Draining => {
                    inner.counts.refused_draining += 1;
                    return refusal(StatusCode::SERVICE_UNAVAILABLE, "draining");
                }
                State::Shedding => {
                    inner.counts.shed += 1;
                    return refusal(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
                }
                State::Endless => return Answer::Endless,
                State::Ready => {}
            }
            if deadline_ms.is_some_and(|deadline| deadline <= unix_ms()) {
                inner.counts.expired += 1;
                return refusal(StatusCode::GATEWAY_TIMEOUT, "ready");
            }
            if !self.settings.shards.contains(&body.shard) {
                return refusal(StatusCode::MISDIRECTED_REQUEST, "ready");
            }
            if !held.contains(&body.snapshot) {
                inner.counts.gone += 1;
                let text = json!({ "held": held }).to_string();
                return Answer::Reply(reply(StatusCode::GONE, Bytes::from(text)));
            }
            if inner.busy_slots >= self.settings.slots {
                inner.counts.over_slots += 1;
                return refusal(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
            }
            inner.busy_slots += 1;
            inner.counts.executed += 1;
            inner.counts.peak_busy = inner.counts.peak_busy.max(inner.busy_slots);
            *inner.executions.entry(request_id).or_insert(0) += 1;
            let age = inner.started.elapsed();
            let profile = inner.profile.clone();
            let service_time = profile.sample(age, &mut inner.rng);
            (BusySlot(self.clone()), service_time)
        };
        let left =
            deadline_ms.map(|deadline| Duration::from_millis(deadline.saturating_sub(unix_ms())));
        let in_time = left.is_none_or(|left| service_time <= left);
        sleep(left.map_or(service_time, |left| service_time.min(left))).await;
        drop(slot);
        if !in_time {
            // It started, so the reply must not claim that it was not executed.
            return Answer::Reply(reply(StatusCode::GATEWAY_TIMEOUT, Bytes::new()));
        }
        let held: Vec<u64> = self.lock().snapshots.iter().copied().collect();
        // The hit names its shard, snapshot and query, so that checks can detect a hit that
        // belongs to another answer.
        let text = json!({
            "snapshot": body.snapshot,
            "held": held,
            "hits": [{ "shard": body.shard, "snapshot": body.snapshot, "query": body.query }],
        });
        Answer::Reply(reply(StatusCode::OK, Bytes::from(text.to_string())))
    }
}

impl Inner {
    fn state_name(&self) -> &'static str {
        match self.state {
            State::Ready if self.profile.is_cold(self.started.elapsed()) => "cold",
            State::Ready | State::Endless => "ready",
            State::Draining => "draining",
            State::Shedding => "overloaded",
            State::Dead => "dead",
        }
    }
}

impl Handler for Shared {
    type Connection = OpenConnection;

    async fn connected(self: &Arc<Self>) -> Option<OpenConnection> {
        {
            let mut inner = self.lock();
            if inner.state == State::Dead {
                return None;
            }
            if inner.open_connections >= self.settings.connections {
                inner.counts.over_connections += 1;
                return None;
            }
            inner.open_connections += 1;
            inner.counts.connections += 1;
            inner.counts.peak_open = inner.counts.peak_open.max(inner.open_connections);
        }
        let connection = OpenConnection(self.clone());
        sleep(self.settings.connect_delay).await;
        Some(connection)
    }

    async fn call(self: &Arc<Self>, call: Call) -> Answer {
        let path = call.request.uri().path();
        match (call.request.method(), path) {
            (&Method::GET, "/status") => self.status(),
            (&Method::POST, "/search") => self.search(call).await,
            _ => Answer::Reply(reply(StatusCode::NOT_FOUND, Bytes::new())),
        }
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
struct OpenConnection(Arc<Shared>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.lock().open_connections -= 1;
    }
}

/// Counts a slot as busy until it is dropped, which happens early if the client closes the
/// connection.
#[derive(Debug)]
struct BusySlot(Arc<Shared>);

impl Drop for BusySlot {
    fn drop(&mut self) {
        self.0.lock().busy_slots -= 1;
    }
}

fn header<'a>(call: &'a Call, name: &str) -> Option<&'a str> {
    call.request.headers().get(name)?.to_str().ok()
}

/// A reply that says that the sub-query was not executed, and the searcher's state.
fn refusal(code: StatusCode, state: &'static str) -> Answer {
    let mut response = reply(code, Bytes::new());
    response.headers_mut().insert("x-executed", hyper::header::HeaderValue::from_static("no"));
    response
        .headers_mut()
        .insert("x-searcher-state", hyper::header::HeaderValue::from_static(state));
    Answer::Reply(response)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
