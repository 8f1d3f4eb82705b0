//! Removal of parts that no catalog record references.
//!
//! A sweep must not remove a part that a change in progress is about to reference. Its steps are
//! ordered to prevent this:
//!
//! 1. The candidates are the unreferenced manifests and parts of journal records that were first
//!    seen at least an hour ago.
//! 2. The store revision of each candidate is read.
//! 3. The catalog is read and rewritten unchanged. A swap that is based on an older revision of
//!    the catalog fails from here on, however long it was delayed.
//! 4. The journal is read again. Candidates that other records name too are kept.
//! 5. The remaining candidates are removed if they still have the revision read in step 2.
//!
//! A change writes its journal record before it writes or rewrites any part. If the record is
//! written before step 4, its parts are kept. Otherwise the change rewrites them after step 2, and
//! the removal fails because the revision has changed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::catalog::CATALOG_KEY;
use crate::catalog::Catalog;
use crate::journal::JOURNAL_KEY;
use crate::journal::Journal;
use crate::journal::JournalRecord;
use crate::message::CallId;
use crate::message::StoreRequest;
use crate::parts::Manifest;
use crate::parts::Part;
use crate::parts::part_key;
use tt_model::Digest;
use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

/// When sweeps run, and the age and number of the journal records that a sweep processes.
#[derive(Debug, Clone)]
pub struct CollectorSettings {
    /// The minimum age of the journal records that are processed. Measured from when this daemon
    /// first saw the record, so that it does not depend on another daemon's clock.
    pub min_age: Duration,
    /// The interval between sweeps.
    pub interval: Duration,
    /// The delay before the next sweep if a store error ended this one or more records are left.
    pub retry_delay: Duration,
    /// The maximum number of journal records processed in one sweep.
    pub max_records: usize,
}

impl Default for CollectorSettings {
    fn default() -> CollectorSettings {
        CollectorSettings {
            min_age: Duration::from_secs(3600),
            interval: Duration::from_secs(600),
            retry_delay: Duration::from_secs(30),
            max_records: 64,
        }
    }
}

/// Finds and removes unreferenced parts while it is active. The collector of one daemon should be
/// active; several at once are safe.
#[derive(Debug)]
pub struct Collector {
    settings: CollectorSettings,
    /// When each journal record was first seen.
    first_seen: BTreeMap<u64, Instant>,
    next_sweep: Option<Instant>,
    sweep: Option<Sweep>,
    call_in_flight: Option<CallId>,
    last_call: u64,
    removed: u64,
}

#[derive(Debug)]
struct Sweep {
    step: Step,
    expired: Vec<JournalRecord>,
    /// The parts to remove with their store revisions; 0 if not read yet.
    candidates: BTreeMap<Digest, Revision>,
    manifests: HashMap<Digest, Manifest>,
    catalog: Catalog,
    catalog_revision: Revision,
    catalog_value: Vec<u8>,
    /// Whether every removal so far was answered.
    removals: Removals,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Removals {
    Answered,
    Unanswered,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pass {
    /// Excludes referenced parts, so that their revisions are not read.
    First,
    /// Reads the catalog that is rewritten in step 3 and decides which parts are removed.
    Last,
}

#[derive(Debug)]
enum Step {
    ReadJournal,
    ReadExpiredManifests { queue: VecDeque<Digest> },
    ReadCatalog { pass: Pass },
    ReadCatalogManifests { pass: Pass, queue: VecDeque<Digest> },
    ReadRevisions { queue: VecDeque<Digest> },
    RewriteCatalog,
    ReadJournalAgain,
    ReadYoungManifests { young: Vec<Digest>, queue: VecDeque<Digest> },
    Remove { queue: VecDeque<Digest> },
    ReadJournalToTrim,
    TrimJournal { expect: Revision, value: Vec<u8> },
}

/// How a sweep goes on after a reply.
enum Next {
    Step(Step),
    /// The sweep is complete.
    End,
    /// The sweep ends because of an error and is repeated from the start later.
    Abort,
}

impl Collector {
    /// Creates a collector that is not active.
    pub fn new(settings: CollectorSettings) -> Collector {
        Collector {
            settings,
            first_seen: BTreeMap::new(),
            next_sweep: None,
            sweep: None,
            call_in_flight: None,
            last_call: 0,
            removed: 0,
        }
    }

    /// Activates the collector; no effect if it is active already. The first sweep is due at once.
    pub fn activate(&mut self, now: Instant) {
        if self.next_sweep.is_none() {
            self.next_sweep = Some(now);
        }
    }

    /// Deactivates the collector. The reply to a call in flight is ignored. The ages of journal
    /// records are kept.
    pub fn deactivate(&mut self) {
        self.next_sweep = None;
        self.sweep = None;
        self.call_in_flight = None;
    }

    /// The number of values removed so far.
    pub fn removed_count(&self) -> u64 {
        self.removed
    }

    /// When [`Collector::tick`] must be called next; `None` while inactive or during a sweep.
    pub fn wake_at(&self) -> Option<Instant> {
        self.next_sweep.filter(|_| self.sweep.is_none())
    }

    /// Starts a sweep if one is due, and returns its first call.
    pub fn tick(&mut self, now: Instant) -> Option<StoreRequest> {
        if self.sweep.is_some() || self.next_sweep.is_none_or(|at| now < at) {
            return None;
        }
        self.sweep = Some(Sweep {
            step: Step::ReadJournal,
            expired: Vec::new(),
            candidates: BTreeMap::new(),
            manifests: HashMap::new(),
            catalog: Catalog::default(),
            catalog_revision: Revision(0),
            catalog_value: Vec::new(),
            removals: Removals::Answered,
        });
        self.issue_call(now)
    }

    /// Handles the reply to the call in flight and returns the next call of the sweep.
    pub fn on_reply(
        &mut self,
        id: CallId,
        reply: &StoreReply,
        now: Instant,
    ) -> Option<StoreRequest> {
        if self.call_in_flight != Some(id) {
            return None;
        }
        self.call_in_flight = None;
        let mut sweep = self.sweep.take()?;
        let next = match reply {
            StoreReply::Unavailable | StoreReply::Lost
                if !matches!(sweep.step, Step::Remove { .. }) =>
            {
                Next::Abort
            }
            _ => self.advance(&mut sweep, reply, now),
        };
        match next {
            Next::Step(step) => {
                sweep.step = step;
                self.sweep = Some(sweep);
                self.issue_call(now)
            }
            Next::End => {
                let more = sweep.expired.len() >= self.settings.max_records;
                let delay = if more { self.settings.retry_delay } else { self.settings.interval };
                self.next_sweep = Some(now + delay);
                None
            }
            Next::Abort => {
                self.next_sweep = Some(now + self.settings.retry_delay);
                None
            }
        }
    }

    fn advance(&mut self, sweep: &mut Sweep, reply: &StoreReply, now: Instant) -> Next {
        // The step left here is a placeholder: `on_reply` sets the one that is returned.
        match std::mem::replace(&mut sweep.step, Step::ReadJournal) {
            Step::ReadJournal => match decode_journal(reply) {
                Some((_, journal)) => self.find_expired(sweep, &journal, now),
                None => Next::Abort,
            },
            Step::ReadExpiredManifests { mut queue } => {
                if let Some(digest) = queue.pop_front() {
                    // A change writes its manifest first, so if it is missing there are no parts.
                    if let Some(manifest) = decode_manifest(&digest, reply) {
                        sweep
                            .candidates
                            .extend(manifest.0.iter().map(|d| (d.clone(), Revision(0))));
                        sweep.candidates.insert(digest.clone(), Revision(0));
                        sweep.manifests.insert(digest, manifest);
                    }
                }
                Next::Step(Step::ReadExpiredManifests { queue })
            }
            Step::ReadCatalog { pass } => sweep.on_catalog(pass, reply),
            Step::ReadCatalogManifests { pass, mut queue } => {
                let Some(digest) = queue.pop_front() else {
                    return Next::Abort;
                };
                // The manifest is needed to know which parts the catalog references.
                let Some(manifest) = decode_manifest(&digest, reply) else {
                    return Next::Abort;
                };
                sweep.manifests.insert(digest, manifest);
                Next::Step(Step::ReadCatalogManifests { pass, queue })
            }
            Step::ReadRevisions { mut queue } => {
                if let Some(digest) = queue.pop_front() {
                    match reply {
                        StoreReply::Value { revision, .. } => {
                            sweep.candidates.insert(digest, *revision);
                        }
                        _ => {
                            sweep.candidates.remove(&digest);
                        }
                    }
                }
                Next::Step(Step::ReadRevisions { queue })
            }
            Step::RewriteCatalog => match reply {
                StoreReply::Written { .. } => Next::Step(Step::ReadJournalAgain),
                _ => Next::Step(Step::ReadCatalog { pass: Pass::Last }),
            },
            Step::ReadJournalAgain => match decode_journal(reply) {
                Some((_, journal)) => {
                    let expired: BTreeSet<u64> = sweep.expired.iter().map(|r| r.sequence).collect();
                    let young: Vec<Digest> = journal
                        .records
                        .iter()
                        .filter(|record| !expired.contains(&record.sequence))
                        .flat_map(|record| record.manifests.clone())
                        .collect();
                    let queue = young.iter().cloned().collect();
                    Next::Step(Step::ReadYoungManifests { young, queue })
                }
                None => Next::Abort,
            },
            Step::ReadYoungManifests { young, mut queue } => {
                if let Some(digest) = queue.pop_front()
                    && let Some(manifest) = decode_manifest(&digest, reply)
                {
                    sweep.manifests.insert(digest, manifest);
                }
                Next::Step(Step::ReadYoungManifests { young, queue })
            }
            Step::Remove { mut queue } => {
                queue.pop_front();
                match reply {
                    StoreReply::Written { .. } => self.removed += 1,
                    StoreReply::Conflict { .. } | StoreReply::Missing => {}
                    StoreReply::Value { .. } | StoreReply::Unavailable | StoreReply::Lost => {
                        // A removal is not repeated, because the value may have been written anew.
                        // The next sweep reads the revision again.
                        sweep.removals = Removals::Unanswered;
                    }
                }
                Next::Step(Step::Remove { queue })
            }
            Step::ReadJournalToTrim => match decode_journal(reply) {
                Some((revision, mut journal)) => {
                    let expired: BTreeSet<u64> = sweep.expired.iter().map(|r| r.sequence).collect();
                    journal.records.retain(|record| !expired.contains(&record.sequence));
                    match journal.encode() {
                        Some(value) => Next::Step(Step::TrimJournal { expect: revision, value }),
                        None => Next::Abort,
                    }
                }
                None => Next::Abort,
            },
            Step::TrimJournal { .. } => match reply {
                StoreReply::Written { .. } => Next::End,
                _ => Next::Step(Step::ReadJournalToTrim),
            },
        }
    }

    fn find_expired(&mut self, sweep: &mut Sweep, journal: &Journal, now: Instant) -> Next {
        let present: BTreeSet<u64> = journal.records.iter().map(|r| r.sequence).collect();
        self.first_seen.retain(|sequence, _| present.contains(sequence));
        for sequence in present {
            self.first_seen.entry(sequence).or_insert(now);
        }
        let is_expired = |record: &&JournalRecord| {
            let since = self.first_seen.get(&record.sequence);
            since.is_some_and(|&since| now.duration_since(since) >= self.settings.min_age)
        };
        let expired = journal.records.iter().filter(is_expired);
        sweep.expired = expired.take(self.settings.max_records).cloned().collect();
        if sweep.expired.is_empty() {
            return Next::End;
        }
        let manifests: BTreeSet<Digest> =
            sweep.expired.iter().flat_map(|record| record.manifests.clone()).collect();
        Next::Step(Step::ReadExpiredManifests { queue: manifests.into_iter().collect() })
    }

    /// The call of the current step, or of the next step that needs one.
    fn issue_call(&mut self, now: Instant) -> Option<StoreRequest> {
        loop {
            let sweep = self.sweep.as_mut()?;
            match sweep.call() {
                Ok(call) => {
                    self.last_call += 1;
                    let id = CallId(self.last_call);
                    self.call_in_flight = Some(id);
                    return Some(StoreRequest { id, call });
                }
                Err(Some(step)) => sweep.step = step,
                Err(None) => {
                    // Some removals were not answered. Their journal records stay, so that the next
                    // sweep tries again.
                    self.sweep = None;
                    self.next_sweep = Some(now + self.settings.retry_delay);
                    return None;
                }
            }
        }
    }
}

impl Sweep {
    /// The next call of this step. If there is none, the error is the step that follows, or `None`
    /// if the sweep ends because removals were not answered.
    fn call(&mut self) -> Result<StoreCall, Option<Step>> {
        let get = |key: &str| Ok(StoreCall::Get { key: key.to_owned() });
        match &mut self.step {
            Step::ReadJournal | Step::ReadJournalAgain | Step::ReadJournalToTrim => {
                get(JOURNAL_KEY)
            }
            Step::ReadCatalog { .. } => get(CATALOG_KEY),
            Step::ReadExpiredManifests { queue } => match queue.front() {
                Some(digest) => get(&part_key(digest)),
                None => Err(Some(Step::ReadCatalog { pass: Pass::First })),
            },
            Step::ReadCatalogManifests { pass, queue } => match (queue.front(), *pass) {
                (Some(digest), _) => get(&part_key(digest)),
                (None, Pass::First) => {
                    self.exclude(&self.referenced());
                    let queue = self.candidates.keys().cloned().collect();
                    Err(Some(Step::ReadRevisions { queue }))
                }
                (None, Pass::Last) => Err(Some(Step::RewriteCatalog)),
            },
            Step::ReadRevisions { queue } => match queue.front() {
                Some(digest) => get(&part_key(digest)),
                None if self.candidates.is_empty() => Err(Some(Step::ReadJournalToTrim)),
                None => Err(Some(Step::ReadCatalog { pass: Pass::Last })),
            },
            Step::RewriteCatalog => Ok(StoreCall::Put {
                key: CATALOG_KEY.to_owned(),
                expect: self.catalog_revision,
                value: self.catalog_value.clone(),
            }),
            Step::ReadYoungManifests { young, queue } => match queue.front() {
                Some(digest) => get(&part_key(digest)),
                None => {
                    let young = std::mem::take(young);
                    let mut kept = self.referenced();
                    for digest in young {
                        kept.extend(
                            self.manifests.get(&digest).into_iter().flat_map(|m| m.0.clone()),
                        );
                        kept.insert(digest);
                    }
                    self.exclude(&kept);
                    // Manifests are removed last: without them, parts whose removal failed could
                    // not be found again.
                    let mut queue: Vec<Digest> = self.candidates.keys().cloned().collect();
                    queue.sort_by_key(|digest| self.manifests.contains_key(digest));
                    Err(Some(Step::Remove { queue: queue.into() }))
                }
            },
            Step::Remove { queue } => match queue.front() {
                Some(digest)
                    if self.removals == Removals::Unanswered
                        && self.manifests.contains_key(digest) =>
                {
                    Err(None)
                }
                Some(digest) => {
                    Ok(StoreCall::Delete { key: part_key(digest), expect: self.candidates[digest] })
                }
                None if self.removals == Removals::Unanswered => Err(None),
                None => Err(Some(Step::ReadJournalToTrim)),
            },
            Step::TrimJournal { expect, value } => Ok(StoreCall::Put {
                key: JOURNAL_KEY.to_owned(),
                expect: *expect,
                value: value.clone(),
            }),
        }
    }

    fn on_catalog(&mut self, pass: Pass, reply: &StoreReply) -> Next {
        let (revision, value) = match reply {
            StoreReply::Value { revision, value } => (*revision, value.clone()),
            // Nothing was accepted yet, so there is no catalog to rewrite in step 3. Without that
            // step, removals are not safe.
            _ => return Next::Abort,
        };
        let Ok(catalog) = Catalog::decode(&value) else {
            return Next::Abort;
        };
        self.catalog = catalog;
        self.catalog_revision = revision;
        self.catalog_value = value;
        let queue = self
            .catalog
            .records
            .values()
            .filter(|record| record.manifest.inline.is_none())
            .map(|record| record.manifest.digest.clone())
            .filter(|digest| !self.manifests.contains_key(digest))
            .collect();
        Next::Step(Step::ReadCatalogManifests { pass, queue })
    }

    fn referenced(&self) -> BTreeSet<Digest> {
        let mut referenced = BTreeSet::new();
        for record in self.catalog.records.values() {
            let digest = &record.manifest.digest;
            let manifest = record.manifest.inline.as_ref().or_else(|| self.manifests.get(digest));
            referenced.extend(manifest.into_iter().flat_map(|manifest| manifest.0.clone()));
            referenced.insert(digest.clone());
        }
        referenced
    }

    fn exclude(&mut self, kept: &BTreeSet<Digest>) {
        self.candidates.retain(|digest, _| !kept.contains(digest));
    }
}

fn decode_journal(reply: &StoreReply) -> Option<(Revision, Journal)> {
    match reply {
        StoreReply::Value { revision, value } => Some((*revision, Journal::decode(value)?)),
        StoreReply::Missing => Some((Revision(0), Journal::default())),
        _ => None,
    }
}

fn decode_manifest(digest: &Digest, reply: &StoreReply) -> Option<Manifest> {
    match reply {
        StoreReply::Value { value, .. } => {
            Part::verified(digest, value).and_then(|part| Manifest::from_part(&part))
        }
        _ => None,
    }
}
