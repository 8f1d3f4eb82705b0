//! The catalog: which document is in force for each environment and stage.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;
use uuid::Version;

use crate::parts::Manifest;
use tt_model::Digest;
use tt_model::MAX_VALUE_BYTES;
use tt_model::ResultCode;
use tt_model::Revision;

/// The key of the catalog in the store.
pub const CATALOG_KEY: &str = "catalog";
/// The maximum number of changes in the history of a record. The outcome of a swap whose reply
/// was lost can be found as long as the change is among them.
pub const MAX_HISTORY_LEN: usize = 16;
/// The maximum number of parts in an inline manifest; a longer one is only stored as a value of
/// its own. Bounds a record to a few kilobytes, so that about a hundred environments fit in the
/// catalog.
pub const MAX_INLINE_PARTS: usize = 32;
/// The maximum length of an operator's name.
pub const MAX_OPERATOR_BYTES: usize = 64;

/// A stage of an environment. Each has its own document.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// Its document is tried before it is promoted.
    #[display("trial")]
    Trial,
    /// Its document serves callers.
    #[display("production")]
    Production,
}

/// The id of a change: a UUID version 7, written in lower case.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ChangeId(Uuid);

impl ChangeId {
    /// Parses an id; `None` if the text is not a UUID version 7.
    pub fn parse(text: &str) -> Option<ChangeId> {
        let id = Uuid::try_parse(text).ok()?;
        (id.get_version() == Some(Version::SortRand)).then_some(ChangeId(id))
    }

    /// Wraps a UUID; `None` if it is not version 7.
    pub fn from_uuid(id: Uuid) -> Option<ChangeId> {
        (id.get_version() == Some(Version::SortRand)).then_some(ChangeId(id))
    }
}

impl TryFrom<String> for ChangeId {
    type Error = String;

    fn try_from(text: String) -> Result<ChangeId, String> {
        ChangeId::parse(&text).ok_or_else(|| format!("`{text}` is not a UUID version 7"))
    }
}

impl From<ChangeId> for String {
    fn from(id: ChangeId) -> String {
        id.to_string()
    }
}

/// The key of a record in the catalog.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StageKey {
    /// The name of the environment.
    pub environment: String,
    /// Which of its two documents the record is for.
    pub stage: Stage,
}

/// A reference to the manifest of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestRef {
    /// The digest under which the manifest is stored among the parts.
    pub digest: Digest,
    /// The manifest itself, if it has at most [`MAX_INLINE_PARTS`] parts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub inline: Option<Manifest>,
}

impl ManifestRef {
    /// Refers to `manifest`, inline if it is short enough.
    pub fn new(manifest: &Manifest) -> ManifestRef {
        let inline = (manifest.0.len() <= MAX_INLINE_PARTS).then(|| manifest.clone());
        ManifestRef { digest: manifest.to_part().digest().clone(), inline }
    }
}

/// One accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The catalog revision that the change created.
    pub revision: Revision,
    /// The digest of the document that it put in force.
    pub digest: Digest,
    /// The id under which it was submitted.
    pub change: ChangeId,
    /// The name of the operator who submitted it.
    pub operator: String,
}

/// The document in force for one environment and stage, with its recent history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageRecord {
    /// Its key in the catalog.
    #[serde(flatten)]
    pub key: StageKey,
    /// The parts of the document in force.
    pub manifest: ManifestRef,
    /// The last changes, oldest first, at most [`MAX_HISTORY_LEN`]. The newest is in force. Never
    /// empty.
    pub history: VecDeque<ChangeRecord>,
}

impl StageRecord {
    /// The change that put the current document in force.
    pub fn newest(&self) -> &ChangeRecord {
        self.history.back().expect("a record has at least one change")
    }

    /// The catalog revision that last changed this record.
    pub fn revision(&self) -> Revision {
        self.newest().revision
    }

    /// The digest of the document in force.
    pub fn digest(&self) -> &Digest {
        &self.newest().digest
    }

    /// Finds a change in the history.
    pub fn find_change(&self, id: &ChangeId) -> Option<&ChangeRecord> {
        self.history.iter().find(|change| change.change == *id)
    }

    /// Whether the history includes every change of this record at or after `revision`.
    pub fn history_covers(&self, revision: Revision) -> bool {
        self.history.len() < MAX_HISTORY_LEN
            || self.history.front().is_some_and(|oldest| oldest.revision <= revision)
    }
}

/// Why a catalog cannot be encoded or decoded.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum CatalogError {
    /// The encoded catalog exceeds the maximum size of a value in the store.
    #[display("the catalog would have {bytes} bytes; the store holds at most {MAX_VALUE_BYTES}")]
    TooLarge {
        /// The size of the encoded catalog.
        bytes: usize,
    },
    /// The value in the store is not a valid catalog.
    #[display("the value at `catalog` is not a catalog: {message}")]
    Malformed {
        /// What is wrong with the value.
        message: String,
    },
}

impl std::error::Error for CatalogError {}

impl CatalogError {
    /// The result code that an operator is sent for this error.
    pub fn code(&self) -> ResultCode {
        match self {
            CatalogError::TooLarge { .. } => ResultCode::DocumentTooLarge,
            CatalogError::Malformed { .. } => ResultCode::Internal,
        }
    }
}

/// The documents in force for all environments and stages, at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Catalog {
    /// The number of changes accepted so far; 0 for the empty catalog.
    pub revision: Revision,
    /// One record for each environment and stage that has a document.
    pub records: BTreeMap<StageKey, StageRecord>,
}

/// The encoded form of the catalog.
#[derive(Debug, Serialize, Deserialize)]
struct CatalogValue {
    revision: Revision,
    entries: Vec<StageRecord>,
}

/// A change to be added to the catalog.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewChange {
    /// The record to change or create.
    pub key: StageKey,
    /// The parts of the new document.
    pub manifest: ManifestRef,
    /// The digest of the new document.
    pub digest: Digest,
    /// The id under which the change was submitted.
    pub change: ChangeId,
    /// The name of the operator who submitted it.
    pub operator: String,
}

impl Catalog {
    /// Decodes the value at [`CATALOG_KEY`].
    pub fn decode(value: &[u8]) -> Result<Catalog, CatalogError> {
        let decoded: CatalogValue = serde_json::from_slice(value)
            .map_err(|error| CatalogError::Malformed { message: error.to_string() })?;
        if decoded.entries.iter().any(|record| record.history.is_empty()) {
            let message = "an entry has no changes".to_owned();
            return Err(CatalogError::Malformed { message });
        }
        let records =
            decoded.entries.into_iter().map(|record| (record.key.clone(), record)).collect();
        Ok(Catalog { revision: decoded.revision, records })
    }

    /// Encodes the value at [`CATALOG_KEY`]; an error if it is too large for the store.
    pub fn encode(&self) -> Result<Vec<u8>, CatalogError> {
        let value = CatalogValue {
            revision: self.revision,
            entries: self.records.values().cloned().collect(),
        };
        let bytes = serde_json::to_vec(&value).expect("a catalog is valid JSON");
        if bytes.len() > MAX_VALUE_BYTES {
            return Err(CatalogError::TooLarge { bytes: bytes.len() });
        }
        Ok(bytes)
    }

    /// The record of an environment and stage, if it has a document.
    pub fn get(&self, environment: &str, stage: Stage) -> Option<&StageRecord> {
        self.records.get(&StageKey { environment: environment.to_owned(), stage })
    }

    /// The next revision of this catalog, with one more change.
    pub fn with_change(&self, new: NewChange) -> Catalog {
        let mut next = self.clone();
        next.revision = self.revision.next();
        let change = ChangeRecord {
            revision: next.revision,
            digest: new.digest,
            change: new.change,
            operator: new.operator,
        };
        let record = next.records.entry(new.key.clone()).or_insert_with(|| StageRecord {
            key: new.key,
            manifest: new.manifest.clone(),
            history: VecDeque::new(),
        });
        record.manifest = new.manifest;
        record.history.push_back(change);
        while record.history.len() > MAX_HISTORY_LEN {
            record.history.pop_front();
        }
        next
    }

    /// The records that changed after `base`.
    pub fn changed_since(&self, base: Revision) -> impl Iterator<Item = &StageRecord> {
        self.records.values().filter(move |record| record.revision() > base)
    }

    /// The catalog at `revision`, given all records that changed between `base` and `revision`.
    /// `None` if `base` is newer than this catalog, `revision` is not, or a record is not valid.
    pub fn with_update(
        &self,
        base: Revision,
        revision: Revision,
        changed: &[StageRecord],
    ) -> Option<Catalog> {
        let valid = changed
            .iter()
            .all(|record| !record.history.is_empty() && record.revision() <= revision);
        if !valid || base > self.revision || revision <= self.revision {
            return None;
        }
        let mut next = self.clone();
        next.revision = revision;
        for record in changed {
            if record.revision() > self.revision {
                next.records.insert(record.key.clone(), record.clone());
            }
        }
        Some(next)
    }
}
