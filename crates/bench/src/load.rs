//! An open-loop load: queries are sent at times drawn before the run, whatever the answers
//! take, so that a slow system is not sent less.

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

/// A load.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Environment to ask.
    pub environment: String,
    /// Services with their request rates.
    pub services: Vec<ServiceLoad>,
    /// Seed of arrival times.
    pub seed: u64,
    /// Where callers first ask which entry to use.
    pub entry_addresses: Vec<SocketAddr>,
}

/// The load of one service.
#[derive(Debug, Clone)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: String,
    /// Its class, for the statistics.
    pub class: String,
    /// Consecutive rates.
    pub steps: Vec<RateStep>,
    /// What it sends.
    pub kind: LoadKind,
}

/// A rate for some time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateStep {
    /// How long.
    pub length: Duration,
    /// Requests a second.
    pub rate: f64,
}

/// What a service sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadKind {
    /// Searches of all shards.
    Search,
    /// Requests that must run at most once, each for one shard, some of them repeated at
    /// another entry.
    AtMostOnce {
        /// The shard.
        shard: String,
    },
}

/// A request and what became of it.
#[derive(Debug, Clone)]
pub struct Record {
    /// The class of the service.
    pub class: String,
    /// The service.
    pub service: String,
    /// The request id, which is also the query text.
    pub id: String,
    /// Whether it was a request that must run at most once.
    pub at_most_once: bool,
    /// When it was due, from the start of the load.
    pub due: Duration,
    /// From the time it was due to the answer.
    pub latency: Duration,
    /// The answer, or why there was none.
    pub answer: Result<Value, String>,
}

/// A load that runs.
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
    entries: Mutex<Entries>,
    seeds: Vec<SocketAddr>,
}

/// The entry addresses that a caller keeps.
#[derive(Debug)]
struct Entries {
    list: Vec<SocketAddr>,
    until: Instant,
}

impl Load {
    /// A load that has not started.
    pub fn new(settings: LoadSettings) -> Load {
        Load { settings, http: HttpClient::new() }
    }

    /// Sends the load and waits for every answer.
    pub async fn run(self) -> Vec<Record> {
        let start = Instant::now();
        let mut random = StdRng::seed_from_u64(self.settings.seed);
        let mut tasks = JoinSet::new();
        for settings in &self.settings.services {
            let arrivals = arrivals(&settings.steps, &mut random);
            let caller = Arc::new(Caller {
                settings: settings.clone(),
                environment: self.settings.environment.clone(),
                http: self.http.clone(),
                entries: Mutex::new(Entries { list: Vec::new(), until: start }),
                seeds: self.settings.entry_addresses.clone(),
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
    async fn request(&self, start: Instant, due: Duration) -> Vec<Record> {
        let id = uuid::Uuid::now_v7().to_string();
        let mut records = Vec::new();
        let attempts = match self.settings.kind {
            LoadKind::Search => 1,
            // Repeated at another entry, as a caller would whose answer was lost.
            LoadKind::AtMostOnce { .. } => 2,
        };
        for attempt in 1..=attempts {
            let entry = self.entry(attempt - 1).await;
            let body = self.body(&id, attempt);
            let ask =
                HttpRequest::post(entry, "/v1/query".to_owned(), body.to_string().into_bytes());
            let answer = match self.http.send(ask).await {
                Ok(answer) => {
                    serde_json::from_slice(&answer.body).map_err(|error| error.to_string())
                }
                Err(error) => Err(error.to_string()),
            };
            if answer.is_err() || draining(&answer) {
                self.entries.lock().await.list.clear();
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

    /// The entry to use, from the kept answer or a new one.
    async fn entry(&self, rank: usize) -> SocketAddr {
        let mut entries = self.entries.lock().await;
        if entries.list.is_empty() || Instant::now() >= entries.until {
            for &seed in &self.seeds {
                if let Some(found) = self.ask(seed).await {
                    *entries = found;
                    break;
                }
            }
        }
        let list = if entries.list.is_empty() { &self.seeds } else { &entries.list };
        list[rank % list.len()]
    }

    async fn ask(&self, seed: SocketAddr) -> Option<Entries> {
        let path = format!("/v1/entries?caller={}", self.settings.service);
        let answer = self.http.send(HttpRequest::get(seed, path)).await.ok()?;
        let body: Value = serde_json::from_slice(&answer.body).ok()?;
        let list: Vec<SocketAddr> = body["entries"]
            .as_array()?
            .iter()
            .filter_map(|entry| entry["address"].as_str()?.parse().ok())
            .collect();
        let keep = Duration::from_millis(body["keep_ms"].as_u64()?);
        (!list.is_empty()).then(|| Entries { list, until: Instant::now() + keep })
    }
}

/// Whether the entry said that it stops.
fn draining(answer: &Result<Value, String>) -> bool {
    let code = answer.as_ref().ok().and_then(|answer| answer["code"].as_u64());
    code == Some(u64::from(ResultCode::Draining.number()))
}

/// Arrival times of a Poisson process whose rate changes in steps.
fn arrivals(steps: &[RateStep], random: &mut StdRng) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut start = Duration::ZERO;
    for step in steps {
        let end = start + step.length;
        let mut time = start;
        if step.rate > 0.0 {
            loop {
                let uniform: f64 = random.random_range(f64::EPSILON..1.0);
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
