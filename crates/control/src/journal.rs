//! The journal of changes: which manifests a change in progress may add or remove.
//!
//! The store cannot list its keys. Each change therefore records the manifest that it
//! writes and the one that it replaces before it writes any part, and the collector finds
//! unreferenced parts through these records.

use serde::Deserialize;
use serde::Serialize;

use crate::catalog::ChangeId;
use tt_model::Digest;
use tt_model::MAX_VALUE_BYTES;

/// The key of the journal in the store.
pub const JOURNAL_KEY: &str = "changes";

/// One attempt of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalRecord {
    /// Unique in the journal. An attempt that is repeated later gets a new one, so that the
    /// collector measures its age anew.
    pub sequence: u64,
    /// The change.
    pub change: ChangeId,
    /// Manifests whose parts the change may add to or remove from the catalog.
    pub manifests: Vec<Digest>,
}

/// The value at [`JOURNAL_KEY`].
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Journal {
    /// The sequence of the next record.
    pub next: u64,
    /// Records whose parts have not been examined yet.
    pub records: Vec<JournalRecord>,
}

impl Journal {
    /// Reads a value of the store.
    pub fn decode(value: &[u8]) -> Option<Journal> {
        serde_json::from_slice(value).ok()
    }

    /// The value for the store; `None` if it would be too large.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = serde_json::to_vec(self).expect("a journal is valid JSON");
        (bytes.len() <= MAX_VALUE_BYTES).then_some(bytes)
    }

    /// Adds a record and returns its sequence.
    pub fn add(&mut self, change: ChangeId, manifests: Vec<Digest>) -> u64 {
        let sequence = self.next;
        self.next += 1;
        self.records.push(JournalRecord { sequence, change, manifests });
        sequence
    }

    /// Whether the record of this attempt is there.
    pub fn holds(&self, sequence: u64, change: &ChangeId) -> bool {
        self.records.iter().any(|r| r.sequence == sequence && r.change == *change)
    }
}
