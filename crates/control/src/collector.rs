//! Removal of parts that no catalog record references.
//!
//! A sweep must not remove a part that a change in progress is about to reference. Its steps
//! are ordered for that:
//!
//! 1. Journal records that have been observed for an hour name the candidates.
//! 2. The revision of each candidate is read.
//! 3. The catalog is read and rewritten unchanged. A swap that is still on its way from an
//!    older read, however long it was delayed, fails from here on.
//! 4. The journal is read again. Candidates of younger records are kept.
//! 5. The remaining candidates are removed, each at the revision read in step 2.
//!
//! A change writes its journal record before it writes or rewrites any part. If its record
//! was written before step 4, its parts are kept. Otherwise it rewrites them after step 2, and
//! the removal fails because the revision is another.

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

/// Settings of the collector.
#[derive(Debug, Clone)]
pub struct CollectorSettings {
    /// Records are examined after this time. Measured from when this daemon first saw the
    /// record, so that it depends on no other daemon's clock.
    pub age: Duration,
    /// The time between sweeps.
    pub interval: Duration,
    /// The time before a sweep is repeated that a store error ended.
    pub retry: Duration,
    /// Records examined in one sweep.
    pub records: usize,
}

impl Default for CollectorSettings {
    fn default() -> CollectorSettings {
        CollectorSettings {
            age: Duration::from_secs(3600),
            interval: Duration::from_secs(600),
            retry: Duration::from_secs(30),
            records: 64,
        }
    }
}

/// Finds and removes unreferenced parts while it is active. One daemon should be active;
/// several at once are safe.
#[derive(Debug)]
pub struct Collector {
    settings: CollectorSettings,
    /// When each journal record was first seen.
    observed: BTreeMap<u64, Instant>,
    next_sweep: Option<Instant>,
    sweep: Option<Sweep>,
    call: Option<CallId>,
    last_call: u64,
    removed: u64,
}

#[derive(Debug)]
struct Sweep {
    step: Step,
    expired: Vec<JournalRecord>,
    /// Candidates with the revision to remove; 0 if it is not read yet.
    candidates: BTreeMap<Digest, Revision>,
    manifests: HashMap<Digest, Manifest>,
    catalog: Catalog,
    catalog_revision: Revision,
    catalog_value: Vec<u8>,
    /// Whether each removal was answered.
    settled: Settled,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Settled {
    All,
    NotAll,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pass {
    /// Finds candidates whose revision is worth reading.
    First,
    /// Decides.
    Last,
}

#[derive(Debug)]
enum Step {
    ReadJournal,
    ExpiredManifests { queue: VecDeque<Digest> },
    ReadCatalog { pass: Pass },
    CatalogManifests { pass: Pass, queue: VecDeque<Digest> },
    Revisions { queue: VecDeque<Digest> },
    Touch,
    ReadJournalAgain,
    YoungManifests { young: Vec<Digest>, queue: VecDeque<Digest> },
    Remove { queue: VecDeque<Digest> },
    ReadForTrim,
    Trim { expect: Revision, value: Vec<u8> },
}

/// What a reply leads to.
enum Next {
    Step(Step),
    /// The sweep is complete.
    End,
    /// A store error; the sweep is repeated later from the start.
    Abort,
}

impl Collector {
    /// A collector that is not active.
    pub fn new(settings: CollectorSettings) -> Collector {
        Collector {
            settings,
            observed: BTreeMap::new(),
            next_sweep: None,
            sweep: None,
            call: None,
            last_call: 0,
            removed: 0,
        }
    }

    /// Starts sweeping, if it does not already.
    pub fn activate(&mut self, now: Instant) {
        if self.next_sweep.is_none() {
            self.next_sweep = Some(now);
        }
    }

    /// Stops; the reply to a call in flight is ignored. What was observed stays valid.
    pub fn deactivate(&mut self) {
        self.next_sweep = None;
        self.sweep = None;
        self.call = None;
    }

    /// Values removed so far.
    pub fn removed(&self) -> u64 {
        self.removed
    }

    /// When [`Collector::tick`] has to be called next.
    pub fn wake_at(&self) -> Option<Instant> {
        self.next_sweep.filter(|_| self.sweep.is_none())
    }

    /// Starts a sweep if one is due.
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
            settled: Settled::All,
        });
        self.issue(now)
    }

    /// Takes the outcome of a store call.
    pub fn on_reply(
        &mut self,
        id: CallId,
        reply: &StoreReply,
        now: Instant,
    ) -> Option<StoreRequest> {
        if self.call != Some(id) {
            return None;
        }
        self.call = None;
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
                self.issue(now)
            }
            Next::End => {
                let more = sweep.expired.len() >= self.settings.records;
                let wait = if more { self.settings.retry } else { self.settings.interval };
                self.next_sweep = Some(now + wait);
                None
            }
            Next::Abort => {
                self.next_sweep = Some(now + self.settings.retry);
                None
            }
        }
    }

    fn advance(&mut self, sweep: &mut Sweep, reply: &StoreReply, now: Instant) -> Next {
        // The step is replaced by the result of this function.
        match std::mem::replace(&mut sweep.step, Step::ReadJournal) {
            Step::ReadJournal => match read_journal(reply) {
                Some((_, journal)) => self.find_expired(sweep, &journal, now),
                None => Next::Abort,
            },
            Step::ExpiredManifests { mut queue } => {
                if let Some(digest) = queue.pop_front() {
                    // A change writes its manifest first, so without it there are no parts.
                    if let Some(manifest) = read_manifest(&digest, reply) {
                        sweep
                            .candidates
                            .extend(manifest.0.iter().map(|d| (d.clone(), Revision(0))));
                        sweep.candidates.insert(digest.clone(), Revision(0));
                        sweep.manifests.insert(digest, manifest);
                    }
                }
                Next::Step(Step::ExpiredManifests { queue })
            }
            Step::ReadCatalog { pass } => sweep.take_catalog(pass, reply),
            Step::CatalogManifests { pass, mut queue } => {
                let Some(digest) = queue.pop_front() else {
                    return Next::Abort;
                };
                // Without the manifest it is not known what the catalog references.
                let Some(manifest) = read_manifest(&digest, reply) else {
                    return Next::Abort;
                };
                sweep.manifests.insert(digest, manifest);
                Next::Step(Step::CatalogManifests { pass, queue })
            }
            Step::Revisions { mut queue } => {
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
                Next::Step(Step::Revisions { queue })
            }
            Step::Touch => match reply {
                StoreReply::Written { .. } => Next::Step(Step::ReadJournalAgain),
                _ => Next::Step(Step::ReadCatalog { pass: Pass::Last }),
            },
            Step::ReadJournalAgain => match read_journal(reply) {
                Some((_, journal)) => {
                    let expired: BTreeSet<u64> = sweep.expired.iter().map(|r| r.sequence).collect();
                    let young: Vec<Digest> = journal
                        .records
                        .iter()
                        .filter(|record| !expired.contains(&record.sequence))
                        .flat_map(|record| record.manifests.clone())
                        .collect();
                    let queue = young.iter().cloned().collect();
                    Next::Step(Step::YoungManifests { young, queue })
                }
                None => Next::Abort,
            },
            Step::YoungManifests { young, mut queue } => {
                if let Some(digest) = queue.pop_front()
                    && let Some(manifest) = read_manifest(&digest, reply)
                {
                    sweep.manifests.insert(digest, manifest);
                }
                Next::Step(Step::YoungManifests { young, queue })
            }
            Step::Remove { mut queue } => {
                queue.pop_front();
                match reply {
                    StoreReply::Written { .. } => self.removed += 1,
                    StoreReply::Conflict { .. } | StoreReply::Missing => {}
                    StoreReply::Value { .. } | StoreReply::Unavailable | StoreReply::Lost => {
                        // Not repeated here: a repeated removal could meet a value that was
                        // written anew. The next sweep reads the revision again.
                        sweep.settled = Settled::NotAll;
                    }
                }
                Next::Step(Step::Remove { queue })
            }
            Step::ReadForTrim => match read_journal(reply) {
                Some((revision, mut journal)) => {
                    let expired: BTreeSet<u64> = sweep.expired.iter().map(|r| r.sequence).collect();
                    journal.records.retain(|record| !expired.contains(&record.sequence));
                    match journal.encode() {
                        Some(value) => Next::Step(Step::Trim { expect: revision, value }),
                        None => Next::Abort,
                    }
                }
                None => Next::Abort,
            },
            Step::Trim { .. } => match reply {
                StoreReply::Written { .. } => Next::End,
                _ => Next::Step(Step::ReadForTrim),
            },
        }
    }

    fn find_expired(&mut self, sweep: &mut Sweep, journal: &Journal, now: Instant) -> Next {
        let present: BTreeSet<u64> = journal.records.iter().map(|r| r.sequence).collect();
        self.observed.retain(|sequence, _| present.contains(sequence));
        for sequence in present {
            self.observed.entry(sequence).or_insert(now);
        }
        let is_expired = |record: &&JournalRecord| {
            let since = self.observed.get(&record.sequence);
            since.is_some_and(|&since| now.duration_since(since) >= self.settings.age)
        };
        let expired = journal.records.iter().filter(is_expired);
        sweep.expired = expired.take(self.settings.records).cloned().collect();
        if sweep.expired.is_empty() {
            return Next::End;
        }
        let manifests: BTreeSet<Digest> =
            sweep.expired.iter().flat_map(|record| record.manifests.clone()).collect();
        Next::Step(Step::ExpiredManifests { queue: manifests.into_iter().collect() })
    }

    /// Makes the call of the current step, passing over steps that have nothing to do.
    fn issue(&mut self, now: Instant) -> Option<StoreRequest> {
        loop {
            let sweep = self.sweep.as_mut()?;
            match sweep.call() {
                Ok(call) => {
                    self.last_call += 1;
                    let id = CallId(self.last_call);
                    self.call = Some(id);
                    return Some(StoreRequest { id, call });
                }
                Err(Some(step)) => sweep.step = step,
                Err(None) => {
                    // Some removals were not answered; their records stay for the next sweep.
                    self.sweep = None;
                    self.next_sweep = Some(now + self.settings.retry);
                    return None;
                }
            }
        }
    }
}

impl Sweep {
    /// The call of this step, or the step that follows if there is nothing to call.
    fn call(&mut self) -> Result<StoreCall, Option<Step>> {
        let get = |key: &str| Ok(StoreCall::Get { key: key.to_owned() });
        match &mut self.step {
            Step::ReadJournal | Step::ReadJournalAgain | Step::ReadForTrim => get(JOURNAL_KEY),
            Step::ReadCatalog { .. } => get(CATALOG_KEY),
            Step::ExpiredManifests { queue } => match queue.front() {
                Some(digest) => get(&part_key(digest)),
                None => Err(Some(Step::ReadCatalog { pass: Pass::First })),
            },
            Step::CatalogManifests { pass, queue } => match (queue.front(), *pass) {
                (Some(digest), _) => get(&part_key(digest)),
                (None, Pass::First) => {
                    self.keep(&self.referenced());
                    let queue = self.candidates.keys().cloned().collect();
                    Err(Some(Step::Revisions { queue }))
                }
                (None, Pass::Last) => Err(Some(Step::Touch)),
            },
            Step::Revisions { queue } => match queue.front() {
                Some(digest) => get(&part_key(digest)),
                None if self.candidates.is_empty() => Err(Some(Step::ReadForTrim)),
                None => Err(Some(Step::ReadCatalog { pass: Pass::Last })),
            },
            Step::Touch => Ok(StoreCall::Put {
                key: CATALOG_KEY.to_owned(),
                expect: self.catalog_revision,
                value: self.catalog_value.clone(),
            }),
            Step::YoungManifests { young, queue } => match queue.front() {
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
                    self.keep(&kept);
                    // Manifests last: without them the parts could not be found again.
                    let mut queue: Vec<Digest> = self.candidates.keys().cloned().collect();
                    queue.sort_by_key(|digest| self.manifests.contains_key(digest));
                    Err(Some(Step::Remove { queue: queue.into() }))
                }
            },
            Step::Remove { queue } => match queue.front() {
                Some(digest)
                    if self.settled == Settled::NotAll && self.manifests.contains_key(digest) =>
                {
                    Err(None)
                }
                Some(digest) => {
                    Ok(StoreCall::Delete { key: part_key(digest), expect: self.candidates[digest] })
                }
                None if self.settled == Settled::NotAll => Err(None),
                None => Err(Some(Step::ReadForTrim)),
            },
            Step::Trim { expect, value } => Ok(StoreCall::Put {
                key: JOURNAL_KEY.to_owned(),
                expect: *expect,
                value: value.clone(),
            }),
        }
    }

    fn take_catalog(&mut self, pass: Pass, reply: &StoreReply) -> Next {
        let (revision, value) = match reply {
            StoreReply::Value { revision, value } => (*revision, value.clone()),
            // Nothing was ever accepted; there is nothing to rewrite, so nothing is removed.
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
        Next::Step(Step::CatalogManifests { pass, queue })
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

    fn keep(&mut self, kept: &BTreeSet<Digest>) {
        self.candidates.retain(|digest, _| !kept.contains(digest));
    }
}

fn read_journal(reply: &StoreReply) -> Option<(Revision, Journal)> {
    match reply {
        StoreReply::Value { revision, value } => Some((*revision, Journal::decode(value)?)),
        StoreReply::Missing => Some((Revision(0), Journal::default())),
        _ => None,
    }
}

fn read_manifest(digest: &Digest, reply: &StoreReply) -> Option<Manifest> {
    match reply {
        StoreReply::Value { value, .. } => {
            Part::verified(digest, value).and_then(|part| Manifest::from_part(&part))
        }
        _ => None,
    }
}
