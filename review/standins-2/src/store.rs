//! A stand-in of the platform's store. Each daemon has a door (an address) of its own.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Message;
use crate::http::answer;
use crate::json;
use crate::json::base64;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Item>, Instant)>,
    /// The newest revision whose event has been dropped from the history.
    dropped: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// Time for which events are kept.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Time that each answer takes, in milliseconds.
    pub delay_ms: AtomicU64,
}

impl Store {
    pub fn start() -> Arc<Store> {
        let store = Arc::new(Store::default());
        store.state.lock().unwrap().revision = 100;
        store.delay_ms.store(4, Ordering::SeqCst);
        let sweeper = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                sweeper.end_leases();
            }
        });
        store
    }

    /// Opens a door at a free port of `ip`.
    pub fn door(self: &Arc<Store>, ip: &str) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.read_message(false) {
                        let reply = store.call(&request);
                        thread::sleep(store.delay());
                        if connection.send(&reply).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        address
    }

    fn end_leases(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, it)| it.0 <= now).map(|(id, _)| *id).collect();
        for id in ended {
            state.end_lease(id);
        }
        let old = state.events.iter().take_while(|event| event.3 + HISTORY < now).count();
        let dropped = state.events.drain(..old).next_back().map(|event| event.0);
        state.dropped = state.dropped.max(dropped.unwrap_or(0));
        self.changed.notify_all();
    }

    fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms.load(Ordering::SeqCst))
    }

    /// Writes a key for the operator or a searcher, without waiting for the acknowledgement, which
    /// comes after [`Store::delay`].
    pub fn put(&self, key: &str, value: &str) {
        self.state.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    fn call(&self, request: &Message) -> Vec<u8> {
        let target = request.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| decode(value)).unwrap_or_default()
        };
        let ok = |body: String| {
            answer("200 OK", &[("Content-Type", "application/json")], body.as_bytes())
        };
        let mut state = self.state.lock().unwrap();
        match (request.method(), path) {
            ("GET", "/kv-key") => match state.items.get(&parameter("key")) {
                Some(item) => ok(item_text(&parameter("key"), item, Some(state.revision))),
                None => answer(
                    "404 Not Found",
                    &[],
                    format!("{{\"at_rev\":{}}}", state.revision).as_bytes(),
                ),
            },
            ("GET", "/kv-range") => {
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let found: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| item_text(key, item, None))
                    .collect();
                let more = found.len() > 500;
                ok(format!(
                    "{{\"items\":[{}],\"has_more\":{more},\"at_rev\":{}}}",
                    found[..found.len().min(500)].join(","),
                    state.revision
                ))
            }
            ("GET", "/kv-watch") => {
                let prefix = parameter("prefix");
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                loop {
                    if after < state.dropped {
                        return answer("410 Gone", &[], b"{}");
                    }
                    let events: Vec<String> = state
                        .events
                        .iter()
                        .filter(|(revision, key, ..)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, item, _)| match item {
                            Some(item) => item_text(key, item, None),
                            None => format!(
                                "{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"
                            ),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= end {
                        return ok(format!(
                            "{{\"events\":[{}],\"at_rev\":{}}}",
                            events.join(","),
                            state.revision
                        ));
                    }
                    state = self.changed.wait_timeout(state, end - now).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => {
                let body = json::parse(&request.body);
                for condition in body.get("expected_rev").list() {
                    let key = condition.get("key").text();
                    let found = state.items.get(key).map_or(0, |item| item.revision);
                    if found != condition.get("revision").number() {
                        return answer("412 Precondition Failed", &[], b"{\"items\":[]}");
                    }
                }
                for put in body.get("puts").list() {
                    let lease = put.get("lease_id").number();
                    if lease != 0 && !state.leases.contains_key(&lease) {
                        return answer("404 Not Found", &[], b"{}");
                    }
                    state.put(put.get("key").text(), put.get("value").text().to_owned(), lease);
                }
                for key in body.get("remove").list() {
                    state.remove(key.text());
                }
                let revision = state.revision;
                self.changed.notify_all();
                ok(format!("{{\"revision\":{revision}}}"))
            }
            ("POST", "/kv-lease") => {
                let ttl = json::parse(&request.body).get("ttl_ms").number();
                state.next_lease += 1;
                let id = 70_000 + state.next_lease;
                let ttl_time = Duration::from_millis(ttl);
                state.leases.insert(id, (Instant::now() + ttl_time, ttl_time));
                ok(format!("{{\"lease_id\":{id},\"ttl_ms\":{ttl}}}"))
            }
            (method, path) => {
                let id: u64 = path.rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or(0);
                let Some((_, ttl)) = state.leases.get(&id).copied() else {
                    return answer("404 Not Found", &[], b"{}");
                };
                if method == "DELETE" {
                    state.end_lease(id);
                    self.changed.notify_all();
                } else {
                    state.leases.insert(id, (Instant::now() + ttl, ttl));
                }
                ok(format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((revision, key.to_owned(), Some(item), Instant::now()));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.to_owned(), None, Instant::now()));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_text(key: &str, item: &Item, at_rev: Option<u64>) -> String {
    let at_rev = at_rev.map_or(String::new(), |it| format!(",\"at_rev\":{it}"));
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created_at\":{},\"lease_id\":{}{at_rev}}}",
        item.value, item.revision, item.created, item.lease
    )
}

/// Decodes a value of a query string.
fn decode(value: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let text = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&text, 16).unwrap_or(b'?'));
            }
            b'+' => bytes.push(b' '),
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
