//! Settings of the control plane.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use tt_model::Epoch;

/// Settings of a [`super::ControlPlane`].
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// The address at which this daemon receives messages of peers.
    pub address: SocketAddr,
    /// The failure domain of this daemon.
    pub domain: String,
    /// The seed of jitter and of the choice of peers; should differ between daemons.
    pub seed: u64,
    /// The time after which an unanswered pull is sent to another peer; doubled once three pulls in
    /// a row have failed. Equals five round trips between distant regions; a longer timeout delays
    /// the repair of a lost message.
    pub pull_timeout: Duration,
    /// The maximum number of parts requested in one pull.
    pub max_pull_parts: usize,
    /// The maximum size of the parts in the answer to one pull.
    pub max_answer_bytes: usize,
    /// The maximum size of the parts in a push. A change of a few lines alters one or two parts. A
    /// larger change is announced and pulled, so that no daemon is sent the same parts twice.
    pub max_push_bytes: usize,
    /// The maximum number of concurrent reads of parts from the store.
    pub max_store_reads: usize,
    /// The maximum number of peers with newer versions that are remembered as sources of pulls.
    pub max_sources: usize,
    /// The time that the second watcher waits for the first one's push.
    pub backup_delay: Duration,
    /// The time without a message of a peer after which the daemon reads the store itself.
    pub isolation_timeout: Duration,
    /// The mean interval between reads of the catalog by all daemons of a domain that do not watch
    /// the store. Such reads find changes if the watchers of the domain cannot reach the store.
    pub poll_interval: Duration,
    /// The time without contact to the store and to peers after which answers are marked as stale.
    pub stale_after: Duration,
    /// Decodes the epoch of an assignment; `None` if the value is not valid.
    pub read_epoch: fn(&[u8]) -> Option<Epoch>,
}

impl Default for ControlSettings {
    fn default() -> ControlSettings {
        ControlSettings {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            domain: String::new(),
            seed: 0,
            pull_timeout: Duration::from_millis(300),
            max_pull_parts: 64,
            max_answer_bytes: 1024 * 1024,
            max_push_bytes: 128 * 1024,
            max_store_reads: 8,
            max_sources: 8,
            backup_delay: Duration::from_millis(500),
            isolation_timeout: Duration::from_secs(5),
            poll_interval: Duration::from_secs(10),
            stale_after: Duration::from_secs(60),
            read_epoch: read_json_epoch,
        }
    }
}

/// Decodes the field `epoch` of a JSON object.
fn read_json_epoch(value: &[u8]) -> Option<Epoch> {
    #[derive(Deserialize)]
    struct Header {
        epoch: Epoch,
    }
    serde_json::from_slice::<Header>(value).ok().map(|header| header.epoch)
}
