//! Messages between daemons.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::catalog::StageRecord;
use crate::parts::Part;
use tt_model::Digest;
use tt_model::Epoch;
use tt_model::Revision;
use tt_model::StoreCall;

/// What a daemon has adopted. Carried in heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Versions {
    /// The adopted catalog revision; 0 if none.
    pub catalog: Revision,
    /// The adopted assignment epoch; 0 if none.
    pub epoch: Epoch,
}

impl Versions {
    /// Above all others: a pull with it as the known versions asks only for the versions.
    pub const MAX: Versions = Versions { catalog: Revision(u64::MAX), epoch: Epoch(u64::MAX) };
}

/// Asks a peer for what is missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// What the asking daemon knows already.
    pub known: Versions,
    /// Parts that it wants.
    pub parts: Vec<Digest>,
}

/// Entries, parts and the assignment: the content of a push and the answer to a pull.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// What the sender has adopted.
    pub versions: Versions,
    /// The revision after which all changed records are included.
    pub base: Revision,
    /// The records that changed after `base`.
    pub entries: Vec<StageRecord>,
    /// Parts, not necessarily all that the records need.
    pub parts: Vec<Part>,
    /// The assignment, if it is newer than what the receiver is known to have.
    pub assignment: Option<Vec<u8>>,
}

impl Update {
    /// The approximate size on the wire, for accounting.
    pub fn wire_bytes(&self) -> usize {
        let entries: usize = self
            .entries
            .iter()
            .map(|record| {
                let inline = record.manifest.inline.as_ref().map_or(0, |manifest| manifest.0.len());
                let history: usize =
                    record.history.iter().map(|change| 120 + change.operator.len()).sum();
                80 + record.key.environment.len() + 66 * inline + history
            })
            .sum();
        let parts: usize = self.parts.iter().map(|part| part.text().len() + 8).sum();
        32 + entries + parts + self.assignment.as_ref().map_or(0, Vec::len)
    }
}

impl PullRequest {
    /// The approximate size on the wire, for accounting.
    pub fn wire_bytes(&self) -> usize {
        32 + 66 * self.parts.len()
    }
}

/// Identifies a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies a pull.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PullId(pub u64);

/// A call that the I/O layer makes; its outcome comes back with the same id. The layer
/// reports `Lost` when its own timeout passes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRequest {
    /// The id of the call.
    pub id: CallId,
    /// The call.
    pub call: StoreCall,
}

/// What the I/O layer has to do for a daemon's control state.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Call the store.
    Store(StoreRequest),
    /// Ask a peer; the answer comes back with the same id.
    Pull {
        /// The id of the pull.
        id: PullId,
        /// The peer.
        to: SocketAddr,
        /// What to ask.
        request: PullRequest,
    },
    /// Send an update to a peer. Nothing is expected back.
    Push {
        /// The peer.
        to: SocketAddr,
        /// What to send.
        update: Update,
    },
    /// A catalog revision was adopted; the documents are in the replica.
    Adopted {
        /// The revision.
        revision: Revision,
    },
    /// A newer assignment arrived.
    Assignment {
        /// Its epoch.
        epoch: Epoch,
        /// The value at the key `assignment`.
        value: Vec<u8>,
    },
}

/// The key of the assignment in the store.
pub const ASSIGNMENT_KEY: &str = "assignment";
