//! An entry on loopback between stand-ins of the store and of searchers.
#![allow(dead_code)]

pub mod config;
pub mod searcher;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use tt_adapter::Boot;
use tt_adapter::Bounds;
use tt_front::FrontSettings;
use tt_standin::Platform;

/// Longest time for anything that a test waits for.
const PATIENCE: Duration = Duration::from_secs(20);

/// A running entry. It ends when dropped.
pub struct Entry {
    pub boot: Boot,
    task: JoinHandle<()>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Ports below those that the system gives to outgoing connections, so that none of these takes
/// a port before it is listened at.
const FIRST_PORT: u16 = 20_000;

/// Ports that one test process tries first; others start elsewhere.
const PORTS: u16 = 60;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// An address of loopback that nothing uses.
pub async fn free_address() -> SocketAddr {
    let start = FIRST_PORT + (std::process::id() % 200) as u16 * PORTS;
    loop {
        let port = start.saturating_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).await.is_ok() {
            return address;
        }
    }
}

/// Starts a stand-in of the platform's store.
pub async fn platform() -> Platform {
    Platform::start(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a free port")
}

/// Starts an entry in the failure domain `domain`.
pub async fn entry(name: &str, domain: &str, store: SocketAddr, seeds: Vec<SocketAddr>) -> Entry {
    let boot = Boot {
        vm: name.to_owned(),
        domain: domain.to_owned(),
        front: free_address().await,
        ready: free_address().await,
        directory: free_address().await,
        peer: free_address().await,
        seeds,
        store,
        min_lease_ttl: Duration::from_secs(1),
        first_start: true,
        bounds: Bounds {
            grace: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_extra: 50.0,
            retry_window: Duration::from_secs(10),
            directory_ttl: Duration::from_secs(5),
        },
    };
    let run = boot.clone();
    let task = tokio::spawn(async move {
        let path = PathBuf::from("/nonexistent");
        tt_front::run(&path, run, FrontSettings::default()).await.expect("the entry runs");
    });
    Entry { boot, task }
}

/// Starts an entry and waits until it takes callers.
pub async fn ready_entry(name: &str, domain: &str, store: &Platform) -> Entry {
    let entry = entry(name, domain, store.address(), Vec::new()).await;
    entry.wait_ready().await;
    entry
}

impl Entry {
    pub async fn wait_ready(&self) {
        let ready = async {
            loop {
                match get(self.boot.ready, "/ready", &[]).await {
                    Some(answer) if answer.status == 200 => return,
                    _ => sleep(Duration::from_millis(20)).await,
                }
            }
        };
        timeout(PATIENCE, ready).await.expect("the entry becomes ready");
    }

    /// Sends a request of a caller.
    pub async fn ask(&self, path: &str, id: &str) -> Answer {
        let headers = [("x-request-id", id), ("x-deadline-ms", "4000")];
        get(self.boot.front, path, &headers).await.expect("an answer")
    }

    /// Asks until `done` accepts the answer.
    pub async fn ask_until<F>(&self, path: &str, done: F) -> Answer
    where
        F: Fn(&Answer) -> bool,
    {
        let mut attempt = 0;
        let asked = async {
            loop {
                attempt += 1;
                let answer = self.ask(path, &format!("until-{attempt}")).await;
                if done(&answer) {
                    return answer;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(PATIENCE, asked).await.expect("the answer comes")
    }
}

/// An HTTP answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// Sends a request on a connection of its own and reads the whole answer.
pub async fn get(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let mut head = format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    timeout(PATIENCE, stream.read_to_end(&mut bytes)).await.expect("the answer ends").ok()?;
    parse(&bytes)
}

/// A connection for many requests.
#[derive(Debug)]
pub struct Kept {
    stream: TcpStream,
}

impl Kept {
    pub fn new(stream: TcpStream) -> Kept {
        Kept { stream }
    }

    /// Sends a request and reads its answer; `None` if the connection ends before.
    pub async fn ask(&mut self, path: &str, id: &str) -> Option<Answer> {
        let head = format!(
            "GET {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 3000\r\n\r\n"
        );
        self.stream.write_all(head.as_bytes()).await.ok()?;
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"\r\n\r\n") {
            bytes.push(self.stream.read_u8().await.ok()?);
        }
        let mut answer = parse(&bytes)?;
        let length = answer.header("content-length")?.parse().ok()?;
        answer.body = vec![0; length];
        self.stream.read_exact(&mut answer.body).await.ok()?;
        Some(answer)
    }
}

/// Sends a request and leaves the connection open.
pub async fn send(address: SocketAddr, path: &str, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("the request is sent");
    stream
}

fn parse(bytes: &[u8]) -> Option<Answer> {
    let end = bytes.windows(4).position(|it| it == b"\r\n\r\n")?;
    let head = String::from_utf8(bytes[..end].to_vec()).ok()?;
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    Some(Answer { status, headers, body: bytes[end + 4..].to_vec() })
}

/// Waits until `done` holds.
pub async fn eventually<F>(what: &str, done: F)
where
    F: Fn() -> bool,
{
    let check = async {
        while !done() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(PATIENCE, check).await.unwrap_or_else(|_| panic!("{what}"));
}
