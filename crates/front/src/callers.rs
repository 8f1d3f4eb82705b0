//! Accepts and serves connections of callers, and of the auxiliary HTTP interfaces.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Body as _;
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
use tokio::time::sleep;

use crate::answer::Body;
use crate::caller_memory::Account;
use crate::caller_memory::Holder;
use crate::caller_memory::MeteredStream;
use crate::connections::set_socket_options;
use crate::entry::Entry;
use crate::request;
use tt_serve::CallerLimits;

/// Connections that may wait to be accepted. The kernel drops the SYN packets of further ones.
const BACKLOG_CONNECTIONS: u32 = 1024;

/// Idle connections are closed after this multiple of the time that callers may leave them idle, so
/// that none is closed while a request is in transit.
const IDLE_TIMEOUT_FACTOR: u32 = 2;

/// Delay after a failure to accept a connection, such as running out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long connections stay open when they are to be closed, so that requests are read that the
/// kernel has received already.
const UNREAD_PERIOD: Duration = Duration::from_millis(300);

/// Idle timeout of connections to the auxiliary interfaces.
const AUXILIARY_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Minimum size of a buffer for heads, which `hyper` requires.
const MIN_HEAD_BYTES: usize = 8192;

/// Maximum size of a head at the auxiliary interfaces; the default of the callers' limit.
const AUXILIARY_HEAD_BYTES: usize = 16 * 1024;

/// Stage of the stop of the daemon, for the connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopStage {
    /// Connections stay open.
    Serving,
    /// Connections are closed as soon as they are idle.
    ClosingConnections,
}

/// Binds a listener to an IPv4 address.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG_CONNECTIONS)
}

/// Accepts the next connection and sets its socket options. `interface` is for the log.
async fn accept(listener: &TcpListener, interface: &str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                set_socket_options(&stream);
                return stream;
            }
            Err(error) => {
                log::warn!("{interface}: accept=\"{error}\"");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Number of open connections of callers.
#[derive(Debug, Default)]
pub(crate) struct OpenConnections {
    count: AtomicUsize,
}

impl OpenConnections {
    pub(crate) fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}

/// Serves callers until connections are to be closed. Those that the kernel has accepted by then
/// are still served, since a request may already have been sent on them.
pub(crate) async fn serve(
    entry: Arc<Entry>,
    listener: TcpListener,
    mut stage: watch::Receiver<StopStage>,
    open: Arc<OpenConnections>,
) {
    let connection_stage = stage.clone();
    let account = entry.accounts.callers.clone();
    let serve = |stream, holder| {
        let connection = serve_connection(entry.clone(), stream, holder, connection_stage.clone());
        let open = open.clone();
        open.count.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            connection.await;
            open.count.fetch_sub(1, Ordering::Relaxed);
        });
    };
    loop {
        let stream = tokio::select! {
            stream = accept(&listener, "callers") => stream,
            // An error means that the daemon has ended.
            _ = stage.wait_for(|stage| *stage == StopStage::ClosingConnections) => break,
        };
        if let Some(holder) = account.admit(head_bytes(&entry), stream.peer_addr().ok()).await {
            serve(stream, holder);
        }
    }
    // Asks the kernel itself: readiness that the runtime has not seen yet doesn't show otherwise.
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!("callers: stop=\"{error}\"");
            return;
        }
    };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        match stream {
            Ok(stream) => {
                set_socket_options(&stream);
                if let Some(holder) = account.try_admit(head_bytes(&entry), stream.peer_addr().ok())
                {
                    serve(stream, holder);
                }
            }
            Err(error) => log::warn!("callers: accept=\"{error}\""),
        }
    }
}

fn caller_limits(entry: &Entry) -> CallerLimits {
    entry.active_config().map_or_else(CallerLimits::default, |config| config.table.limits)
}

/// Size of the buffer in which the heads of a connection are read.
fn head_bytes(entry: &Entry) -> usize {
    caller_limits(entry).max_head_bytes.max(MIN_HEAD_BYTES)
}

async fn serve_connection(
    entry: Arc<Entry>,
    stream: TcpStream,
    holder: Arc<Holder>,
    stage: watch::Receiver<StopStage>,
) {
    let limits = caller_limits(&entry);
    let max_buf_size = head_bytes(&entry);
    let stream = MeteredStream::new(stream, holder.clone());
    let request_holder = holder.clone();
    let service =
        service_fn(move |request| respond(entry.clone(), request, request_holder.clone()));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout * IDLE_TIMEOUT_FACTOR)
        .max_buf_size(max_buf_size);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // First, so that no request starts on a connection that is to be closed.
        biased;
        () = holder.closed() => {}
        () = run_connection(connection, stage) => {}
    }
}

async fn respond(
    entry: Arc<Entry>,
    request: Request<Incoming>,
    holder: Arc<Holder>,
) -> Result<Response<Body>, Infallible> {
    let state = entry.clone();
    holder.start_request();
    let has_body = request.method() != Method::HEAD;
    let mut response = request::answer(entry, request, &holder).await;
    holder.start_answer(if has_body { answer_bytes(&response) } else { Some(0) });
    if state.is_draining() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// The size of the body of an answer; `None` for one that is sent while it is produced.
fn answer_bytes(response: &Response<Body>) -> Option<usize> {
    usize::try_from(response.body().size_hint().exact()?).ok()
}

async fn run_connection<S>(
    connection: http1::Connection<TokioIo<MeteredStream>, S>,
    mut stage: watch::Receiver<StopStage>,
) where
    S: hyper::service::HttpService<Incoming, ResBody = Body>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connection = std::pin::pin!(connection);
    let stop_signal = async {
        // An error means that the daemon has ended; this task ends too.
        let _ = stage.wait_for(|stage| *stage == StopStage::ClosingConnections).await;
        sleep(UNREAD_PERIOD).await;
    };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stop_signal => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("callers: closed=\"{error}\"");
    }
}

/// Serves an HTTP interface other than that of callers, such as the directory.
pub(crate) async fn serve_auxiliary<F, A>(listener: TcpListener, account: Arc<Account>, answer: F)
where
    F: Fn(Request<Incoming>, Arc<Holder>) -> A + Clone + Send + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let stream = accept(&listener, "plain").await;
        let address = stream.peer_addr().ok();
        let Some(holder) = account.admit(AUXILIARY_HEAD_BYTES, address).await else { continue };
        let answer = answer.clone();
        tokio::spawn(async move {
            let stream = MeteredStream::new(stream, holder.clone());
            let request_holder = holder.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let (answer, holder) = (answer.clone(), request_holder.clone());
                async move {
                    holder.start_request();
                    let has_body = request.method() != Method::HEAD;
                    let response = answer(request, holder.clone()).await;
                    holder.start_answer(if has_body { answer_bytes(&response) } else { Some(0) });
                    Ok::<_, Infallible>(response)
                }
            });
            let mut builder = http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(AUXILIARY_IDLE_TIMEOUT)
                .max_buf_size(AUXILIARY_HEAD_BYTES);
            tokio::select! {
                biased;
                () = holder.closed() => {}
                result = builder.serve_connection(TokioIo::new(stream), service) => {
                    if let Err(error) = result {
                        log::debug!("plain: closed=\"{error}\"");
                    }
                }
            }
        });
    }
}
