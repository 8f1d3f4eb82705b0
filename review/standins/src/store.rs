//! A stand-in for the platform's store: keys with revisions, leases and watches, as PROTOCOL.md
//! tells them. Each machine reaches it through a gate of its own.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Request;
use crate::http::parameter;
use crate::http::read_request;
use crate::http::write_response;
use crate::json::Json;
use crate::json::decode_base64;
use crate::json::encode_base64;

/// Keys on one page of a range.
const PAGE_ITEMS: usize = 500;

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Change {
    revision: u64,
    key: String,
    item: Option<Item>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: HashMap<u64, (Duration, Instant)>,
}

#[derive(Debug, Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |it| it.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change {
            revision: self.revision,
            key: key.to_owned(),
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push(Change { revision: self.revision, key: key.to_owned(), item: None });
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            for key in keys {
                self.remove(&key);
            }
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#""key":"{key}","value":"{}","revision":{},"created_at":{},"lease_id":{}"#,
        encode_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    pub fn new() -> Store {
        let store = Store::default();
        store.shared.0.lock().unwrap().revision = 100;
        store
    }

    /// Listens at `address` for one machine. While the result is true, the machine gets no response,
    /// and nothing is done.
    pub fn listen(&self, address: SocketAddr) -> Arc<AtomicBool> {
        let listener = TcpListener::bind(address).expect("a free address for the store");
        let store = self.clone();
        let rejects = Arc::new(AtomicBool::new(false));
        let is_rejecting = rejects.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, rejects) = (store.clone(), is_rejecting.clone());
                thread::spawn(move || store.serve(stream, &rejects));
            }
        });
        rejects
    }

    /// Writes a key as the operator or a searcher does. Returns when it was accepted.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.put(key, value.as_bytes().to_vec(), 0);
        self.shared.1.notify_all();
        Instant::now()
    }

    /// Removes a key as the operator or a searcher does.
    pub fn remove(&self, key: &str) -> Instant {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.shared.1.notify_all();
        Instant::now()
    }

    fn serve(&self, stream: TcpStream, rejects: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut is_dead = false;
        while let Ok(request) = read_request(&mut reader) {
            if !rejects.load(Ordering::SeqCst) && !is_dead {
                let (status, body) = self.call(&request);
                if !rejects.load(Ordering::SeqCst) {
                    let headers = [("Content-Type", "application/json")];
                    if write_response(&mut writer, status, &headers, body.as_bytes()).is_err() {
                        return;
                    }
                    continue;
                }
            }
            // A connection on which a response is lost returns nothing further.
            is_dead = true;
        }
    }

    fn call(&self, request: &Request) -> (u16, String) {
        let target = request.target.as_str();
        let path = target.split('?').next().unwrap_or_default();
        let mut state = self.shared.0.lock().unwrap();
        state.expire();
        match (request.method.as_str(), path) {
            ("GET", "/kv-key") => {
                let key = parameter(target, "key").unwrap_or_default();
                let at = state.revision;
                match state.items.get(&key) {
                    Some(item) => (200, format!(r#"{{{},"at_rev":{at}}}"#, item_json(&key, item))),
                    None => (404, format!(r#"{{"at_rev":{at}}}"#)),
                }
            }
            ("GET", "/kv-range") => {
                let prefix = parameter(target, "prefix").unwrap_or_default();
                let after = parameter(target, "after").unwrap_or_default();
                let mut found: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| format!("{{{}}}", item_json(key, item)))
                    .collect();
                let more = found.len() > PAGE_ITEMS;
                found.truncate(PAGE_ITEMS);
                let (items, at) = (found.join(","), state.revision);
                (200, format!(r#"{{"items":[{items}],"has_more":{more},"at_rev":{at}}}"#))
            }
            ("GET", "/kv-watch") => {
                let prefix = parameter(target, "prefix").unwrap_or_default();
                let number = |name| parameter(target, name).and_then(|it| it.parse::<u64>().ok());
                let after = number("after").unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
                loop {
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|it| it.revision > after && it.key.starts_with(&prefix))
                        .map(|change| match &change.item {
                            Some(item) => format!("{{{}}}", item_json(&change.key, item)),
                            None => format!(
                                r#"{{"key":"{}","revision":{},"deleted":true}}"#,
                                change.key, change.revision
                            ),
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, at) = (events.join(","), state.revision);
                        return (200, format!(r#"{{"events":[{events}],"at_rev":{at}}}"#));
                    }
                    let left = left.min(Duration::from_millis(100));
                    state = self.shared.1.wait_timeout(state, left).unwrap().0;
                    state.expire();
                }
            }
            ("POST", "/kv-txn") => {
                let Some(body) = Json::parse(&request.body) else { return (400, "{}".into()) };
                if ["op/", "servers/"].iter().any(|it| has_key(&body, it)) {
                    return (403, "{}".into());
                }
                let list = |name: &str| body.get(name).map(Json::list).unwrap_or_default().to_vec();
                let key = |it: &Json| it.get("key").and_then(Json::text).unwrap_or("").to_owned();
                let number = |it: &Json, name: &str| it.get(name).and_then(Json::number);
                let conditions = list("expected_rev");
                let holds = conditions.iter().all(|it| {
                    let found = state.items.get(&key(it)).map_or(0, |item| item.revision);
                    found == number(it, "revision").unwrap_or(0)
                });
                if !holds {
                    let items: Vec<String> = conditions
                        .iter()
                        .filter_map(|it| {
                            let key = key(it);
                            let item = state.items.get(&key)?;
                            Some(format!("{{{}}}", item_json(&key, item)))
                        })
                        .collect();
                    return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
                }
                let puts = list("puts");
                let lease = |it: &Json| number(it, "lease_id").unwrap_or(0);
                if puts.iter().any(|it| lease(it) != 0 && !state.leases.contains_key(&lease(it))) {
                    return (404, "{}".into());
                }
                state.revision += 1;
                for put in &puts {
                    let value = put.get("value").and_then(Json::text).unwrap_or("");
                    state.put(&key(put), decode_base64(value), lease(put));
                }
                for removed in list("remove") {
                    state.remove(removed.text().unwrap_or(""));
                }
                self.shared.1.notify_all();
                (200, format!(r#"{{"revision":{}}}"#, state.revision))
            }
            ("POST", "/kv-lease") => {
                let body = Json::parse(&request.body);
                let ttl = body.and_then(|it| it.get("ttl_ms")?.number()).unwrap_or(1000);
                state.revision += 1;
                let id = 70_000 + state.revision;
                let lasts = Duration::from_millis(ttl);
                state.leases.insert(id, (lasts, Instant::now() + lasts));
                (200, format!(r#"{{"lease_id":{id},"ttl_ms":{ttl}}}"#))
            }
            (method, path) => {
                let id = path.rsplit('/').next().and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
                if method == "POST" && path.starts_with("/kv-keep/") {
                    return match state.leases.get_mut(&id) {
                        Some((lasts, end)) => {
                            *end = Instant::now() + *lasts;
                            (200, format!(r#"{{"ttl_ms":{}}}"#, lasts.as_millis()))
                        }
                        None => (404, "{}".into()),
                    };
                }
                if method == "DELETE" && path.starts_with("/kv-lease-end/") {
                    state.end_lease(id);
                    self.shared.1.notify_all();
                    return (200, "{}".into());
                }
                (404, "{}".into())
            }
        }
    }
}

/// Whether a transaction writes or removes a key with this prefix.
fn has_key(body: &Json, prefix: &str) -> bool {
    let list = |name: &str| body.get(name).map(Json::list).unwrap_or_default();
    let puts = list("puts").iter().filter_map(|it| it.get("key")?.text());
    let removed = list("remove").iter().filter_map(Json::text);
    puts.chain(removed).any(|key| key.starts_with(prefix))
}
