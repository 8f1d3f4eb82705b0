//! The catalog and the documents that a daemon has adopted.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use crate::catalog::Catalog;
use crate::catalog::Stage;
use crate::catalog::StageKey;
use crate::catalog::StageRecord;
use crate::message::Update;
use crate::message::Versions;
use crate::parts;
use crate::parts::Manifest;
use crate::parts::Part;
use tt_model::Digest;
use tt_model::Environment;
use tt_model::Epoch;
use tt_model::Revision;

/// The value of [`HeldPart::adopted_at`] for parts of a catalog that is not adopted yet.
const NOT_ADOPTED: Revision = Revision(u64::MAX);

/// The adopted catalog with its documents, and a newer catalog whose parts are being fetched.
#[derive(Debug, Default)]
pub struct Replica {
    adopted: Catalog,
    documents: BTreeMap<StageKey, Arc<Environment>>,
    parts: HashMap<Digest, HeldPart>,
    pending: Option<PendingCatalog>,
}

#[derive(Debug)]
struct HeldPart {
    part: Part,
    /// The catalog revision with which this daemon adopted the part; 0 if that was the first
    /// revision that it adopted.
    adopted_at: Revision,
}

#[derive(Debug)]
struct PendingCatalog {
    catalog: Catalog,
    missing: BTreeSet<Digest>,
    /// Why the catalog cannot be adopted although every part is there.
    rejection: Option<String>,
}

/// What a replica did with a catalog or an update that it was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResult {
    /// Ignored, because its revision is not newer than the newest known one.
    NotNewer,
    /// Ignored, because it is based on a newer catalog than the newest known one or has invalid
    /// records; a pull is needed.
    NotApplicable,
    /// Kept as the newest known catalog, to be adopted when all its parts are there.
    Pending,
}

impl Replica {
    /// The adopted catalog; revision 0 if none.
    pub fn adopted(&self) -> &Catalog {
        &self.adopted
    }

    /// The document in force for an environment and stage, if any.
    pub fn document(&self, environment: &str, stage: Stage) -> Option<&Arc<Environment>> {
        self.documents.get(&StageKey { environment: environment.to_owned(), stage })
    }

    /// The documents in force for all environments and stages.
    pub fn documents(&self) -> &BTreeMap<StageKey, Arc<Environment>> {
        &self.documents
    }

    /// The text of the document in force for an environment and stage, if any.
    pub fn document_text(&self, environment: &str, stage: Stage) -> Option<String> {
        let record = self.adopted.get(environment, stage)?;
        let manifest = self.manifest(record)?;
        parts::assemble(&manifest, record.digest(), |digest| self.part(digest)).ok()
    }

    /// The newest known revision, adopted or not.
    pub fn newest_known(&self) -> Revision {
        self.pending.as_ref().map_or(self.adopted.revision, |pending| pending.catalog.revision)
    }

    /// The digests of parts that are still needed to adopt the newest known revision.
    pub fn missing_parts(&self) -> impl Iterator<Item = &Digest> {
        self.pending.iter().flat_map(|pending| &pending.missing)
    }

    /// Why the newest known revision could not be adopted although every part was there, as found
    /// by [`Replica::try_adopt`]; otherwise `None`.
    pub fn rejection(&self) -> Option<&str> {
        self.pending.as_ref()?.rejection.as_deref()
    }

    /// Handles a whole catalog, as read from the store.
    pub fn offer_catalog(&mut self, catalog: Catalog) -> OfferResult {
        if catalog.revision <= self.newest_known() {
            return OfferResult::NotNewer;
        }
        self.pending = Some(PendingCatalog { catalog, missing: BTreeSet::new(), rejection: None });
        self.update_missing();
        OfferResult::Pending
    }

    /// Handles an update from a peer.
    pub fn offer_update(&mut self, update: &Update) -> OfferResult {
        let revision = update.versions.catalog;
        if revision <= self.newest_known() {
            self.add_parts(&update.parts);
            return OfferResult::NotNewer;
        }
        let newest = self.pending.as_ref().map_or(&self.adopted, |pending| &pending.catalog);
        let Some(catalog) = newest.with_update(update.base, revision, &update.entries) else {
            return OfferResult::NotApplicable;
        };
        let offer = self.offer_catalog(catalog);
        self.add_parts(&update.parts);
        offer
    }

    /// Keeps the parts that are missing and ignores the others.
    pub fn add_parts(&mut self, parts: &[Part]) {
        // A manifest adds further parts to the missing ones, so each round may need more of them.
        let mut rest: Vec<&Part> = parts.iter().collect();
        loop {
            let Some(pending) = &mut self.pending else {
                return;
            };
            let before = rest.len();
            let mut later = Vec::new();
            for part in rest {
                if pending.missing.remove(part.digest()) {
                    let held = HeldPart { part: part.clone(), adopted_at: NOT_ADOPTED };
                    self.parts.insert(part.digest().clone(), held);
                } else {
                    later.push(part);
                }
            }
            if later.len() == before {
                return;
            }
            rest = later;
            self.update_missing();
        }
    }

    /// Adopts the newest known revision if all its parts are there and its documents are valid, and
    /// returns it.
    pub fn try_adopt(&mut self) -> Option<Revision> {
        let pending = self.pending.as_ref()?;
        if !pending.missing.is_empty() || pending.rejection.is_some() {
            return None;
        }
        match self.build_documents(&pending.catalog) {
            Ok(documents) => {
                let pending = self.pending.take()?;
                Some(self.adopt(pending.catalog, documents))
            }
            Err(message) => {
                log::error!("config: revision {} is not adopted: {message}", self.newest_known());
                if let Some(pending) = &mut self.pending {
                    pending.rejection = Some(message);
                }
                None
            }
        }
    }

    /// Forgets a newer revision that is not adopted yet.
    pub fn discard_pending(&mut self) {
        self.pending = None;
    }

    /// The part with this digest, if the replica holds it.
    pub fn part(&self, digest: &Digest) -> Option<&Part> {
        self.parts.get(digest).map(|held| &held.part)
    }

    /// The total size of all held parts, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.parts.values().map(|held| held.part.text().len()).sum()
    }

    /// The records that changed after `base` and at most `max_bytes` of parts: first those in
    /// `wanted`, then those that were adopted after `base`, or all if `base` is 0. A first part
    /// that is larger than `max_bytes` is included too, unless `max_bytes` is 0.
    pub fn update_since(&self, base: Revision, wanted: &[Digest], max_bytes: usize) -> Update {
        let entries: Vec<StageRecord> = self.adopted.changed_since(base).cloned().collect();
        let mut chosen = BTreeSet::new();
        let mut parts = Vec::new();
        let mut bytes = 0;
        let mut add = |held: &HeldPart| {
            let size = held.part.text().len();
            if (bytes + size <= max_bytes || (bytes == 0 && max_bytes > 0))
                && chosen.insert(held.part.digest().clone())
            {
                bytes += size;
                parts.push(held.part.clone());
            }
        };
        for held in wanted.iter().filter_map(|digest| self.parts.get(digest)) {
            add(held);
        }
        for record in &entries {
            let record_parts = self.manifest(record).unwrap_or(Manifest(Vec::new())).0;
            for digest in std::iter::once(&record.manifest.digest).chain(&record_parts) {
                match self.parts.get(digest) {
                    Some(held) if held.adopted_at > base || base.0 == 0 => add(held),
                    _ => {}
                }
            }
        }
        let versions = Versions { catalog: self.adopted.revision, epoch: Epoch(0) };
        Update { versions, base, entries, parts, assignment: None }
    }

    /// Parses the documents of a catalog whose parts are all there. Documents that are already
    /// adopted, or in two stages, are shared.
    fn build_documents(
        &self,
        catalog: &Catalog,
    ) -> Result<BTreeMap<StageKey, Arc<Environment>>, String> {
        let mut documents: BTreeMap<StageKey, Arc<Environment>> = BTreeMap::new();
        for (key, record) in &catalog.records {
            let same = self
                .documents
                .iter()
                .chain(&documents)
                .find(|(held, document)| {
                    held.environment == key.environment && document.digest == *record.digest()
                })
                .map(|(_, document)| Arc::clone(document));
            let document = match same {
                Some(document) => document,
                None => Arc::new(self.read_document(record)?),
            };
            documents.insert(key.clone(), document);
        }
        Ok(documents)
    }

    fn read_document(&self, record: &StageRecord) -> Result<Environment, String> {
        let name = &record.key.environment;
        let stage = record.key.stage;
        let manifest =
            self.manifest(record).ok_or_else(|| format!("{name} {stage}: no manifest"))?;
        let text = parts::assemble(&manifest, record.digest(), |digest| self.part(digest))
            .map_err(|error| format!("{name} {stage}: {error}"))?;
        let environment =
            Environment::parse(&text).map_err(|faults| format!("{name} {stage}: {faults}"))?;
        if environment.name != *name {
            return Err(format!("{name} {stage}: the document is for `{}`", environment.name));
        }
        Ok(environment)
    }

    fn adopt(
        &mut self,
        catalog: Catalog,
        documents: BTreeMap<StageKey, Arc<Environment>>,
    ) -> Revision {
        let is_first = self.adopted.revision.0 == 0;
        let revision = catalog.revision;
        self.adopted = catalog;
        self.documents = documents;
        let referenced = self.referenced();
        self.parts.retain(|digest, _| referenced.contains(digest));
        for held in self.parts.values_mut().filter(|held| held.adopted_at == NOT_ADOPTED) {
            // After the first adoption it is not known which parts are new. Sending all of them to
            // peers that are behind would cost more than waiting for their pulls.
            held.adopted_at = if is_first { Revision(0) } else { revision };
        }
        log::info!("config: adopted revision {revision}");
        revision
    }

    fn referenced(&self) -> BTreeSet<Digest> {
        let mut referenced = BTreeSet::new();
        for record in self.adopted.records.values() {
            referenced.insert(record.manifest.digest.clone());
            referenced.extend(self.manifest(record).into_iter().flat_map(|manifest| manifest.0));
        }
        referenced
    }

    fn manifest(&self, record: &StageRecord) -> Option<Manifest> {
        if let Some(inline) = &record.manifest.inline {
            return Some(inline.clone());
        }
        Manifest::from_part(self.part(&record.manifest.digest)?)
    }

    fn update_missing(&mut self) {
        let Some(pending) = &self.pending else {
            return;
        };
        let mut missing = BTreeSet::new();
        for (key, record) in &pending.catalog.records {
            let adopted = self.adopted.records.get(key);
            if adopted.is_some_and(|adopted| adopted.revision() == record.revision()) {
                continue;
            }
            match self.manifest(record) {
                Some(manifest) => missing.extend(
                    manifest.0.into_iter().filter(|digest| !self.parts.contains_key(digest)),
                ),
                None => {
                    missing.insert(record.manifest.digest.clone());
                }
            }
        }
        if let Some(pending) = &mut self.pending {
            pending.missing = missing;
        }
    }
}
