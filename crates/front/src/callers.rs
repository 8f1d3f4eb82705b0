//! Connections of callers.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::answer::Body;
use crate::connections::set_socket_options;
use crate::entry::Entry;
use crate::request;
use tt_serve::CallerLimits;

/// Connections that may wait to be accepted; an opening packet beyond them is lost.
const BACKLOG: u32 = 1024;

/// Connections are kept this many times as long as callers may leave them idle, so that none is
/// closed under a request that is on its way.
const IDLE_FACTOR: u32 = 2;

/// Pause after a connection could not be accepted, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Idle time of connections to small interfaces.
const PLAIN_IDLE: Duration = Duration::from_secs(20);

/// How far the stop of the daemon has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stop {
    /// It serves.
    No,
    /// Connections end as soon as they are idle.
    Connections,
}

/// Listens on an address.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The next connection, with its options set. `part` names the interface in logs.
async fn accept(listener: &TcpListener, part: &str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                set_socket_options(&stream);
                return stream;
            }
            Err(error) => {
                log::warn!("{part}: accept=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Counts open connections.
#[derive(Debug, Default)]
pub(crate) struct Open {
    count: AtomicUsize,
}

impl Open {
    pub(crate) fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}

/// Serves callers until the task is dropped.
pub(crate) async fn serve(
    entry: Arc<Entry>,
    listener: TcpListener,
    stop: watch::Receiver<Stop>,
    open: Arc<Open>,
) {
    loop {
        let stream = accept(&listener, "callers").await;
        let entry = entry.clone();
        let open = open.clone();
        let stop = stop.clone();
        open.count.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            let limits =
                entry.active_config().map_or_else(CallerLimits::default, |it| it.table.limits);
            let service = service_fn(move |request| respond(entry.clone(), request));
            let mut builder = http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(limits.idle_time * IDLE_FACTOR)
                .max_buf_size(limits.head.max(8192));
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            run_connection(connection, stop).await;
            open.count.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn respond(
    entry: Arc<Entry>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let draining = entry.clone();
    let mut response = request::answer(entry, request).await;
    if draining.is_draining() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn run_connection<S>(
    connection: http1::Connection<TokioIo<TcpStream>, S>,
    mut stop: watch::Receiver<Stop>,
) where
    S: hyper::service::HttpService<Incoming, ResBody = Body>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connection = std::pin::pin!(connection);
    let stopping = async {
        // An error means that the daemon is gone, and this task with it.
        let _ = stop.wait_for(|stop| *stop == Stop::Connections).await;
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stopping => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("callers: closed=\"{error}\"");
    }
}

/// Serves a small interface, like the directory, on an address of its own.
pub(crate) async fn serve_plain<F, A>(listener: TcpListener, answer: F)
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let stream = accept(&listener, "plain").await;
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let answer = answer(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(PLAIN_IDLE);
            if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
                log::debug!("plain: closed=\"{error}\"");
            }
        });
    }
}
