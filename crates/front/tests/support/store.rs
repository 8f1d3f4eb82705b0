//! A stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// What the store does with calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It answers.
    Up,
    /// It refuses all calls.
    Busy,
}

#[derive(Debug)]
struct State {
    mode: Mode,
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64, u64)>,
}

/// The store.
#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub async fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State { mode: Mode::Up, revision: 1, items: BTreeMap::new() };
        let store = Store { address, state: Arc::new(Mutex::new(state)) };
        let serving = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = serving.clone();
                let service = service_fn(move |request| {
                    let store = store.clone();
                    async move { Ok::<_, Infallible>(store.answer(request).await) }
                });
                // A connection ends when its caller closes it.
                tokio::spawn(async move {
                    let _ =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        store
    }

    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
    }

    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.2);
        state.items.insert(key.to_owned(), (value.to_vec(), revision, created));
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.items.remove(key);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        let query: BTreeMap<String, String> =
            form_urlencoded::parse(request.uri().query().unwrap_or("").as_bytes())
                .into_owned()
                .collect();
        let body = request.into_body().collect().await.map(|it| it.to_bytes());
        if self.lock().mode == Mode::Busy {
            return reply(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        match path.as_str() {
            "/kv-key" => self.key(&query["key"]),
            "/kv-range" => self.range(&query["prefix"]),
            "/kv-watch" => self.watch(&query).await,
            "/kv-lease" => reply(StatusCode::OK, &json!({"lease_id": 7, "ttl_ms": 6000})),
            "/kv-txn" => self.transact(&body.unwrap_or_default()),
            _ if path.starts_with("/kv-keep/") => reply(StatusCode::OK, &json!({"ttl_ms": 6000})),
            _ => reply(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    fn key(&self, key: &str) -> Response<Full<Bytes>> {
        let state = self.lock();
        let at = state.revision;
        match state.items.get(key) {
            Some(item) => {
                let mut value = encode(key, item);
                value["at_rev"] = json!(at);
                reply(StatusCode::OK, &value)
            }
            None => reply(StatusCode::NOT_FOUND, &json!({"at_rev": at})),
        }
    }

    fn range(&self, prefix: &str) -> Response<Full<Bytes>> {
        let state = self.lock();
        let fits = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<Value> = fits.map(|(key, item)| encode(key, item)).collect();
        let body = json!({"items": items, "has_more": false, "at_rev": state.revision});
        reply(StatusCode::OK, &body)
    }

    async fn watch(&self, query: &BTreeMap<String, String>) -> Response<Full<Bytes>> {
        let after: u64 = query["after"].parse().expect("a revision");
        let wait: u64 = query["wait_ms"].parse().expect("a time");
        for _ in 0..wait / 10 + 1 {
            let (events, at) = {
                let state = self.lock();
                let fits = state
                    .items
                    .iter()
                    .filter(|(key, item)| key.starts_with(&query["prefix"]) && item.1 > after);
                let events: Vec<Value> = fits.map(|(key, item)| encode(key, item)).collect();
                (events, state.revision)
            };
            if !events.is_empty() {
                return reply(StatusCode::OK, &json!({"events": events, "at_rev": at}));
            }
            sleep(Duration::from_millis(10)).await;
        }
        let at = self.lock().revision;
        reply(StatusCode::OK, &json!({"events": [], "at_rev": at}))
    }

    fn transact(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let body: Value = serde_json::from_slice(body).expect("a transaction");
        for put in body["puts"].as_array().expect("puts") {
            let value = STANDARD.decode(put["value"].as_str().expect("text")).expect("base64");
            self.put(put["key"].as_str().expect("a key"), &value);
        }
        reply(StatusCode::OK, &json!({"revision": self.lock().revision}))
    }
}

fn encode(key: &str, item: &(Vec<u8>, u64, u64)) -> Value {
    let (value, revision, created) = item;
    json!({
        "key": key,
        "value": STANDARD.encode(value),
        "revision": revision,
        "created_at": created,
        "lease_id": 0,
    })
}

fn reply(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    response
}

/// One route over `shards` at `/all/`, one that may run once at `/once/` and one that may run
/// again at `/one/`, the latter two at the pool `one`.
pub fn config(version: u64, shards: &[&str], coverage: f64) -> Vec<u8> {
    let route = |name: &str, kind: &str| {
        json!({
            "name": name, "host": "a.example", "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 3000, "goal_ms": 2000, "priority": 1, "attempts": 2,
        })
    };
    let mut all = route("all", "idempotent");
    all["gather"] = json!(shards);
    all["top_k"] = json!(3);
    all["min_shard_ratio"] = json!(coverage);
    let mut once = route("once", "non_idempotent");
    once["service"] = json!("one");
    let mut one = route("one", "idempotent");
    one["service"] = json!("one");
    let mut names = shards.to_vec();
    names.push("one");
    let services: Vec<Value> =
        names.iter().map(|name| json!({"name": name, "max_conns": 30})).collect();
    let config = json!({
        "version": version, "routes": [all, once, one], "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    });
    config.to_string().into_bytes()
}
