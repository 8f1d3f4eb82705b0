//! A stand-in for a searcher that does what PROTOCOL.md says of one.

use std::io::BufReader;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::http::Request;
use crate::http::header;
use crate::http::read_request;
use crate::http::write_response;
use crate::store::Store;

/// A request that reached a searcher.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub searcher: String,
    pub service: String,
    pub request: String,
    pub ran: bool,
    /// The status of its answer.
    pub status: u16,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// What a searcher does with a request that it has accepted.
pub type Work = Arc<dyn Fn(&Task) -> Outcome + Send + Sync>;

/// The request that a searcher works on.
#[derive(Debug)]
pub struct Task {
    pub service: String,
    pub searcher: String,
    pub request: String,
}

/// How the work on a request ends.
#[derive(Debug)]
pub struct Outcome {
    pub takes: Duration,
    pub status: u16,
    pub body: Vec<u8>,
    /// With `Some`, the searcher turns the request away (503, not run) and wants nothing for so
    /// many seconds.
    pub rest: Option<u32>,
}

impl Outcome {
    /// A run that ends with this status and body.
    pub fn run(takes_ms: u64, status: u16, body: Vec<u8>) -> Outcome {
        Outcome { takes: Duration::from_millis(takes_ms), status, body, rest: None }
    }
}

/// What a searcher registers.
#[derive(Debug, Clone)]
pub struct Registration {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub born: u64,
}

/// A searcher from its start to its end.
pub struct Searcher {
    pub registration: Registration,
    store: Store,
    sequence: Arc<AtomicU64>,
    draining: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
    /// While set, it neither pings nor answers.
    dark: Arc<AtomicBool>,
    /// Set once it has left; it pings no more.
    left: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

/// Interval of the pings of searchers, `heartbeat_ms` of the settings.
const PING_INTERVAL: Duration = Duration::from_millis(1200);

impl Searcher {
    /// Starts to serve and registers as ready.
    pub fn start(
        registration: Registration,
        store: &Store,
        arrivals: &Arrivals,
        work: Work,
    ) -> Searcher {
        let listener = bind(registration.address);
        listener.set_nonblocking(true).expect("a listener that doesn't block");
        let searcher = Searcher {
            registration,
            store: store.clone(),
            sequence: Arc::default(),
            draining: Arc::default(),
            ended: Arc::default(),
            dark: Arc::default(),
            left: Arc::default(),
            streams: Arc::default(),
        };
        searcher.ping();
        let (ended, streams) = (searcher.ended.clone(), searcher.streams.clone());
        let dark = searcher.dark.clone();
        let registration = searcher.registration.clone();
        let arrivals = arrivals.clone();
        thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let Ok(kept) = stream.try_clone() else { continue };
                streams.lock().unwrap().push(kept);
                let (registration, arrivals) = (registration.clone(), arrivals.clone());
                let (work, ended, dark) = (work.clone(), ended.clone(), dark.clone());
                thread::spawn(move || {
                    serve(stream, &registration, &arrivals, &work, &ended, &dark);
                });
            }
        });
        let (ended, store) = (searcher.ended.clone(), searcher.store.clone());
        let (sequence, draining) = (searcher.sequence.clone(), searcher.draining.clone());
        let (dark, left) = (searcher.dark.clone(), searcher.left.clone());
        let registration = searcher.registration.clone();
        thread::spawn(move || {
            loop {
                sleep(PING_INTERVAL);
                if ended.load(Ordering::SeqCst) {
                    return;
                }
                if !dark.load(Ordering::SeqCst) && !left.load(Ordering::SeqCst) {
                    ping(&store, &registration, &sequence, draining.load(Ordering::SeqCst));
                }
            }
        });
        searcher
    }

    fn ping(&self) -> Instant {
        ping(&self.store, &self.registration, &self.sequence, self.draining.load(Ordering::SeqCst))
    }

    /// Reports that it is draining. Returns when the store accepted that.
    pub fn drain(&self) -> Instant {
        self.draining.store(true, Ordering::SeqCst);
        self.ping()
    }

    /// Leaves without reporting that it is draining: its entry is removed, and it goes on serving.
    /// Returns when the store accepted that.
    pub fn leave(&self) -> Instant {
        self.left.store(true, Ordering::SeqCst);
        self.store.remove(&format!("servers/{}", self.registration.id))
    }

    /// Is silent for `time` and then goes on, in the same lifetime. Its registration is removed
    /// after three ping intervals. Returns when it was removed, and when it was written again.
    pub fn go_dark(&self, time: Duration) -> (Instant, Instant) {
        let silent = 3 * PING_INTERVAL;
        self.dark.store(true, Ordering::SeqCst);
        self.ping();
        sleep(silent);
        let removed = self.store.remove(&format!("servers/{}", self.registration.id));
        sleep(time - silent);
        self.dark.store(false, Ordering::SeqCst);
        (removed, self.ping())
    }

    /// Ends like a crash: its port closes and its connections are reset. Its registration stays.
    pub fn crash(self) -> Registration {
        self.ended.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.registration
    }
}

fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        sleep(Duration::from_millis(10));
    }
    panic!("the address {address} is not free");
}

fn ping(store: &Store, it: &Registration, sequence: &AtomicU64, draining: bool) -> Instant {
    let sequence = sequence.fetch_add(1, Ordering::SeqCst) + 1;
    let state = if draining { "draining" } else { "ready" };
    let value = format!(
        r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":2,"state":"{state}","cold_left_ms":0,"sequence":{sequence},"born":{}}}"#,
        it.service, it.address, it.zone, it.born
    );
    store.put(&format!("servers/{}", it.id), &value)
}

fn serve(
    stream: TcpStream,
    registration: &Registration,
    arrivals: &Arrivals,
    work: &Work,
    ended: &AtomicBool,
    dark: &AtomicBool,
) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(request) = read_request(&mut reader) {
        while dark.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(5));
        }
        if ended.load(Ordering::SeqCst)
            || !answer(&mut writer, &request, registration, arrivals, work)
        {
            return;
        }
    }
}

/// Answers a request. Returns whether the connection goes on.
fn answer(
    writer: &mut TcpStream,
    request: &Request,
    registration: &Registration,
    arrivals: &Arrivals,
    work: &Work,
) -> bool {
    let at = Instant::now();
    let id = header(&request.headers, "x-request-id").unwrap_or_default().to_owned();
    let expected = header(&request.headers, "x-expect-instance");
    let record = |ran: bool, status: u16| {
        arrivals.lock().unwrap().push(Arrival {
            at,
            searcher: registration.id.clone(),
            service: registration.service.clone(),
            request: id.clone(),
            ran,
            status,
        });
    };
    if request.target.starts_with("/healthz") {
        let headers = [("X-Instance-Id", registration.id.as_str())];
        return write_response(writer, 200, &headers, b"").is_ok();
    }
    if expected.is_some_and(|it| it != registration.id) {
        record(false, 421);
        let headers = [("X-Request-Id", id.as_str()), ("X-Instance-Id", registration.id.as_str())];
        return write_response(writer, 421, &headers, b"").is_ok();
    }
    if id.is_empty() {
        record(false, 400);
        return write_response(writer, 400, &[("X-Not-Executed", "1")], b"").is_ok();
    }
    let Outcome { takes, status, body, rest } = work(&Task {
        service: registration.service.clone(),
        searcher: registration.id.clone(),
        request: id.clone(),
    });
    if let Some(seconds) = rest {
        record(false, 503);
        let seconds = seconds.to_string();
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Not-Executed", "1"),
            ("Retry-After", seconds.as_str()),
        ];
        return write_response(writer, 503, &headers, b"").is_ok();
    }
    record(true, status);
    sleep(takes);
    let stamp = format!("{}.{id}", registration.id);
    let headers = [("X-Request-Id", id.as_str()), ("X-Server-Stamp", stamp.as_str())];
    write_response(writer, status, &headers, &body).is_ok()
}
