//! Settings of a daemon's control state.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use tt_model::Epoch;

/// Settings of a daemon's control state.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// The address of this daemon.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Seed of jitter and of the choice of peers; should differ between daemons.
    pub seed: u64,
    /// Another peer is asked when a pull has no answer after this time, or after twice the time
    /// once three pulls in a row have failed. Five round trips between distant regions; a
    /// longer time delays the repair of a lost message.
    pub pull_timeout: Duration,
    /// Parts asked for in one pull.
    pub max_pull_parts: usize,
    /// Part bytes in the answer to one pull.
    pub max_answer_bytes: usize,
    /// Part bytes in a push. A change of a few lines alters one or two parts; a larger
    /// change is announced and pulled, so that nobody is sent what another has sent already.
    pub max_push_bytes: usize,
    /// Reads of parts from the store at the same time.
    pub max_store_reads: usize,
    /// Peers remembered as sources of a pull.
    pub max_sources: usize,
    /// How long the second watcher waits for the first one's push.
    pub backup_delay: Duration,
    /// Without a message of a peer for this time, the daemon asks the store itself.
    pub isolation_timeout: Duration,
    /// The mean time between reads of the catalog by daemons that do not watch, counted for
    /// the whole domain. Covers a domain whose watchers cannot reach the store.
    pub poll_interval: Duration,
    /// Without contact to store and peers for this time, answers carry the stale mark.
    pub stale_after: Duration,
    /// Reads the epoch of an assignment value.
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

/// Reads the field `epoch` of a JSON object.
fn read_json_epoch(value: &[u8]) -> Option<Epoch> {
    #[derive(Deserialize)]
    struct Header {
        epoch: Epoch,
    }
    serde_json::from_slice::<Header>(value).ok().map(|header| header.epoch)
}
