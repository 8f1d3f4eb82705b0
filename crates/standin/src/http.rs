//! A minimal HTTP/1.1 server whose handler can refuse connections and close them without a
//! reply.

use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// A request whose body has been read.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) request: Request<()>,
    pub(crate) body: Bytes,
}

/// How a call ends.
#[derive(Debug)]
pub(crate) enum Answer {
    /// With a reply.
    Reply(Response<Full<Bytes>>),
    /// With a success whose body does not end.
    Endless,
    /// With the connection closed without a reply.
    Close,
}

/// A body without end.
#[derive(Debug)]
struct EndlessBody;

impl Body for EndlessBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(&[b'0'; 4096])))))
    }
}

/// A stand-in's handling of connections and calls.
pub(crate) trait Handler: Send + Sync + 'static {
    /// State kept while a connection is open; dropped when it ends.
    type Connection: Send + Sync + 'static;

    /// Accepts a new connection, or closes it by returning `None`.
    fn connected(self: &Arc<Self>) -> impl Future<Output = Option<Self::Connection>> + Send;

    /// Answers one call.
    fn call(self: &Arc<Self>, call: Call) -> impl Future<Output = Answer> + Send;
}

/// A running server. Dropping it ends the accept loop and closes its connections.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    accept: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

/// Serves `handler` at `address`; port 0 picks a free one.
pub(crate) async fn serve<H>(address: SocketAddr, handler: Arc<H>) -> std::io::Result<Server>
where
    H: Handler,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let accept = tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            connections.spawn(connection(stream, handler.clone()));
        }
    });
    Ok(Server { address, accept })
}

async fn connection<H>(stream: TcpStream, handler: Arc<H>)
where
    H: Handler,
{
    let _ = stream.set_nodelay(true);
    let Some(_guard) = handler.connected().await else {
        return;
    };
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        async move {
            let (parts, body) = request.into_parts();
            let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
                let refused = reply(StatusCode::PAYLOAD_TOO_LARGE, Bytes::new());
                return Ok::<_, Closed>(refused.map(Either::Left));
            };
            let call = Call { request: Request::from_parts(parts, ()), body: body.to_bytes() };
            match handler.call(call).await {
                Answer::Reply(response) => Ok(response.map(Either::Left)),
                Answer::Endless => Ok(Response::new(Either::Right(EndlessBody))),
                Answer::Close => Err(Closed),
            }
        }
    });
    // An error only means that the connection ended, which the client notices itself.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// The error that makes hyper close a connection without a reply.
#[derive(Debug)]
struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed")
    }
}

impl std::error::Error for Closed {}

pub(crate) fn reply(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
