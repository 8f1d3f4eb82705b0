//! The platform: a key-value store with compare-and-swap, leases and watches, and a list of
//! VMs that lags.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::http::Answer;
use crate::http::Call;
use crate::http::Handler;
use crate::http::Server;
use crate::http::parameter;
use crate::http::reply;
use crate::http::serve;
use tt_model::MAX_VALUE_BYTES;

/// A running stand-in for the platform.
#[derive(Debug)]
pub struct Platform {
    server: Server,
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
    /// Reads of values and of the VM list.
    pub reads: u64,
    /// Writes, removals and lease calls.
    pub writes: u64,
    /// Watches; a waiting one counts once.
    pub watches: u64,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    values: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    revision: u64,
    next_lease: u64,
    fault: Option<Fault>,
    lost_replies: u32,
    last_write: Option<String>,
    vms: Bytes,
    counts: PlatformCounts,
}

#[derive(Debug, Clone)]
struct Entry {
    revision: u64,
    value: Bytes,
    lease: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

impl Platform {
    /// Starts a platform at `address`; port 0 picks a free one.
    pub async fn start(address: SocketAddr) -> std::io::Result<Platform> {
        let state = State { vms: Bytes::from_static(b"[]"), ..State::default() };
        let (changed, _) = watch::channel(0);
        let shared = Arc::new(Shared { state: Mutex::new(state), changed });
        let server = serve(address, shared.clone()).await?;
        Ok(Platform { server, shared })
    }

    /// The address that the platform serves.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets how the store misbehaves from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().fault = Some(fault);
        // Waiting watches end, as they would when the store goes down.
        self.shared.changed.send_modify(|count| *count += 1);
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
        let mut state = self.shared.lock();
        state.leases.clear();
        state.expire(Instant::now());
    }

    /// Sets the list of VMs, a JSON array.
    pub fn set_vms(&self, list: &str) {
        self.shared.lock().vms = Bytes::copy_from_slice(list.as_bytes());
    }

    /// What was asked of the store since the start.
    pub fn counts(&self) -> PlatformCounts {
        self.shared.lock().counts
    }

    /// The value at `key`, for checks.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        self.shared.lock().values.get(key).map(|entry| entry.value.clone())
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn fault(&self) -> Fault {
        self.lock().fault.unwrap_or(Fault::None)
    }

    fn get(&self, key: &str) -> Answer {
        let mut state = self.lock();
        state.counts.reads += 1;
        state.expire(Instant::now());
        match state.values.get(key) {
            Some(entry) => value_reply(entry),
            None => status(StatusCode::NOT_FOUND, 0),
        }
    }

    fn vms(&self) -> Answer {
        let mut state = self.lock();
        state.counts.reads += 1;
        Answer::Reply(reply(StatusCode::OK, state.vms.clone()))
    }

    fn put(&self, key: &str, call: &Call) -> Answer {
        let Some(expect) = parameter(call, "expect") else {
            return status(StatusCode::BAD_REQUEST, 0);
        };
        if call.body.len() > MAX_VALUE_BYTES {
            return status(StatusCode::PAYLOAD_TOO_LARGE, 0);
        }
        let mut state = self.lock();
        state.counts.writes += 1;
        state.expire(Instant::now());
        let lease = parameter(call, "lease");
        if lease.is_some_and(|id| !state.leases.contains_key(&id)) {
            return status(StatusCode::BAD_REQUEST, 0);
        }
        let found = state.values.get(key).map_or(0, |entry| entry.revision);
        if found != expect {
            return status(StatusCode::CONFLICT, found);
        }
        state.revision += 1;
        let revision = state.revision;
        let entry = Entry { revision, value: call.body.clone(), lease };
        state.values.insert(key.to_owned(), entry);
        if state.last_write.as_deref() == Some(key) {
            state.last_write = None;
            state.fault = Some(Fault::Down);
            state.lost_replies = 1;
        }
        self.finish_write(state, revision)
    }

    fn delete(&self, key: &str, call: &Call) -> Answer {
        let Some(expect) = parameter(call, "expect") else {
            return status(StatusCode::BAD_REQUEST, 0);
        };
        let mut state = self.lock();
        state.counts.writes += 1;
        let Some(entry) = state.values.get(key) else {
            return status(StatusCode::NOT_FOUND, 0);
        };
        if entry.revision != expect {
            return status(StatusCode::CONFLICT, entry.revision);
        }
        state.values.remove(key);
        state.revision += 1;
        self.finish_write(state, expect)
    }

    fn finish_write(&self, mut state: MutexGuard<'_, State>, revision: u64) -> Answer {
        let lost = state.lost_replies > 0;
        state.lost_replies = state.lost_replies.saturating_sub(1);
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        if lost {
            return Answer::Close;
        }
        status(StatusCode::OK, revision)
    }

    fn lease(&self, path: &str, call: &Call) -> Answer {
        let mut state = self.lock();
        state.counts.writes += 1;
        let now = Instant::now();
        state.expire(now);
        if path.is_empty() {
            let Some(ttl) = parameter(call, "ttl_ms").map(Duration::from_millis) else {
                return status(StatusCode::BAD_REQUEST, 0);
            };
            state.next_lease += 1;
            let id = state.next_lease;
            state.leases.insert(id, Lease { ttl, ends: now + ttl });
            return Answer::Reply(reply(StatusCode::OK, Bytes::from(id.to_string())));
        }
        let id = path.strip_suffix("/renew").and_then(|id| id.parse::<u64>().ok());
        match id.and_then(|id| state.leases.get_mut(&id)) {
            Some(lease) => {
                lease.ends = now + lease.ttl;
                status(StatusCode::OK, 0)
            }
            None => status(StatusCode::NOT_FOUND, 0),
        }
    }

    async fn watch(&self, key: &str, call: &Call) -> Answer {
        let after = parameter(call, "after").unwrap_or(0);
        let wait = Duration::from_millis(parameter(call, "wait_ms").unwrap_or(0));
        self.lock().counts.watches += 1;
        let mut changes = self.changed.subscribe();
        let found = timeout(wait, async {
            loop {
                changes.borrow_and_update();
                if self.fault() == Fault::Down {
                    return Answer::Close;
                }
                if let Some(entry) = self.lock().values.get(key)
                    && entry.revision > after
                {
                    return value_reply(entry);
                }
                if changes.changed().await.is_err() {
                    return Answer::Close;
                }
            }
        });
        found.await.unwrap_or_else(|_| status(StatusCode::NOT_MODIFIED, after))
    }
}

impl State {
    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, lease| lease.ends > now);
        let leases = &self.leases;
        self.values.retain(|_, entry| entry.lease.is_none_or(|id| leases.contains_key(&id)));
    }
}

impl Handler for Shared {
    type Connection = ();

    async fn connected(self: &Arc<Self>) -> Option<()> {
        (self.fault() != Fault::Down).then_some(())
    }

    async fn call(self: &Arc<Self>, call: Call) -> Answer {
        match self.fault() {
            Fault::None => {}
            Fault::Down => return Answer::Close,
            Fault::Refusing => return status(StatusCode::SERVICE_UNAVAILABLE, 0),
            Fault::Slow(delay) => sleep(delay).await,
        }
        let path = call.request.uri().path().to_owned();
        let method = call.request.method().clone();
        if path == "/vms" {
            return self.vms();
        }
        if let Some(rest) = path.strip_prefix("/leases") {
            return self.lease(rest.trim_start_matches('/'), &call);
        }
        if let Some(key) = path.strip_prefix("/watch/") {
            return self.watch(key, &call).await;
        }
        match (path.strip_prefix("/kv/"), method) {
            (Some(key), Method::GET) => self.get(key),
            (Some(key), Method::PUT) => self.put(key, &call),
            (Some(key), Method::DELETE) => self.delete(key, &call),
            _ => status(StatusCode::NOT_FOUND, 0),
        }
    }
}

fn value_reply(entry: &Entry) -> Answer {
    let mut response = reply(StatusCode::OK, entry.value.clone());
    response.headers_mut().insert("x-revision", entry.revision.into());
    Answer::Reply(response)
}

fn status(code: StatusCode, revision: u64) -> Answer {
    let mut response = reply(code, Bytes::new());
    response.headers_mut().insert("x-revision", revision.into());
    Answer::Reply(response)
}
