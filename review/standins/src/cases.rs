//! The cases, and what they share.

pub mod again;
pub mod attempts;
pub mod merge;
pub mod outage;
pub mod refusal;
pub mod rest;
pub mod restart;
pub mod spin;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Response;
use crate::http::header;
use crate::tier::connect;

pub const HOST: &str = "a.example";

/// A request of a consumer, with its answer if there was one.
#[derive(Debug, Clone)]
pub struct Sent {
    pub at: Instant,
    pub machine: String,
    pub id: String,
    pub answer: Option<Response>,
}

pub type SentRequests = Arc<Mutex<Vec<Sent>>>;

/// How a consumer asks.
#[derive(Debug, Clone)]
pub struct Asks {
    pub machine: String,
    pub front: std::net::SocketAddr,
    pub name: String,
    pub method: &'static str,
    pub target: String,
    pub deadline_ms: u64,
    pub pause: Duration,
}

/// Sends requests one after the other, on kept connections, until `stop`.
pub fn consume(asks: Asks, sent: &SentRequests, stop: &Arc<AtomicBool>) -> JoinHandle<()> {
    let (sent, stop) = (sent.clone(), stop.clone());
    thread::spawn(move || {
        let mut kept = None;
        let mut count = 0;
        while !stop.load(Ordering::SeqCst) {
            let Some(mut connection) = kept.take().or_else(|| connect(asks.front)) else {
                sleep(Duration::from_millis(50));
                continue;
            };
            count += 1;
            let id = format!("{}-{count}", asks.name);
            let deadline = asks.deadline_ms.to_string();
            let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", deadline.as_str())];
            let at = Instant::now();
            let body: &[u8] = if asks.method == "POST" { b"payout" } else { b"" };
            let answer = connection.send(asks.method, &asks.target, HOST, &headers, body);
            let goes_on = answer.as_ref().is_some_and(|answer| {
                !header(&answer.headers, "connection").is_some_and(|it| it.contains("close"))
            });
            let machine = asks.machine.clone();
            sent.lock().unwrap().push(Sent { at, machine, id, answer });
            if goes_on {
                kept = Some(connection);
            }
            sleep(asks.pause);
        }
    })
}

/// A hash of a text, for what must differ from one request to the next and be the same again.
pub fn hash(text: &str) -> u64 {
    let mut sum = 0xcbf2_9ce4_8422_2325_u64;
    for byte in text.bytes() {
        sum = (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    sum ^= sum >> 29;
    sum = sum.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    sum ^ sum >> 32
}

/// The records of a shard for a request, 16 bytes each, in no order.
pub fn records(service: &str, request: &str, count: usize) -> Vec<[u8; 16]> {
    let record = |place: usize| {
        let value = hash(&format!("{service}/{request}/{place}"));
        let mut record = [0; 16];
        record[..8].copy_from_slice(&value.to_be_bytes());
        record[8..].copy_from_slice(&hash(service).to_be_bytes());
        record
    };
    (0..count).map(record).collect()
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

/// A configuration of the operator with these routes and services, both as JSON.
pub fn config(version: u64, routes: &[String], services: &[String]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                r#"{{"name":"{name}","health_path":"/healthz","max_conns":26,"protocol":"h1","tls":false}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}
