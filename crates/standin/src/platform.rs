//! Stand-in for the platform's store: keys with revisions, conditional writes, leases and
//! watches.

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
use hyper::header::HeaderValue;
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

/// Maximum number of keys on one page of a range read.
const MAX_PAGE_ITEMS: usize = 500;

/// Maximum size of a value that a transaction may write.
const MAX_VALUE_BYTES: usize = 1_048_576;

/// Name of the header with the era of the store.
const ERA_HEADER: &str = "store-era";

/// How often a waiting watch checks for expired leases.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A running stand-in for the platform. Clones share one store.
#[derive(Debug, Clone)]
pub struct Platform {
    server: Arc<Server>,
    shared: Arc<Shared>,
}

/// A fault that the store simulates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Connections are closed without a reply and nothing takes effect.
    Down,
    /// Calls are answered with 503 and nothing takes effect.
    Refusing,
    /// Each call is delayed by this time.
    Slow(Duration),
}

/// Calls to the store since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformCounts {
    /// Reads of single keys and of ranges.
    pub reads: u64,
    /// Transactions, including those that failed.
    pub writes: u64,
    /// Calls that grant, renew or end a lease.
    pub leases: u64,
    /// Watch calls; one that waits counts once.
    pub watches: u64,
}

#[derive(Debug)]
struct Shared {
    store: Mutex<Store>,
    /// Counts the events after which waiting watches must look at the store again.
    changed: watch::Sender<u64>,
}

/// The contents of the store at one moment.
#[derive(Debug, Clone)]
pub struct StoreCopy(State);

#[derive(Debug)]
struct Store {
    state: State,
    /// Rises each time the store comes back from a copy.
    era: u64,
    fault: Fault,
    /// Number of writes to come whose replies are lost.
    lost_replies: u32,
    /// The store goes down after the next write of this key.
    failing_key: Option<String>,
    counts: PlatformCounts,
}

impl Platform {
    /// Starts the stand-in at `address`; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// Fails if it cannot listen at the address.
    pub async fn start(address: SocketAddr) -> std::io::Result<Platform> {
        let store = Store {
            state: State::new(),
            era: 1,
            fault: Fault::None,
            lost_replies: 0,
            failing_key: None,
            counts: PlatformCounts::default(),
        };
        let (changed, _) = watch::channel(0);
        let shared = Arc::new(Shared { store: Mutex::new(store), changed });
        let server = Arc::new(serve(address, shared.clone()).await?);
        Ok(Platform { server, shared })
    }

    /// The address it listens at, with the port that was picked.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the fault that the store simulates from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().fault = fault;
        // Waiting watches check the fault again and end if the store is down.
        self.shared.wake();
    }

    /// Closes the connection instead of replying to the next `count` writes; they take effect.
    pub fn lose_replies(&self, count: u32) {
        self.shared.lock().lost_replies = count;
    }

    /// Closes the connection instead of replying to the next write of `key`, which takes effect.
    /// The store is down from then on, so that the write cannot be read back.
    pub fn fail_after_write(&self, key: &str) {
        self.shared.lock().failing_key = Some(key.to_owned());
    }

    /// Ends every lease at once and removes its keys, as if each holder had been paused for longer
    /// than its lease.
    pub fn lapse_leases(&self) {
        self.shared.lock().state.end_all_leases();
        self.shared.wake();
    }

    /// Discards the history, so that watches from earlier revisions fail.
    pub fn compact(&self) {
        self.shared.lock().state.compact();
        self.shared.wake();
    }

    /// Returns a copy of the contents.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.shared.lock().state.clone())
    }

    /// Comes back from an older copy: all that was written since is lost, and revisions and ids of
    /// leases are given out again.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut store = self.shared.lock();
        store.state = copy.0.clone();
        store.state.renew_all_leases(Instant::now());
        store.era += 1;
        drop(store);
        self.shared.wake();
    }

    /// Writes a key without a lease, as an operator or a searcher does.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.shared.lock().state.put(key, Bytes::copy_from_slice(value), 0);
        self.shared.wake();
    }

    /// Removes a key, as an operator or a searcher does.
    pub fn remove(&self, key: &str) {
        self.shared.lock().state.remove(key);
        self.shared.wake();
    }

    /// Calls since the start.
    pub fn counts(&self) -> PlatformCounts {
        self.shared.lock().counts
    }

    /// The value of `key`, read without a call that counts.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        self.shared.lock().state.get(key).map(|item| item.value.clone())
    }
}

/// The query parameters of a call.
type Parameters = BTreeMap<String, String>;

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Store> {
        let mut store = self.store.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        store.state.expire_leases(Instant::now());
        store
    }

    /// Makes waiting watches look at the store again.
    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn read_key(&self, parameters: &Parameters) -> Answer {
        let Some(key) = parameters.get("key") else { return malformed() };
        let mut store = self.lock();
        store.counts.reads += 1;
        let revision = store.state.revision();
        match store.state.get(key) {
            Some(item) => {
                let mut body = wire::item_json(key, item);
                body["at_rev"] = json!(revision);
                answer(StatusCode::OK, &body)
            }
            None => answer(StatusCode::NOT_FOUND, &json!({ "at_rev": revision })),
        }
    }

    fn read_range(&self, parameters: &Parameters) -> Answer {
        let Some(prefix) = parameters.get("prefix") else { return malformed() };
        let after = parameters.get("after").map_or("", String::as_str);
        let mut store = self.lock();
        store.counts.reads += 1;
        let mut found = store.state.range(prefix, after);
        let items: Vec<Value> = found
            .by_ref()
            .take(MAX_PAGE_ITEMS)
            .map(|(key, item)| wire::item_json(key, item))
            .collect();
        let has_more = found.next().is_some();
        let revision = store.state.revision();
        answer(StatusCode::OK, &json!({ "items": items, "has_more": has_more, "at_rev": revision }))
    }

    fn transact(&self, body: &[u8]) -> Answer {
        let Some(transaction) = wire::transaction(body) else { return malformed() };
        if transaction.puts.iter().any(|put| put.value.len() > MAX_VALUE_BYTES) {
            return answer(StatusCode::PAYLOAD_TOO_LARGE, &json!({}));
        }
        let mut store = self.lock();
        store.counts.writes += 1;
        let failing_key = store.failing_key.clone();
        let goes_down = transaction.puts.iter().any(|put| Some(&put.key) == failing_key.as_ref());
        let revision = match store.state.transact(transaction) {
            Outcome::Committed(revision) => revision,
            Outcome::Conflict(found) => {
                let items: Vec<Value> =
                    found.iter().map(|(key, item)| wire::item_json(key, item)).collect();
                return answer(StatusCode::PRECONDITION_FAILED, &json!({ "items": items }));
            }
            Outcome::NoLease => return answer(StatusCode::NOT_FOUND, &json!({})),
        };
        if goes_down {
            store.failing_key = None;
            store.fault = Fault::Down;
            store.lost_replies = 1;
        }
        let is_lost = store.lost_replies > 0;
        store.lost_replies = store.lost_replies.saturating_sub(1);
        drop(store);
        self.wake();
        if is_lost {
            return Answer::Close;
        }
        answer(StatusCode::OK, &json!({ "revision": revision }))
    }

    fn grant_lease(&self, body: &[u8]) -> Answer {
        let Some(ttl_ms) = wire::lease_ttl_ms(body) else { return malformed() };
        let mut store = self.lock();
        store.counts.leases += 1;
        let lease = store.state.grant_lease(Duration::from_millis(ttl_ms), Instant::now());
        answer(StatusCode::OK, &json!({ "lease_id": lease, "ttl_ms": ttl_ms }))
    }

    fn renew_lease(&self, lease: &str) -> Answer {
        let Ok(lease) = lease.parse() else { return malformed() };
        let mut store = self.lock();
        store.counts.leases += 1;
        match store.state.renew_lease(lease, Instant::now()) {
            Some(ttl) => answer(StatusCode::OK, &json!({ "ttl_ms": ttl.as_millis() as u64 })),
            None => answer(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    fn end_lease(&self, lease: &str) -> Answer {
        let Ok(lease) = lease.parse() else { return malformed() };
        let mut store = self.lock();
        store.counts.leases += 1;
        store.state.end_lease(lease);
        drop(store);
        self.wake();
        answer(StatusCode::OK, &json!({}))
    }

    async fn watch(&self, parameters: &Parameters) -> Answer {
        let number = |name: &str| parameters.get(name).and_then(|text| text.parse::<u64>().ok());
        let (Some(prefix), Some(after)) = (parameters.get("prefix"), number("after")) else {
            return malformed();
        };
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let era = {
            let mut store = self.lock();
            store.counts.watches += 1;
            store.era
        };
        let mut changed = self.changed.subscribe();
        let deadline = Instant::now() + wait;
        loop {
            changed.borrow_and_update();
            let (changes, revision, is_cut) = {
                let store = self.lock();
                let is_cut = store.fault == Fault::Down || store.era != era;
                (store.state.changes(prefix, after), store.state.revision(), is_cut)
            };
            if is_cut {
                return Answer::Close;
            }
            let Some(changes) = changes else {
                return answer(StatusCode::GONE, &json!({ "at_rev": revision }));
            };
            if !changes.is_empty() || Instant::now() >= deadline {
                return events(&changes, revision);
            }
            let left = deadline.saturating_duration_since(Instant::now()).min(LEASE_POLL_INTERVAL);
            if let Ok(Err(_)) = timeout(left, changed.changed()).await {
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
        let mut answer = self.answer(call).await;
        if let Answer::Reply(reply) = &mut answer {
            reply.headers_mut().insert(ERA_HEADER, HeaderValue::from(self.lock().era));
        }
        answer
    }
}

impl Shared {
    async fn answer(&self, call: Call) -> Answer {
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
            (Method::GET, "/kv-key") => return self.read_key(&parameters),
            (Method::GET, "/kv-range") => return self.read_range(&parameters),
            (Method::GET, "/kv-watch") => return self.watch(&parameters).await,
            (Method::POST, "/kv-txn") => return self.transact(&call.body),
            (Method::POST, "/kv-lease") => return self.grant_lease(&call.body),
            _ => {}
        }
        if let Some(lease) = path.strip_prefix("/kv-keep/") {
            return self.renew_lease(lease);
        }
        if let Some(lease) = path.strip_prefix("/kv-lease-end/") {
            return self.end_lease(lease);
        }
        answer(StatusCode::NOT_FOUND, &json!({}))
    }
}

fn events(changes: &[Change], revision: u64) -> Answer {
    let events: Vec<Value> = changes.iter().map(wire::event_json).collect();
    answer(StatusCode::OK, &json!({ "events": events, "at_rev": revision }))
}

fn malformed() -> Answer {
    answer(StatusCode::BAD_REQUEST, &json!({}))
}

fn answer(status: StatusCode, body: &Value) -> Answer {
    Answer::Reply(reply(status, Bytes::from(body.to_string())))
}
