//! The `tonic` server for other daemons.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio_stream::Stream;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::server::TcpIncoming;

use crate::node::Node;
use crate::peers::QueryOrigin;
use crate::peers::client::MAX_MESSAGE_BYTES;
use crate::peers::gather::GatherGuard;
use tt_rpc::CancelReply;
use tt_rpc::CancelRequest;
use tt_rpc::Envelope;
use tt_rpc::GatherRequest;
use tt_rpc::SubReply;
use tt_rpc::Tier;
use tt_rpc::TierServer;

/// A running server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

/// Starts the server on `listener`.
pub(crate) fn start(node: Arc<Node>, listener: TcpListener) -> io::Result<Server> {
    let address = listener.local_addr()?;
    // Without TCP_NODELAY a reply waits up to 40 ms for the acknowledgement of the previous one.
    // The server's own setting does not apply to a listener that it did not open.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let (stop, stopped) = oneshot::channel();
    let service = TierServer::new(Service { node })
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let server = tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(Duration::from_secs(5)))
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, async {
            // A dropped sender also means that the daemon stops.
            let _ = stopped.await;
        });
    let task = tokio::spawn(async move {
        if let Err(error) = server.await {
            log::error!("peers: The server for other daemons has ended: {error}.");
        }
    });
    Ok(Server { address, stop, task })
}

impl Server {
    /// Stops accepting calls and waits for those in flight. Other daemons keep their connections
    /// open, so the server is aborted after `stop_timeout`.
    pub(crate) async fn stop(self, stop_timeout: Duration) {
        let _ = self.stop.send(());
        let abort = self.task.abort_handle();
        if tokio::time::timeout(stop_timeout, self.task).await.is_err() {
            abort.abort();
        }
    }
}

#[derive(Debug)]
struct Service {
    node: Arc<Node>,
}

/// The reply stream of one `Gather` call. Dropping it cancels the unfinished sub-queries.
#[derive(Debug)]
pub(crate) struct Replies {
    replies: UnboundedReceiverStream<SubReply>,
    _guard: GatherGuard,
}

impl Stream for Replies {
    type Item = Result<SubReply, Status>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        Pin::new(&mut self.replies).poll_next(cx).map(|reply| reply.map(Ok))
    }
}

#[tonic::async_trait]
impl Tier for Service {
    type GatherStream = Replies;

    async fn gather(&self, request: Request<GatherRequest>) -> Result<Response<Replies>, Status> {
        let request = request.into_inner();
        let origin = QueryOrigin { incarnation: request.incarnation, query: request.query };
        let (sender, replies) = mpsc::unbounded_channel();
        let handles = self.node.queue_sub_queries(request, &sender);
        let guard = self.node.running.add(origin, handles);
        let replies = UnboundedReceiverStream::new(replies);
        Ok(Response::new(Replies { replies, _guard: guard }))
    }

    async fn cancel_subs(
        &self,
        request: Request<CancelRequest>,
    ) -> Result<Response<CancelReply>, Status> {
        let request = request.into_inner();
        let origin = QueryOrigin { incarnation: request.incarnation, query: request.query };
        self.node.running.cancel(origin, &request.keys);
        Ok(Response::new(CancelReply {}))
    }

    async fn exchange(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        self.node.exchange(request.into_inner()).await.map(Response::new)
    }
}
