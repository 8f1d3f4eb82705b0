//! Checks that the catalog in the store changes only by submitted changes, and that outcomes agree
//! with it.
//!
//! The oracle reads the stored values as plain JSON and shares no code with the crate.

use std::collections::BTreeMap;

use serde_json::Value;
use sha2::Digest as _;
use sha2::Sha256;

use tt_model::Revision;

pub type Values = BTreeMap<String, (Revision, Vec<u8>)>;

/// A change as its operator submitted it.
#[derive(Debug, Clone)]
pub struct Submitted {
    pub environment: String,
    pub stage: &'static str,
    pub base: u64,
    pub digest: String,
    /// The document; `None` for a promotion.
    pub text: Option<String>,
}

/// What is in force at one catalog revision, by environment and stage: the revision of the catalog
/// record and the digest of the document.
type InForce = BTreeMap<(String, String), (u64, String)>;

/// All changes that were submitted and accepted.
#[derive(Debug, Default)]
pub struct Oracle {
    pub submitted: BTreeMap<String, Submitted>,
    /// The id of each accepted change and what was in force after it; index 0 is revision 1.
    pub accepted: Vec<(String, InForce)>,
    /// The submitted documents by digest.
    texts: BTreeMap<String, String>,
    /// The last observed value of the catalog.
    catalog: Vec<u8>,
}

pub fn sha256(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}

impl Oracle {
    pub fn submit(&mut self, change: &str, submitted: Submitted) {
        if let Some(text) = &submitted.text {
            self.texts.insert(submitted.digest.clone(), text.clone());
        }
        self.submitted.insert(change.to_owned(), submitted);
    }

    pub fn revision(&self) -> u64 {
        self.accepted.len() as u64
    }

    /// What is in force at a catalog revision.
    pub fn in_force(&self, revision: u64) -> InForce {
        match revision {
            0 => BTreeMap::new(),
            _ => self.accepted[revision as usize - 1].1.clone(),
        }
    }

    pub fn current(&self, environment: &str, stage: &str) -> (u64, String) {
        let key = (environment.to_owned(), stage.to_owned());
        self.in_force(self.revision()).get(&key).cloned().unwrap_or_default()
    }

    pub fn accepted_at(&self, change: &str) -> Option<u64> {
        self.accepted.iter().position(|(id, _)| id == change).map(|at| at as u64 + 1)
    }

    /// Checks the store after a call: a new catalog must differ by exactly one submitted change,
    /// and all parts of its documents must be in the store.
    pub fn observe(&mut self, values: &Values) {
        let Some((_, value)) = values.get("catalog") else {
            assert!(self.catalog.is_empty(), "the catalog was removed");
            return;
        };
        if *value == self.catalog {
            return;
        }
        self.catalog = value.clone();
        let catalog: Value = serde_json::from_slice(value).expect("the catalog is JSON");
        let revision = catalog["revision"].as_u64().expect("a revision");
        assert_eq!(revision, self.revision() + 1, "a change was reverted or skipped");
        let before = self.in_force(self.revision());
        let mut after = before.clone();
        let mut changed = Vec::new();
        for record in catalog["entries"].as_array().expect("entries") {
            let newest = record["history"].as_array().expect("a history").last().expect("a change");
            let text = |value: &Value| value.as_str().expect("text").to_owned();
            let key = (text(&record["environment"]), text(&record["stage"]));
            let state = (newest["revision"].as_u64().expect("a revision"), text(&newest["digest"]));
            if before.get(&key) != Some(&state) {
                changed.push((key.clone(), text(&newest["change"])));
            }
            assert_eq!(self.texts.get(&state.1), Some(&assembled(values, record)), "{key:?}");
            after.insert(key, state);
        }
        assert_eq!(changed.len(), 1, "one change affects one record: {changed:?}");
        let ((environment, stage), change) = changed.remove(0);
        let submitted = self.submitted.get(&change).expect("the change was submitted");
        assert_eq!((&environment, stage.as_str()), (&submitted.environment, submitted.stage));
        let key = (environment.clone(), stage);
        assert_eq!(after[&key], (revision, submitted.digest.clone()));
        let base = before.get(&key).map_or(0, |(revision, _)| *revision);
        assert_eq!(base, submitted.base, "a change was applied to another base");
        if submitted.text.is_none() {
            let in_trial = &before[&(environment, "trial".to_owned())].1;
            assert_eq!(
                in_trial, &submitted.digest,
                "a document was promoted that was not in trial"
            );
        }
        assert_eq!(self.accepted_at(&change), None, "the change was applied twice");
        self.accepted.push((change, after));
    }

    /// Checks that the parts of everything in force are in the store.
    pub fn check_parts(&self, values: &Values) {
        if let Some((_, value)) = values.get("catalog") {
            let catalog: Value = serde_json::from_slice(value).expect("the catalog is JSON");
            for record in catalog["entries"].as_array().expect("entries") {
                assembled(values, record);
            }
        }
    }

    /// Checks the outcome that an operator was told. `text` is its displayed form.
    pub fn check_outcome(&self, change: &str, text: &str) {
        let at = self.accepted_at(change);
        let submitted = &self.submitted[change];
        let number = |prefix: &str| -> Option<u64> {
            text.strip_prefix(prefix)?.split(' ').next()?.parse().ok()
        };
        if let Some(revision) = number("accepted as revision ") {
            assert_eq!(at, Some(revision), "{change}: {text}");
        } else if let Some(revision) = number("conflict: revision ") {
            assert_eq!(at, None, "{change}: {text}");
            assert_ne!(revision, submitted.base, "{change}: {text}");
            let key = (submitted.environment.clone(), submitted.stage.to_owned());
            let winner = self.in_force(revision).get(&key).map(|(revision, _)| *revision);
            assert_eq!(winner, Some(revision), "{change}: {text}");
        } else if !text.starts_with("unknown") {
            assert_eq!(at, None, "{change}: {text}");
        }
    }
}

/// The document of a catalog record, put together from the parts in the store.
fn assembled(values: &Values, record: &Value) -> String {
    let part = |digest: &str| {
        let (_, value) = values.get(&format!("parts/{digest}")).expect("the part is in the store");
        assert_eq!(sha256(value), digest);
        String::from_utf8(value.clone()).expect("a part is text")
    };
    let manifest = part(record["manifest"]["digest"].as_str().expect("a digest"));
    let list: Vec<String> = serde_json::from_str(&manifest).expect("a manifest");
    list.iter().map(|digest| part(digest)).collect()
}
