//! The HTTP servers for callers and operators, built on `xitca-web`.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::sync::oneshot;
use xitca_web::App;
use xitca_web::WebContext;
use xitca_web::error::Error;
use xitca_web::http::HeaderValue;
use xitca_web::http::StatusCode;
use xitca_web::http::WebResponse;
use xitca_web::http::header::CONTENT_LENGTH;
use xitca_web::http::header::CONTENT_TYPE;
use xitca_web::service::fn_service;

use crate::http::answer::Answer;
use crate::http::body;
use crate::http::callers;
use crate::http::operators;
use crate::node::Node;
use tt_front::Account;
use tt_model::ResultCode;

/// The connection is closed if a request's head or body takes longer than this to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Which interface a server offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Interface {
    Callers,
    Operators,
}

/// A running server.
pub(crate) struct Listener {
    pub(crate) address: SocketAddr,
    stop: Box<dyn Fn(Stop) + Send + Sync>,
    ended: Option<oneshot::Receiver<()>>,
}

/// How a server stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stop {
    Graceful,
    AtOnce,
}

/// A request with its body.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) body: Vec<u8>,
}

#[derive(Debug, Clone)]
struct State {
    node: Arc<Node>,
    interface: Interface,
    account: Arc<Account>,
}

/// Starts the server of one interface.
pub(crate) fn start(
    node: Arc<Node>,
    interface: Interface,
    address: SocketAddr,
) -> io::Result<Listener> {
    let listener = TcpListener::bind(address)?;
    // Accepted sockets inherit TCP_NODELAY. Without it, the end of a large answer waits up to
    // 40 ms for the acknowledgement of its start.
    SockRef::from(&listener).set_tcp_nodelay(true)?;
    let address = listener.local_addr()?;
    let threads = match interface {
        Interface::Callers => node.settings.threads,
        Interface::Operators => 1,
    };
    let name = match interface {
        Interface::Callers => "callers",
        Interface::Operators => "operators",
    };
    let memory_bytes = node.settings.callers.memory_bytes;
    let account = body::account(name, memory_bytes);
    let mut server = App::new()
        .with_state(State { node, interface, account })
        .at("/", fn_service(handle))
        .at("/{*path}", fn_service(handle))
        .serve()
        .worker_threads(threads)
        .request_head_timeout(HEAD_TIMEOUT)
        .max_read_buf_size::<{ body::HEAD_BYTES }>()
        .disable_signal()
        .listen(listener)?
        .run();
    let handle = server.handle()?;
    let (end, ended) = oneshot::channel();
    // The server owns runtimes, which must not be dropped in a task of another runtime.
    std::thread::Builder::new().name("http".to_owned()).spawn(move || {
        if let Err(error) = server.wait() {
            log::error!("http: The server has ended: {error}.");
        }
        // The listener may have been dropped meanwhile.
        let _ = end.send(());
    })?;
    let stop = move |stop| handle.stop(stop == Stop::Graceful);
    Ok(Listener { address, stop: Box::new(stop), ended: Some(ended) })
}

impl Listener {
    /// Stops accepting connections and waits until requests in flight have been answered.
    pub(crate) async fn stop(mut self) {
        (self.stop)(Stop::Graceful);
        if let Some(ended) = self.ended.take() {
            // An error means that the sender is dropped, so the server has ended.
            let _ = ended.await;
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        if self.ended.is_some() {
            (self.stop)(Stop::AtOnce);
        }
    }
}

impl fmt::Debug for Listener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Listener").field("address", &self.address).finish_non_exhaustive()
    }
}

/// The value of a parameter in the query part of a URI.
pub(crate) fn parameter(query: &str, name: &str) -> Option<String> {
    form_urlencoded::parse(query.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

async fn handle(mut context: WebContext<'_, State>) -> Result<WebResponse, Error> {
    let State { node, interface, account } = context.state().clone();
    let uri = context.req().uri();
    let path = uri.path().to_owned();
    let query = uri.query().unwrap_or_default().to_owned();
    let method = context.req().method().as_str().to_owned();
    let limit = match interface {
        Interface::Callers => node.settings.callers.body_bytes,
        Interface::Operators => tt_model::MAX_DOCUMENT_BYTES,
    };
    let announced = context.req().headers().get(CONTENT_LENGTH);
    let announced = announced.and_then(|length| length.to_str().ok()?.parse().ok());
    let caller = *context.req().body().socket_addr();
    let body = std::mem::take(context.body_get_mut());
    let answer = match body::receive(&account, caller, body, announced, limit).await {
        Ok(mut held) => {
            let body = std::mem::take(&mut held.bytes);
            // `held` keeps the charge until the answer is ready.
            let request = Request { method, path, query, body };
            match interface {
                Interface::Callers => callers::answer(&node, request).await,
                Interface::Operators => operators::answer(&node, request).await,
            }
        }
        Err(ResultCode::BodyTooLarge) => {
            Answer::error(ResultCode::BodyTooLarge, format!("the limit is {limit} bytes"))
        }
        Err(code) => Answer::error(code, "the body was not received".to_owned()),
    };
    let mut response = context.into_response(answer.body);
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let kind = HeaderValue::from_static(answer.kind.header());
    response.headers_mut().insert(CONTENT_TYPE, kind);
    Ok(response)
}
