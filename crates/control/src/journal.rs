//! The journal of changes: which manifests each change may add to or remove from the catalog.
//!
//! The store cannot list its keys. Each change therefore records the manifest that it writes
//! and the one that it replaces before it writes any part. The collector finds unreferenced
//! parts through these records.

use serde::Deserialize;
use serde::Serialize;

use crate::catalog::ChangeId;
use tt_model::Digest;
use tt_model::MAX_VALUE_BYTES;

/// The key of the journal in the store.
pub const JOURNAL_KEY: &str = "changes";

/// The manifests of one change, written before its parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalRecord {
    /// Unique in the journal. A change that is submitted again gets a new record with a new
    /// sequence number, so that the collector measures its age from then.
    pub sequence: u64,
    /// The id of the change.
    pub change: ChangeId,
    /// The digests of manifests that the change may add to or remove from the catalog.
    pub manifests: Vec<Digest>,
}

/// The value at [`JOURNAL_KEY`].
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Journal {
    /// The sequence number of the next record.
    pub next: u64,
    /// Records that the collector has not processed yet.
    pub records: Vec<JournalRecord>,
}

impl Journal {
    /// Decodes the value at [`JOURNAL_KEY`]; `None` if it is not valid.
    pub fn decode(value: &[u8]) -> Option<Journal> {
        serde_json::from_slice(value).ok()
    }

    /// Encodes the value at [`JOURNAL_KEY`]; `None` if it is too large for the store.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = serde_json::to_vec(self).expect("a journal is valid JSON");
        (bytes.len() <= MAX_VALUE_BYTES).then_some(bytes)
    }

    /// Adds a record and returns its sequence number.
    pub fn add(&mut self, change: ChangeId, manifests: Vec<Digest>) -> u64 {
        let sequence = self.next;
        self.next += 1;
        self.records.push(JournalRecord { sequence, change, manifests });
        sequence
    }

    /// Whether the record with this sequence number is there and belongs to this change.
    pub fn contains(&self, sequence: u64, change: &ChangeId) -> bool {
        self.records.iter().any(|r| r.sequence == sequence && r.change == *change)
    }
}
