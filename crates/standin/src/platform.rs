//! The platform's metadata store: keys with revisions, conditional writes, leases and watches.

mod state;
mod wire;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::http::Answer;
use crate::http::Call;
use crate::http::Handler;
use crate::http::Server;
use crate::http::reply;
use crate::http::serve;
use crate::platform::state::Change;
use crate::platform::state::Outcome;
use crate::platform::state::State;

/// Keys on one page of a listing.
const PAGE_ITEMS: usize = 500;

/// Largest value, in bytes.
const VALUE_BYTES: usize = 1_048_576;

/// Time between two looks at leases that have run out, while a watch waits.
const LEASE_POLL: Duration = Duration::from_millis(100);

/// A running stand-in for the platform. Clones are the same store.
#[derive(Debug, Clone)]
pub struct Platform {
    server: Arc<Server>,
    shared: Arc<Shared>,
}

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It does not.
    None,
    /// Connections are closed without a reply and nothing takes effect.
    Down,
    /// Calls are refused before they take effect.
    Refusing,
    /// Each call takes this much longer.
    Slow(Duration),
}

/// What was asked of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformCounts {
    /// Reads of keys and listings.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
    /// Calls about leases.
    pub leases: u64,
    /// Watches; a waiting one counts once.
    pub watches: u64,
}

#[derive(Debug)]
struct Shared {
    store: Mutex<Store>,
    changed: watch::Sender<u64>,
}

#[derive(Debug)]
struct Store {
    state: State,
    fault: Fault,
    lost_replies: u32,
    last_write: Option<String>,
    counts: PlatformCounts,
}

impl Platform {
    /// Starts a platform at `address`; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// The address can't be listened at.
    pub async fn start(address: SocketAddr) -> std::io::Result<Platform> {
        let store = Store {
            state: State::new(),
            fault: Fault::None,
            lost_replies: 0,
            last_write: None,
            counts: PlatformCounts::default(),
        };
        let (changed, _) = watch::channel(0);
        let shared = Arc::new(Shared { store: Mutex::new(store), changed });
        let server = Arc::new(serve(address, shared.clone()).await?);
        Ok(Platform { server, shared })
    }

    /// The address that the platform serves.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets how the store misbehaves from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().fault = fault;
        // Waiting watches end, as they would when the store goes down.
        self.shared.wake();
    }

    /// Loses the replies to the next `count` writes after they took effect.
    pub fn lose_replies(&self, count: u32) {
        self.shared.lock().lost_replies = count;
    }

    /// Loses the reply to the next write of `key` after it took effect; the store is down from
    /// then on, so that the write cannot be read back.
    pub fn fail_after_write(&self, key: &str) {
        self.shared.lock().last_write = Some(key.to_owned());
    }

    /// Ends every lease at once, as if its holder had been paused for too long.
    pub fn lapse_leases(&self) {
        self.shared.lock().state.lapse();
        self.shared.wake();
    }

    /// Forgets the history, so that watches of earlier revisions fail.
    pub fn compact(&self) {
        self.shared.lock().state.compact();
        self.shared.wake();
    }

    /// Writes a key as the operator or a searcher does.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.shared.lock().state.put(key, Bytes::copy_from_slice(value), 0);
        self.shared.wake();
    }

    /// Removes a key as the operator or a searcher does.
    pub fn remove(&self, key: &str) {
        self.shared.lock().state.remove(key);
        self.shared.wake();
    }

    /// What was asked of the store since the start.
    pub fn counts(&self) -> PlatformCounts {
        self.shared.lock().counts
    }

    /// The value at `key`, for checks.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        self.shared.lock().state.get(key).map(|entry| entry.value.clone())
    }
}

/// The parameters of a call.
type Parameters = BTreeMap<String, String>;

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Store> {
        let mut store = self.store.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        store.state.expire(Instant::now());
        store
    }

    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn key(&self, parameters: &Parameters) -> Answer {
        let Some(key) = parameters.get("key") else { return malformed() };
        let mut store = self.lock();
        store.counts.reads += 1;
        let at = store.state.revision();
        match store.state.get(key) {
            Some(entry) => {
                let mut body = wire::item(key, entry);
                body["at_rev"] = json!(at);
                answer(StatusCode::OK, &body)
            }
            None => answer(StatusCode::NOT_FOUND, &json!({ "at_rev": at })),
        }
    }

    fn range(&self, parameters: &Parameters) -> Answer {
        let Some(prefix) = parameters.get("prefix") else { return malformed() };
        let after = parameters.get("after").map_or("", String::as_str);
        let mut store = self.lock();
        store.counts.reads += 1;
        let mut found = store.state.range(prefix, after);
        let items: Vec<Value> =
            found.by_ref().take(PAGE_ITEMS).map(|(key, entry)| wire::item(key, entry)).collect();
        let more = found.next().is_some();
        let at = store.state.revision();
        answer(StatusCode::OK, &json!({ "items": items, "has_more": more, "at_rev": at }))
    }

    fn transact(&self, body: &[u8]) -> Answer {
        let Some(transaction) = wire::transaction(body) else { return malformed() };
        if transaction.puts.iter().any(|put| put.value.len() > VALUE_BYTES) {
            return answer(StatusCode::PAYLOAD_TOO_LARGE, &json!({}));
        }
        let mut store = self.lock();
        store.counts.writes += 1;
        let watched = store.last_write.clone();
        let fails = transaction.puts.iter().any(|put| Some(&put.key) == watched.as_ref());
        let revision = match store.state.transact(transaction) {
            Outcome::Done(revision) => revision,
            Outcome::Conflict(found) => {
                let items: Vec<Value> =
                    found.iter().map(|(key, entry)| wire::item(key, entry)).collect();
                return answer(StatusCode::PRECONDITION_FAILED, &json!({ "items": items }));
            }
            Outcome::NoLease => return answer(StatusCode::NOT_FOUND, &json!({})),
        };
        if fails {
            store.last_write = None;
            store.fault = Fault::Down;
            store.lost_replies = 1;
        }
        let lost = store.lost_replies > 0;
        store.lost_replies = store.lost_replies.saturating_sub(1);
        drop(store);
        self.wake();
        if lost {
            return Answer::Close;
        }
        answer(StatusCode::OK, &json!({ "revision": revision }))
    }

    fn grant(&self, body: &[u8]) -> Answer {
        let Some(ttl) = wire::lifetime(body) else { return malformed() };
        let mut store = self.lock();
        store.counts.leases += 1;
        let lease = store.state.grant(Duration::from_millis(ttl), Instant::now());
        answer(StatusCode::OK, &json!({ "lease_id": lease, "ttl_ms": ttl }))
    }

    fn keep(&self, lease: &str) -> Answer {
        let Ok(lease) = lease.parse() else { return malformed() };
        let mut store = self.lock();
        store.counts.leases += 1;
        match store.state.keep(lease, Instant::now()) {
            Some(ttl) => answer(StatusCode::OK, &json!({ "ttl_ms": ttl.as_millis() as u64 })),
            None => answer(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    fn end(&self, lease: &str) -> Answer {
        let Ok(lease) = lease.parse() else { return malformed() };
        let mut store = self.lock();
        store.counts.leases += 1;
        store.state.end(lease);
        drop(store);
        self.wake();
        answer(StatusCode::OK, &json!({}))
    }

    async fn watch(&self, parameters: &Parameters) -> Answer {
        let number = |name: &str| parameters.get(name).and_then(|it| it.parse::<u64>().ok());
        let (Some(prefix), Some(after)) = (parameters.get("prefix"), number("after")) else {
            return malformed();
        };
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        self.lock().counts.watches += 1;
        let mut wakes = self.changed.subscribe();
        let end = Instant::now() + wait;
        loop {
            wakes.borrow_and_update();
            let (changes, at, fault) = {
                let store = self.lock();
                (store.state.changes(prefix, after), store.state.revision(), store.fault)
            };
            if fault == Fault::Down {
                return Answer::Close;
            }
            let Some(changes) = changes else {
                return answer(StatusCode::GONE, &json!({ "at_rev": at }));
            };
            if !changes.is_empty() || Instant::now() >= end {
                return events(&changes, at);
            }
            let left = end.saturating_duration_since(Instant::now()).min(LEASE_POLL);
            if let Ok(Err(_)) = timeout(left, wakes.changed()).await {
                return Answer::Close;
            }
        }
    }
}

impl Handler for Shared {
    type Connection = ();

    async fn connected(self: &Arc<Self>) -> Option<()> {
        (self.lock().fault != Fault::Down).then_some(())
    }

    async fn call(self: &Arc<Self>, call: Call) -> Answer {
        let fault = self.lock().fault;
        match fault {
            Fault::None => {}
            Fault::Down => return Answer::Close,
            Fault::Refusing => return answer(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
            Fault::Slow(delay) => sleep(delay).await,
        }
        let path = call.request.uri().path();
        let query = call.request.uri().query().unwrap_or("");
        let parameters = form_urlencoded::parse(query.as_bytes()).into_owned().collect();
        match (call.request.method().clone(), path) {
            (Method::GET, "/kv-key") => return self.key(&parameters),
            (Method::GET, "/kv-range") => return self.range(&parameters),
            (Method::GET, "/kv-watch") => return self.watch(&parameters).await,
            (Method::POST, "/kv-txn") => return self.transact(&call.body),
            (Method::POST, "/kv-lease") => return self.grant(&call.body),
            _ => {}
        }
        if let Some(lease) = path.strip_prefix("/kv-keep/") {
            return self.keep(lease);
        }
        if let Some(lease) = path.strip_prefix("/kv-lease-end/") {
            return self.end(lease);
        }
        answer(StatusCode::NOT_FOUND, &json!({}))
    }
}

fn events(changes: &[Change], at: u64) -> Answer {
    let events: Vec<Value> = changes.iter().map(wire::event).collect();
    answer(StatusCode::OK, &json!({ "events": events, "at_rev": at }))
}

fn malformed() -> Answer {
    answer(StatusCode::BAD_REQUEST, &json!({}))
}

fn answer(status: StatusCode, body: &Value) -> Answer {
    Answer::Reply(reply(status, Bytes::from(body.to_string())))
}
