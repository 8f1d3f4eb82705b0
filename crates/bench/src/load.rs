//! An open-loop load generator: queries are sent at times drawn before the run, however long the
//! answers take, so that a slow system does not get less load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::client::HttpClient;
use crate::client::HttpRequest;
use tt_model::ResultCode;

/// Configuration of a load.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Environment that the queries name.
    pub environment: String,
    /// The load of each service.
    pub services: Vec<ServiceLoad>,
    /// Seed of the arrival times.
    pub seed: u64,
    /// Daemons that callers ask, in this order, which entries to use; used themselves as long as
    /// none has answered.
    pub entry_addresses: Vec<SocketAddr>,
}

/// The load of one service.
#[derive(Debug, Clone)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: String,
    /// Class that the records are counted under.
    pub class: String,
    /// Rates, one after the other.
    pub steps: Vec<RateStep>,
    /// Kind of requests that it sends.
    pub kind: LoadKind,
}

/// A request rate for a period.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateStep {
    /// Length of the period.
    pub length: Duration,
    /// Requests per second.
    pub rate: f64,
}

/// Kind of requests that a service sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadKind {
    /// Searches of all shards.
    Search,
    /// Requests that must run at most once, each for one shard and each sent twice, to different
    /// entries where there are several.
    AtMostOnce {
        /// Name of the shard.
        shard: String,
    },
}

/// A request and its answer.
#[derive(Debug, Clone)]
pub struct Record {
    /// The class of the service, from [`ServiceLoad::class`].
    pub class: String,
    /// Name of the service.
    pub service: String,
    /// The request id, which is also the query text.
    pub id: String,
    /// Whether it must run at most once.
    pub at_most_once: bool,
    /// When it was due to be sent, as time since the start of the load.
    pub due: Duration,
    /// Time from when it was due until its answer.
    pub latency: Duration,
    /// The answer, or the error if there was none.
    pub answer: Result<Value, String>,
}

/// A load, with the client that sends it.
#[derive(Debug)]
pub struct Load {
    settings: LoadSettings,
    http: HttpClient,
}

#[derive(Debug)]
struct Caller {
    settings: ServiceLoad,
    environment: String,
    http: HttpClient,
    cached: Mutex<CachedEntries>,
    entry_addresses: Vec<SocketAddr>,
}

/// The entry addresses that a caller was told to use, and until when.
#[derive(Debug)]
struct CachedEntries {
    addresses: Vec<SocketAddr>,
    expires_at: Instant,
}

impl Load {
    /// Creates a load without starting it.
    pub fn new(settings: LoadSettings) -> Load {
        Load { settings, http: HttpClient::new() }
    }

    /// Sends the whole load and waits for every answer. The records are in the order of `due`.
    pub async fn run(self) -> Vec<Record> {
        let start = Instant::now();
        let mut rng = StdRng::seed_from_u64(self.settings.seed);
        let mut tasks = JoinSet::new();
        for settings in &self.settings.services {
            let arrivals = arrivals(&settings.steps, &mut rng);
            let caller = Arc::new(Caller {
                settings: settings.clone(),
                environment: self.settings.environment.clone(),
                http: self.http.clone(),
                cached: Mutex::new(CachedEntries { addresses: Vec::new(), expires_at: start }),
                entry_addresses: self.settings.entry_addresses.clone(),
            });
            for due in arrivals {
                let caller = caller.clone();
                tasks.spawn(async move {
                    sleep_until(start + due).await;
                    caller.request(start, due).await
                });
            }
        }
        let mut records: Vec<Record> = tasks.join_all().await.into_iter().flatten().collect();
        records.sort_by_key(|record| record.due);
        records
    }
}

impl Caller {
    /// Sends a request, twice if it must run at most once, and returns a record of each answer.
    async fn request(&self, start: Instant, due: Duration) -> Vec<Record> {
        let id = uuid::Uuid::now_v7().to_string();
        let mut records = Vec::new();
        let attempts = match self.settings.kind {
            LoadKind::Search => 1,
            // Repeated at another entry, as by a caller whose answer was lost.
            LoadKind::AtMostOnce { .. } => 2,
        };
        for attempt in 1..=attempts {
            let entry = self.entry(attempt - 1).await;
            let body = self.body(&id, attempt);
            let request =
                HttpRequest::post(entry, "/v1/query".to_owned(), body.to_string().into_bytes());
            let answer = match self.http.send(request).await {
                Ok(answer) => {
                    serde_json::from_slice(&answer.body).map_err(|error| error.to_string())
                }
                Err(error) => Err(error.to_string()),
            };
            if answer.is_err() || is_draining(&answer) {
                self.cached.lock().await.addresses.clear();
            }
            records.push(Record {
                class: self.settings.class.clone(),
                service: self.settings.service.clone(),
                id: id.clone(),
                at_most_once: self.settings.kind != LoadKind::Search,
                due,
                latency: Instant::now().saturating_duration_since(start + due),
                answer,
            });
        }
        records
    }

    fn body(&self, id: &str, attempt: usize) -> Value {
        let mut body = json!({
            "environment": self.environment,
            "service": self.settings.service,
            "request_id": id,
            "query": id,
        });
        if let LoadKind::AtMostOnce { shard } = &self.settings.kind {
            body["mode"] = json!("at-most-once");
            body["attempt"] = json!(attempt);
            body["shards"] = json!([shard]);
        }
        body
    }

    /// The entry at index `rank` of the list of entries to use, which starts over at its end. The
    /// list is fetched if it is empty or has expired.
    async fn entry(&self, rank: usize) -> SocketAddr {
        let mut cached = self.cached.lock().await;
        if cached.addresses.is_empty() || Instant::now() >= cached.expires_at {
            for &address in &self.entry_addresses {
                if let Some(fetched) = self.fetch_entries(address).await {
                    *cached = fetched;
                    break;
                }
            }
        }
        let addresses =
            if cached.addresses.is_empty() { &self.entry_addresses } else { &cached.addresses };
        addresses[rank % addresses.len()]
    }

    async fn fetch_entries(&self, address: SocketAddr) -> Option<CachedEntries> {
        let path = format!("/v1/entries?caller={}", self.settings.service);
        let answer = self.http.send(HttpRequest::get(address, path)).await.ok()?;
        let body: Value = serde_json::from_slice(&answer.body).ok()?;
        let addresses: Vec<SocketAddr> = body["entries"]
            .as_array()?
            .iter()
            .filter_map(|entry| entry["address"].as_str()?.parse().ok())
            .collect();
        let keep = Duration::from_millis(body["keep_ms"].as_u64()?);
        (!addresses.is_empty())
            .then(|| CachedEntries { addresses, expires_at: Instant::now() + keep })
    }
}

/// Whether the entry answered that it is draining.
fn is_draining(answer: &Result<Value, String>) -> bool {
    let code = answer.as_ref().ok().and_then(|answer| answer["code"].as_u64());
    code == Some(u64::from(ResultCode::Draining.number()))
}

/// Arrival times of a Poisson process whose rate changes in steps.
fn arrivals(steps: &[RateStep], rng: &mut StdRng) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut start = Duration::ZERO;
    for step in steps {
        let end = start + step.length;
        let mut time = start;
        if step.rate > 0.0 {
            loop {
                let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
                time += Duration::from_secs_f64(-uniform.ln() / step.rate);
                if time >= end {
                    break;
                }
                times.push(time);
            }
        }
        start = end;
    }
    times
}
