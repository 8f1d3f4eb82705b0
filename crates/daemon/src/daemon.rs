//! Start and stop of a daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::http;
use crate::http::Interface;
use crate::http::Listener;
use crate::metrics;
use crate::node::Node;
use crate::peers;
use crate::settings::Settings;
use crate::tasks;
use tt_membership::drain::Stage;
use tt_membership::members::Intent;
use tt_model::ResultCode;

/// How long a stop waits at its end for calls of other daemons that are in flight.
const PEER_STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    node: Arc<Node>,
    callers: Listener,
    operators: Listener,
    peers: peers::Server,
    tasks: JoinSet<()>,
}

/// The daemon cannot listen at an address.
#[derive(Debug, Display, Error)]
#[display("{address}: {error} (result code {})", ResultCode::AddressInUse)]
pub struct StartError {
    address: SocketAddr,
    #[error(source)]
    error: io::Error,
}

impl Daemon {
    /// Binds the addresses of `settings` and starts the servers and the tasks. Fails if an
    /// address cannot be bound.
    pub async fn start(settings: Settings) -> Result<Daemon, StartError> {
        metrics::install();
        let listen = settings.listen;
        let failed = |address| move |error| StartError { address, error };
        let listener = TcpListener::bind(listen.peers).await.map_err(failed(listen.peers))?;
        let address = listener.local_addr().map_err(failed(listen.peers))?;
        let node = Node::new(settings, address);
        let peers = peers::start(node.clone(), listener).map_err(failed(listen.peers))?;
        let callers = http::start(node.clone(), Interface::Callers, listen.callers)
            .map_err(failed(listen.callers))?;
        let operators = http::start(node.clone(), Interface::Operators, listen.operators)
            .map_err(failed(listen.operators))?;
        node.set_caller_address(callers.address);
        let tasks = tasks::start(&node);
        log::info!(
            "daemon: Started. Callers at {}, operators at {}, daemons at {}.",
            callers.address,
            operators.address,
            peers.address
        );
        Ok(Daemon { node, callers, operators, peers, tasks })
    }

    /// The address at which callers are served.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address
    }

    /// The address at which operators are served.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address
    }

    /// The address at which other daemons are served.
    pub fn peers(&self) -> SocketAddr {
        self.peers.address
    }

    /// Waits until an operator has requested a stop.
    pub async fn drain_requested(&self) {
        while self.node.drain().stage() == Stage::Running {
            self.node.stopping.notified().await;
        }
    }

    /// Stops gracefully: callers are no longer given this address, searchers are handed over to
    /// other daemons, and requests in flight are finished.
    pub async fn stop(self) {
        self.node.start_drain();
        while self.node.drain().stage() != Stage::Stopped {
            self.node.stopping.notified().await;
        }
        self.callers.stop().await;
        self.operators.stop().await;
        self.node.announce(Intent::Stopped);
        self.node.tick_members();
        self.peers.stop(PEER_STOP_TIMEOUT).await;
        let mut tasks = self.tasks;
        tasks.shutdown().await;
        log::info!("daemon: Stopped.");
    }
}
