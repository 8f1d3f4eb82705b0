//! A stand-in of a searcher. What it does with a request is decided by a function of the case.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Message;
use crate::http::answer;
use crate::store::Store;

/// One event at a searcher.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: Instant,
    pub searcher: String,
    pub service: String,
    pub request: String,
    pub what: &'static str,
}

pub type Log = Arc<Mutex<Vec<Event>>>;

/// What a searcher does with a request.
pub enum Action {
    /// Runs it for so long and answers 200 with this body, and these further headers.
    Run(Duration, Vec<u8>, Vec<(String, String)>),
}

pub type Behavior = Arc<dyn Fn(&Searcher, &Message) -> Action + Send + Sync>;

#[derive(Clone)]
pub struct Searcher {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub address: SocketAddr,
    pub born: u64,
    ended: Arc<AtomicBool>,
}

impl Searcher {
    pub fn start(
        ip: &str,
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        behavior: Behavior,
        log: &Log,
    ) -> Searcher {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let searcher = Searcher {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            address,
            born: unix_ms() - 60_000,
            ended: Arc::new(AtomicBool::new(false)),
        };
        let (own, log) = (searcher.clone(), log.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own.ended.load(Ordering::SeqCst) {
                    return;
                }
                let (own, behavior, log) = (own.clone(), behavior.clone(), log.clone());
                thread::Builder::new()
                    .stack_size(256 * 1024)
                    .spawn(move || own.serve(Connection::new(stream), &behavior, &log))
                    .expect("a thread");
            }
        });
        searcher
    }

    pub fn register(&self, store: &Store, state: &str) {
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"sequence\":4,\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.born
        );
        store.put(&format!("servers/{}", self.id), &value);
    }

    /// Ends the searcher: it closes its connections and accepts no more.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, mut connection: Connection, behavior: &Behavior, log: &Log) {
        let note = |request: &str, what: &'static str| {
            log.lock().unwrap().push(Event {
                at: Instant::now(),
                searcher: self.id.clone(),
                service: self.service.clone(),
                request: request.to_owned(),
                what,
            });
        };
        while let Ok(Some(request)) = connection.read_message(false) {
            let id = request.header("x-request-id").unwrap_or_default().to_owned();
            if request.header("x-expect-instance").is_some_and(|it| it != self.id) {
                let headers = [("X-Request-Id", id.as_str()), ("X-Instance-Id", self.id.as_str())];
                if connection.send(&answer("421 Misdirected Request", &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            let limit = request.header("x-deadline-ms").and_then(|it| it.parse().ok());
            let limit = Duration::from_millis(limit.unwrap_or(10_000));
            let reply = match behavior(self, &request) {
                Action::Run(work, body, more) => {
                    note(&id, "run");
                    let end = Instant::now() + work.min(limit);
                    while Instant::now() < end {
                        thread::sleep(Duration::from_millis(5).min(end - Instant::now().min(end)));
                        if connection.is_closed() {
                            note(&id, "dropped");
                            return;
                        }
                        if self.ended.load(Ordering::SeqCst) {
                            note(&id, "ended under it");
                            return;
                        }
                    }
                    let stamp = format!("{}.{id}", self.id);
                    let mut headers =
                        vec![("X-Request-Id", id.as_str()), ("X-Server-Stamp", stamp.as_str())];
                    headers
                        .extend(more.iter().map(|(name, value)| (name.as_str(), value.as_str())));
                    let status = if work > limit { "504 Gateway Timeout" } else { "200 OK" };
                    note(&id, "answered");
                    answer(status, &headers, &body)
                }
            };
            if connection.send(&reply).is_err() {
                return;
            }
        }
    }
}

pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.expect("a time").as_millis() as u64
}
