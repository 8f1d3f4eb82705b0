//! Messages between daemons, and actions for the I/O layer.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::catalog::StageRecord;
use crate::parts::Part;
use tt_model::Digest;
use tt_model::Epoch;
use tt_model::Revision;
use tt_model::StoreCall;

/// The configuration that a daemon has adopted. Sent in heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Versions {
    /// The adopted catalog revision; 0 if none.
    pub catalog: Revision,
    /// The adopted assignment epoch; 0 if none.
    pub epoch: Epoch,
}

impl Versions {
    /// Newer than any other: the answer to a pull with these known versions contains no records,
    /// only the versions of the peer.
    pub const MAX: Versions = Versions { catalog: Revision(u64::MAX), epoch: Epoch(u64::MAX) };
}

/// Asks a peer for newer records, a newer assignment and missing parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// The newest versions that the sender knows, adopted or not.
    pub known: Versions,
    /// The digests of parts that the sender lacks.
    pub parts: Vec<Digest>,
}

/// Catalog records, parts and the assignment: the content of a push and the answer to a pull.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The versions that the sender has adopted.
    pub versions: Versions,
    /// The catalog revision to which `entries` applies.
    pub base: Revision,
    /// All catalog records that changed after `base`.
    pub entries: Vec<StageRecord>,
    /// Parts of documents. They may be incomplete; the receiver pulls the others.
    pub parts: Vec<Part>,
    /// The encoded assignment, if it is newer than the one that the receiver has announced.
    pub assignment: Option<Vec<u8>>,
}

impl Update {
    /// The approximate size of the encoded message, for measurements.
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
    /// The approximate size of the encoded message, for measurements.
    pub fn wire_bytes(&self) -> usize {
        32 + 66 * self.parts.len()
    }
}

/// Identifies a store call of one [`crate::ControlPlane`], [`crate::Change`] or
/// [`crate::Collector`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies a pull of one [`crate::ControlPlane`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PullId(pub u64);

/// A store call for the I/O layer to make. The layer passes the reply back with the same id, and
/// [`tt_model::StoreReply::Lost`] when its own timeout expires.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRequest {
    /// Identifies the reply.
    pub id: CallId,
    /// What to read, write or watch.
    pub call: StoreCall,
}

/// What the I/O layer has to do for the control plane.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Make a store call.
    Store(StoreRequest),
    /// Send a pull to a peer and pass its answer back with the same id.
    Pull {
        /// Identifies the answer.
        id: PullId,
        /// The address of the peer.
        to: SocketAddr,
        /// The message to send.
        request: PullRequest,
    },
    /// Send an update to a peer. No answer is needed.
    Push {
        /// The address of the peer.
        to: SocketAddr,
        /// The message to send.
        update: Update,
    },
    /// Put the documents of the replica in force, which has adopted a new catalog revision.
    Adopted {
        /// The adopted catalog revision.
        revision: Revision,
    },
    /// Put a newer assignment in force.
    Assignment {
        /// The epoch of the assignment.
        epoch: Epoch,
        /// The assignment, encoded as at [`ASSIGNMENT_KEY`].
        value: Vec<u8>,
    },
}

/// The key of the assignment in the store.
pub const ASSIGNMENT_KEY: &str = "assignment";
