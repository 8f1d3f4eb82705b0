//! Calls to other daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use tonic::Code;
use tonic::Streaming;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::codec;
use tt_rpc::CancelRequest;
use tt_rpc::Envelope;
use tt_rpc::GatherRequest;
use tt_rpc::Kind;
use tt_rpc::SubReply;
use tt_rpc::TierClient;

/// Timeout of a connection attempt to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum size of a message between daemons. Pulls of document parts are the largest.
pub(crate) const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Why a message has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// The peer was not reached, so it has certainly not acted.
    NotSent,
    /// There is no valid answer, and the peer may have acted.
    NoReply,
}

/// Connections to other daemons, made when first used.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    channels: Mutex<HashMap<SocketAddr, TierClient<Channel>>>,
}

impl Peers {
    /// Sends a control message and waits for its answer.
    pub(crate) async fn exchange<Q, A>(
        &self,
        peer: SocketAddr,
        kind: Kind,
        message: &Q,
        answer_timeout: Duration,
    ) -> Result<A, ExchangeError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let payload = codec::encode(message);
        let envelope = Envelope { kind: kind.into(), payload };
        let mut client = self.client(peer);
        let answer = match timeout(answer_timeout, client.exchange(envelope)).await {
            Ok(Ok(answer)) => answer.into_inner(),
            Ok(Err(status)) => return Err(failure(&status)),
            Err(_) => return Err(ExchangeError::NoReply),
        };
        codec::decode(&answer.payload).map_err(|_| ExchangeError::NoReply)
    }

    /// Starts sub-queries at another daemon and returns the stream of their replies.
    pub(crate) async fn gather(
        &self,
        peer: SocketAddr,
        request: GatherRequest,
    ) -> Result<Streaming<SubReply>, ExchangeError> {
        let mut client = self.client(peer);
        let answer = client.gather(request).await.map_err(|status| failure(&status))?;
        Ok(answer.into_inner())
    }

    /// Cancels sub-queries at another daemon.
    pub(crate) async fn cancel(&self, peer: SocketAddr, request: CancelRequest) {
        let mut client = self.client(peer);
        // The result does not matter: the entry no longer waits for these sub-queries.
        let _ = client.cancel_subs(request).await;
    }

    fn client(&self, peer: SocketAddr) -> TierClient<Channel> {
        self.lock().entry(peer).or_insert_with(|| connect(peer)).clone()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, TierClient<Channel>>> {
        self.channels.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn connect(peer: SocketAddr) -> TierClient<Channel> {
    // A socket address is always a valid authority.
    let endpoint = Endpoint::from_shared(format!("http://{peer}"))
        .expect("a socket address forms a valid URI")
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(Duration::from_secs(5))
        .keep_alive_timeout(Duration::from_secs(2));
    TierClient::new(endpoint.connect_lazy())
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

/// tonic reports a refused connection as `Unavailable` with an IO error among its sources. After
/// any other failure the peer may have acted.
fn failure(status: &tonic::Status) -> ExchangeError {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        let is_connect = error
            .downcast_ref::<std::io::Error>()
            .is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused);
        if status.code() == Code::Unavailable && is_connect {
            return ExchangeError::NotSent;
        }
        source = error.source();
    }
    ExchangeError::NoReply
}
