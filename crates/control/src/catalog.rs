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
/// Changes kept for each record. A lost reply can be resolved as long as the change is among them.
pub const MAX_HISTORY_LEN: usize = 16;
/// A longer manifest is stored as its own value. Bounds a record to a few kilobytes, so that
/// about a hundred environments fit in the catalog.
pub const MAX_INLINE_PARTS: usize = 32;
/// The longest name of an operator, in bytes.
pub const MAX_OPERATOR_BYTES: usize = 64;

/// The stage of an environment.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// Documents under trial.
    #[display("trial")]
    Trial,
    /// Documents that serve callers.
    #[display("production")]
    Production,
}

/// The id of a change: a UUID version 7 as lower-case text.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ChangeId(Uuid);

impl ChangeId {
    /// Reads an id; `None` if it is not a UUID version 7.
    pub fn parse(text: &str) -> Option<ChangeId> {
        let id = Uuid::try_parse(text).ok()?;
        (id.get_version() == Some(Version::SortRand)).then_some(ChangeId(id))
    }

    /// An id from a UUID; `None` if it is not version 7.
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

/// Names a record of the catalog.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StageKey {
    /// The environment.
    pub environment: String,
    /// Its stage.
    pub stage: Stage,
}

/// Where the manifest of a document is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestRef {
    /// The digest of the manifest, which is also a value under `parts/`.
    pub digest: Digest,
    /// The manifest itself if it is short.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub inline: Option<Manifest>,
}

impl ManifestRef {
    /// A reference to `manifest`.
    pub fn new(manifest: &Manifest) -> ManifestRef {
        let inline = (manifest.0.len() <= MAX_INLINE_PARTS).then(|| manifest.clone());
        ManifestRef { digest: manifest.to_part().digest().clone(), inline }
    }
}

/// One accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The catalog revision that the change made.
    pub revision: Revision,
    /// The digest that it put in force.
    pub digest: Digest,
    /// Its id.
    pub change: ChangeId,
    /// Who made it.
    pub operator: String,
}

/// What is in force for an environment and a stage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageRecord {
    /// The environment and the stage.
    #[serde(flatten)]
    pub key: StageKey,
    /// The manifest of the document.
    pub manifest: ManifestRef,
    /// The last changes, oldest first; the newest is in force. Never empty.
    pub history: VecDeque<ChangeRecord>,
}

impl StageRecord {
    /// The change that is in force.
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

    /// The record of a change, if it is among the last ones.
    pub fn find_change(&self, id: &ChangeId) -> Option<&ChangeRecord> {
        self.history.iter().find(|change| change.change == *id)
    }

    /// Whether the history holds every change of this record at or after `revision`.
    pub fn history_covers(&self, revision: Revision) -> bool {
        self.history.len() < MAX_HISTORY_LEN
            || self.history.front().is_some_and(|oldest| oldest.revision <= revision)
    }
}

/// Why a catalog cannot be written or read.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum CatalogError {
    /// It would be over the size of a value of the store.
    #[display("the catalog would have {bytes} bytes; the store holds at most {MAX_VALUE_BYTES}")]
    TooLarge {
        /// The size that it would have.
        bytes: usize,
    },
    /// The value is not a catalog.
    #[display("the value at `catalog` is not a catalog: {message}")]
    Malformed {
        /// What is wrong with it.
        message: String,
    },
}

impl std::error::Error for CatalogError {}

impl CatalogError {
    /// The code that covers the error.
    pub fn code(&self) -> ResultCode {
        match self {
            CatalogError::TooLarge { .. } => ResultCode::DocumentTooLarge,
            CatalogError::Malformed { .. } => ResultCode::Internal,
        }
    }
}

/// All records at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Catalog {
    /// Rises by one with each accepted change.
    pub revision: Revision,
    /// The records.
    pub records: BTreeMap<StageKey, StageRecord>,
}

/// The catalog as it is written.
#[derive(Debug, Serialize, Deserialize)]
struct CatalogValue {
    revision: Revision,
    entries: Vec<StageRecord>,
}

/// A change to put into the catalog.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewChange {
    /// The record that it changes.
    pub key: StageKey,
    /// The manifest of the document.
    pub manifest: ManifestRef,
    /// The digest of the document.
    pub digest: Digest,
    /// The id of the change.
    pub change: ChangeId,
    /// Who makes it.
    pub operator: String,
}

impl Catalog {
    /// Reads a value of the store.
    pub fn decode(value: &[u8]) -> Result<Catalog, CatalogError> {
        let read: CatalogValue = serde_json::from_slice(value)
            .map_err(|error| CatalogError::Malformed { message: error.to_string() })?;
        if read.entries.iter().any(|record| record.history.is_empty()) {
            let message = "a record has no changes".to_owned();
            return Err(CatalogError::Malformed { message });
        }
        let records = read.entries.into_iter().map(|record| (record.key.clone(), record)).collect();
        Ok(Catalog { revision: read.revision, records })
    }

    /// The value for the store.
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

    /// The record for an environment and a stage.
    pub fn get(&self, environment: &str, stage: Stage) -> Option<&StageRecord> {
        self.records.get(&StageKey { environment: environment.to_owned(), stage })
    }

    /// The catalog with one more change.
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

    /// The catalog at `revision`, given all records that changed between `base` and it.
    /// `None` if the records do not connect to this catalog or are not newer.
    pub fn with_update(
        &self,
        base: Revision,
        revision: Revision,
        entries: &[StageRecord],
    ) -> Option<Catalog> {
        let sound = entries
            .iter()
            .all(|record| !record.history.is_empty() && record.revision() <= revision);
        if !sound || base > self.revision || revision <= self.revision {
            return None;
        }
        let mut next = self.clone();
        next.revision = revision;
        for record in entries {
            if record.revision() > self.revision {
                next.records.insert(record.key.clone(), record.clone());
            }
        }
        Some(next)
    }
}
