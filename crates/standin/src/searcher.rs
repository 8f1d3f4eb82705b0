//! A searcher: slots, connections, connect cost, index snapshots, stragglers, cold start,
//! drain, shed, and a status endpoint that may lag or lie.

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

/// How a searcher is set up.
#[derive(Debug, Clone)]
pub struct SearcherSettings {
    /// Address to serve; port 0 picks a free one.
    pub address: SocketAddr,
    /// Shards that it serves.
    pub shards: Vec<String>,
    /// Sub-queries that it runs at the same time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Time to set up a connection.
    pub connect_delay: Duration,
    /// Snapshots held at the start.
    pub snapshots: Vec<u64>,
    /// How long sub-queries take.
    pub profile: LatencyProfile,
    /// Seed of its random numbers.
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

/// What a searcher does with new sub-queries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It runs them.
    Ready,
    /// It refuses them as not executed.
    Draining,
    /// It refuses them as not executed because it is overloaded.
    Shedding,
    /// It closes connections.
    Dead,
}

/// What the status endpoint says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusMode {
    /// The truth.
    Actual,
    /// Always ready and idle.
    AlwaysReady,
    /// Always draining.
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
    status: StatusMode,
    snapshots: BTreeSet<u64>,
    profile: LatencyProfile,
    started: Instant,
    random: StdRng,
    busy: u32,
    open: u32,
    counts: SearcherCounts,
    executions: BTreeMap<String, u32>,
}

#[derive(Debug, Deserialize)]
struct SearchBody {
    shard: String,
    snapshot: u64,
    query: serde_json::Value,
}

impl Searcher {
    /// Starts a searcher.
    pub async fn start(settings: SearcherSettings) -> std::io::Result<Searcher> {
        let inner = Inner {
            state: State::Ready,
            status: StatusMode::Actual,
            snapshots: settings.snapshots.iter().copied().collect(),
            profile: settings.profile.clone(),
            started: Instant::now(),
            random: StdRng::seed_from_u64(settings.seed),
            busy: 0,
            open: 0,
            counts: SearcherCounts::default(),
            executions: BTreeMap::new(),
        };
        let address = settings.address;
        let shared = Arc::new(Shared { settings, state: Mutex::new(inner) });
        let server = serve(address, shared.clone()).await?;
        Ok(Searcher { server, shared })
    }

    /// The address that it serves.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets what it does with new sub-queries.
    pub fn set_state(&self, state: State) {
        self.shared.lock().state = state;
    }

    /// Sets what the status endpoint says.
    pub fn set_status_mode(&self, mode: StatusMode) {
        self.shared.lock().status = mode;
    }

    /// Sets how long sub-queries take.
    pub fn set_profile(&self, profile: LatencyProfile) {
        self.shared.lock().profile = profile;
    }

    /// Adds a snapshot.
    pub fn publish(&self, snapshot: u64) {
        self.shared.lock().snapshots.insert(snapshot);
    }

    /// Drops a snapshot.
    pub fn retire(&self, snapshot: u64) {
        self.shared.lock().snapshots.remove(&snapshot);
    }

    /// Counts since the start.
    pub fn counts(&self) -> SearcherCounts {
        self.shared.lock().counts
    }

    /// How often the request `id` ran here.
    pub fn executions(&self, id: &str) -> u32 {
        self.shared.lock().executions.get(id).copied().unwrap_or(0)
    }

    /// All request ids that ran here, with how often.
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
        let (state, busy) = match inner.status {
            StatusMode::Actual => (inner.state_name(), inner.busy),
            StatusMode::AlwaysReady => ("ready", 0),
            StatusMode::AlwaysDraining => ("draining", inner.busy),
        };
        let body = json!({
            "state": state,
            "slots": self.settings.slots,
            "busy": busy,
            "snapshots": inner.snapshots,
        });
        Answer::Reply(reply(StatusCode::OK, Bytes::from(body.to_string())))
    }

    async fn search(self: &Arc<Self>, call: Call) -> Answer {
        let Ok(body) = serde_json::from_slice::<SearchBody>(&call.body) else {
            return refusal(StatusCode::BAD_REQUEST, "ready");
        };
        let request = header(&call, "x-request-id").unwrap_or_default().to_owned();
        let deadline =
            header(&call, "x-deadline-unix-ms").and_then(|text| text.parse::<u64>().ok());
        let (guard, time) = {
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
                State::Ready => {}
            }
            if deadline.is_some_and(|deadline| deadline <= unix_ms()) {
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
            if inner.busy >= self.settings.slots {
                inner.counts.over_slots += 1;
                return refusal(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
            }
            inner.busy += 1;
            inner.counts.executed += 1;
            inner.counts.peak_busy = inner.counts.peak_busy.max(inner.busy);
            *inner.executions.entry(request).or_insert(0) += 1;
            let age = inner.started.elapsed();
            let profile = inner.profile.clone();
            let time = profile.sample(age, &mut inner.random);
            (Busy(self.clone()), time)
        };
        let left =
            deadline.map(|deadline| Duration::from_millis(deadline.saturating_sub(unix_ms())));
        let in_time = left.is_none_or(|left| time <= left);
        sleep(left.map_or(time, |left| time.min(left))).await;
        drop(guard);
        if !in_time {
            // It ran until its deadline, so nothing is said about its effect.
            return Answer::Reply(reply(StatusCode::GATEWAY_TIMEOUT, Bytes::new()));
        }
        let held: Vec<u64> = self.lock().snapshots.iter().copied().collect();
        // The hit names what it was found in, so that a check can tell answers apart.
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
            State::Ready => "ready",
            State::Draining => "draining",
            State::Shedding => "overloaded",
            State::Dead => "dead",
        }
    }
}

impl Handler for Shared {
    type Connection = Open;

    async fn connected(self: &Arc<Self>) -> Option<Open> {
        {
            let mut inner = self.lock();
            if inner.state == State::Dead {
                return None;
            }
            if inner.open >= self.settings.connections {
                inner.counts.over_connections += 1;
                return None;
            }
            inner.open += 1;
            inner.counts.connections += 1;
            inner.counts.peak_open = inner.counts.peak_open.max(inner.open);
        }
        let open = Open(self.clone());
        sleep(self.settings.connect_delay).await;
        Some(open)
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

/// An open connection.
#[derive(Debug)]
struct Open(Arc<Shared>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.lock().open -= 1;
    }
}

/// A slot in use. Dropped early when the caller closes the connection.
#[derive(Debug)]
struct Busy(Arc<Shared>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.lock().busy -= 1;
    }
}

fn header<'a>(call: &'a Call, name: &str) -> Option<&'a str> {
    call.request.headers().get(name)?.to_str().ok()
}

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
