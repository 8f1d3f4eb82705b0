//! The state machine of one change by an operator.
//!
//! A change reads the catalog, adds a record to the journal, writes the parts that the catalog
//! does not reference yet, and swaps the catalog: it writes the next one if the store still holds
//! the one that was read. Only the swap is visible to daemons. Each change ends with exactly one
//! [`Outcome`].

mod check;
mod outcome;
mod status;
mod steps;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::backoff::Backoff;
use crate::catalog::CATALOG_KEY;
use crate::catalog::Catalog;
use crate::catalog::ChangeId;
use crate::catalog::ManifestRef;
use crate::catalog::NewChange;
use crate::catalog::Stage;
use crate::catalog::StageKey;
use crate::catalog::StageRecord;
use crate::journal::JOURNAL_KEY;
use crate::message::CallId;
use crate::message::StoreRequest;
use crate::parts;
use crate::parts::Manifest;
use crate::parts::Part;
use crate::parts::part_key;
use tt_model::Digest;
use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

pub use outcome::Outcome;
pub use outcome::Winner;
pub use status::ChangeStatus;
pub use status::history;
pub use status::status;

/// The maximum number of part writes in flight for one change. The store accepts several hundred
/// writes a second, and a write takes a few milliseconds, so this many use about its full rate.
const MAX_WRITES_IN_FLIGHT: usize = 4;

/// What a change does, and to which document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeKind {
    /// Put a document into trial.
    Trial {
        /// The text of the document.
        text: String,
    },
    /// Put the document that is in trial into production.
    Promote {
        /// The digest of that document. The change is refused if another one is in trial.
        digest: Digest,
    },
}

/// Whether the same change id may have been submitted before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmissionKind {
    /// The change id is new.
    First,
    /// An earlier submission with this id was answered "unknown" or not at all. Its swap may have
    /// taken effect or may still do so, so this submission cannot be answered "not changed".
    Repeat,
}

/// An operator's request to change a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeRequest {
    /// The id of the change, given by the operator or else chosen by the daemon.
    pub change: ChangeId,
    /// Whether this id may have been submitted before.
    pub submission: SubmissionKind,
    /// The name of the operator.
    pub operator: String,
    /// The environment to change; a document must have the same name.
    pub environment: String,
    /// The revision of the catalog record that the change is based on; 0 if there was none.
    pub base: Revision,
    /// What to change.
    pub kind: ChangeKind,
}

/// The timeout of a change, and the delays before it repeats failed store calls.
#[derive(Debug, Clone)]
pub struct ChangeSettings {
    /// A change that is not decided within this time ends as "not changed" or "unknown".
    pub timeout: Duration,
    /// The initial retry delay after a failed store call.
    pub initial_delay: Duration,
    /// The maximum retry delay after failed store calls.
    pub max_delay: Duration,
    /// The seed of the jitter of retry delays.
    pub seed: u64,
}

impl Default for ChangeSettings {
    fn default() -> ChangeSettings {
        ChangeSettings {
            timeout: Duration::from_secs(10),
            initial_delay: Duration::from_millis(20),
            max_delay: Duration::from_secs(1),
            seed: 0,
        }
    }
}

/// A change in progress.
#[derive(Debug)]
pub struct Change {
    request: ChangeRequest,
    key: StageKey,
    digest: Digest,
    /// The parts of the document; empty for a promotion.
    parts: Vec<Part>,
    /// The manifest of `parts`.
    manifest: Part,
    deadline: Instant,
    backoff: Backoff,
    retry_at: Option<Instant>,
    next_call: u64,
    phase: Phase,
    /// The catalog as last read.
    stored: StoredCatalog,
    /// The newest store revision of the catalog that is known to exist. Reads of an older one are
    /// stale.
    min_revision: Revision,
    /// Reads that returned a catalog older than the base of the request.
    stale_reads: u32,
    /// A swap whose reply was lost and that may still take effect.
    lost_swap: Option<LostSwap>,
    journaled: bool,
    /// Parts that this change has written, or rewritten so that a removal by the collector fails if
    /// it is based on an earlier read.
    written_parts: BTreeSet<Digest>,
    /// Manifests that are not inline in the catalog, as read from the store.
    manifests: HashMap<Digest, Manifest>,
}

/// The catalog and the revision of its value in the store.
#[derive(Debug, Default)]
struct StoredCatalog {
    revision: Revision,
    catalog: Catalog,
}

#[derive(Debug, Clone, Copy)]
struct LostSwap {
    /// The store revision that the swap replaces.
    expect: Revision,
    /// The catalog revision that the swap creates.
    new_revision: Revision,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct PartWrite {
    part: Part,
    expect: Revision,
}

/// The step in progress. `unconfirmed` is the sequence number of a journal record whose write may
/// have taken effect.
#[derive(Debug)]
enum Phase {
    ReadCatalog { call: Option<CallId> },
    ReadManifest { call: Option<CallId>, digest: Digest },
    ReadJournal { call: Option<CallId>, unconfirmed: Option<u64> },
    WriteJournal { call: CallId, sequence: u64 },
    WriteParts { queue: VecDeque<PartWrite>, in_flight: BTreeMap<CallId, PartWrite> },
    Swap { call: CallId, new_revision: Revision },
    Done(Outcome),
}

impl Change {
    /// Checks the request and starts the change. A request that is not valid has its outcome at
    /// once.
    pub fn start(
        request: ChangeRequest,
        settings: &ChangeSettings,
        now: Instant,
    ) -> (Change, Vec<StoreRequest>) {
        let stage = match request.kind {
            ChangeKind::Trial { .. } => Stage::Trial,
            ChangeKind::Promote { .. } => Stage::Production,
        };
        let (digest, parts, phase) = match (&request.kind, check::check_request(&request)) {
            (_, Err(refused)) => (Digest::of(b""), Vec::new(), Phase::Done(refused)),
            (ChangeKind::Trial { text }, Ok(())) => (
                Digest::of(text.as_bytes()),
                parts::split_document(text),
                Phase::ReadCatalog { call: None },
            ),
            (ChangeKind::Promote { digest }, Ok(())) => {
                (digest.clone(), Vec::new(), Phase::ReadCatalog { call: None })
            }
        };
        let mut change = Change {
            key: StageKey { environment: request.environment.clone(), stage },
            digest,
            manifest: Manifest::of(&parts).to_part(),
            parts,
            deadline: now + settings.timeout,
            backoff: Backoff::new(settings.seed, settings.initial_delay, settings.max_delay),
            retry_at: None,
            next_call: 0,
            phase,
            stored: StoredCatalog::default(),
            min_revision: Revision(0),
            stale_reads: 0,
            lost_swap: None,
            journaled: false,
            written_parts: BTreeSet::new(),
            manifests: HashMap::new(),
            request,
        };
        let calls = change.issue_calls();
        (change, calls)
    }

    /// The outcome; `None` while the change is in progress.
    pub fn outcome(&self) -> Option<&Outcome> {
        match &self.phase {
            Phase::Done(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// The request as it was submitted.
    pub fn request(&self) -> &ChangeRequest {
        &self.request
    }

    /// When [`Change::tick`] has to be called next; `None` once the outcome is known.
    pub fn wake_at(&self) -> Option<Instant> {
        match self.outcome() {
            Some(_) => None,
            None => Some(self.retry_at.map_or(self.deadline, |at| at.min(self.deadline))),
        }
    }

    /// Makes a retry that is due, or ends the change at its deadline.
    pub fn tick(&mut self, now: Instant) -> Vec<StoreRequest> {
        if self.outcome().is_some() {
            return Vec::new();
        }
        if now >= self.deadline {
            self.end_undecided("the store did not answer in time");
            return Vec::new();
        }
        if self.retry_at.is_some_and(|at| now >= at) {
            self.retry_at = None;
            return self.issue_calls();
        }
        Vec::new()
    }

    /// Handles the reply to a store call and returns the next calls.
    pub fn on_reply(&mut self, id: CallId, reply: StoreReply, now: Instant) -> Vec<StoreRequest> {
        if now >= self.deadline && !matches!(self.phase, Phase::Swap { .. }) {
            // A process that was paused must not continue with what it read before the pause.
            return self.tick(now);
        }
        match &mut self.phase {
            Phase::ReadCatalog { call } if *call == Some(id) => {
                *call = None;
                self.on_catalog(reply, now)
            }
            Phase::ReadManifest { call, digest } if *call == Some(id) => {
                *call = None;
                let digest = digest.clone();
                self.on_manifest(digest, reply, now)
            }
            Phase::ReadJournal { call, unconfirmed } if *call == Some(id) => {
                *call = None;
                let unconfirmed = *unconfirmed;
                self.on_journal(unconfirmed, &reply, now)
            }
            Phase::WriteJournal { call, sequence } if *call == id => {
                let sequence = *sequence;
                self.on_journal_written(sequence, &reply, now)
            }
            Phase::WriteParts { in_flight, .. } => match in_flight.remove(&id) {
                Some(write) => self.on_part_written(write, &reply, now),
                None => Vec::new(),
            },
            Phase::Swap { call, new_revision } if *call == id => {
                let new_revision = *new_revision;
                self.on_swap(new_revision, &reply, now)
            }
            Phase::ReadCatalog { .. }
            | Phase::ReadManifest { .. }
            | Phase::ReadJournal { .. }
            | Phase::WriteJournal { .. }
            | Phase::Swap { .. }
            | Phase::Done(_) => Vec::new(),
        }
    }

    /// The calls that the current phase waits for and that are not in flight.
    fn issue_calls(&mut self) -> Vec<StoreRequest> {
        let next = &mut self.next_call;
        let mut request = |call: StoreCall| {
            *next += 1;
            StoreRequest { id: CallId(*next), call }
        };
        match &mut self.phase {
            Phase::ReadCatalog { call } => {
                let read = request(StoreCall::Get { key: CATALOG_KEY.to_owned() });
                *call = Some(read.id);
                vec![read]
            }
            Phase::ReadManifest { call, digest } => {
                let read = request(StoreCall::Get { key: part_key(digest) });
                *call = Some(read.id);
                vec![read]
            }
            Phase::ReadJournal { call, .. } => {
                let read = request(StoreCall::Get { key: JOURNAL_KEY.to_owned() });
                *call = Some(read.id);
                vec![read]
            }
            Phase::WriteParts { queue, in_flight } => {
                // The manifest is written before any part, so that a collector that finds no
                // manifest may conclude that no part was written.
                let manifest = self.manifest.digest();
                let manifest_due =
                    queue.iter().chain(in_flight.values()).any(|w| w.part.digest() == manifest);
                let limit = if manifest_due { 1 } else { MAX_WRITES_IN_FLIGHT };
                let mut calls = Vec::new();
                while in_flight.len() < limit
                    && let Some(write) = queue.pop_front()
                {
                    let put = request(StoreCall::Put {
                        key: write.part.key(),
                        expect: write.expect,
                        value: write.part.text().as_bytes().to_vec(),
                    });
                    in_flight.insert(put.id, write);
                    calls.push(put);
                }
                calls
            }
            Phase::WriteJournal { .. } | Phase::Swap { .. } | Phase::Done(_) => Vec::new(),
        }
    }

    fn new_request(&mut self, call: StoreCall) -> StoreRequest {
        self.next_call += 1;
        StoreRequest { id: CallId(self.next_call), call }
    }

    fn retry_later(&mut self, now: Instant) -> Vec<StoreRequest> {
        self.retry_at = Some(now + self.backoff.next_delay());
        Vec::new()
    }

    /// Retries a write that lost a race with another change: at once after the first conflict and
    /// with growing delays after more, so that concurrent changes do not block each other.
    fn retry_after_conflict(&mut self, now: Instant) -> Vec<StoreRequest> {
        let delay = self.backoff.next_delay();
        if self.backoff.failures() <= 1 {
            return self.issue_calls();
        }
        self.retry_at = Some(now + delay);
        Vec::new()
    }

    fn finish(&mut self, outcome: Outcome) -> Vec<StoreRequest> {
        self.phase = Phase::Done(outcome);
        self.retry_at = None;
        Vec::new()
    }

    /// Ends the change with "unknown" if a swap may have taken effect or may still do so, and with
    /// "not changed" otherwise.
    fn end_undecided(&mut self, reason: &str) -> Vec<StoreRequest> {
        let in_doubt = self.request.submission == SubmissionKind::Repeat
            || self.lost_swap.is_some()
            || matches!(self.phase, Phase::Swap { .. });
        let outcome = if in_doubt {
            Outcome::Unknown { change: self.request.change.clone() }
        } else {
            Outcome::NotChanged { reason: reason.to_owned() }
        };
        self.finish(outcome)
    }

    fn next_catalog(&self) -> Catalog {
        self.stored.catalog.with_change(NewChange {
            key: self.key.clone(),
            manifest: self.manifest_ref(),
            digest: self.digest.clone(),
            change: self.request.change.clone(),
            operator: self.request.operator.clone(),
        })
    }

    fn manifest_ref(&self) -> ManifestRef {
        match &self.request.kind {
            ChangeKind::Trial { .. } => ManifestRef::new(&Manifest::of(&self.parts)),
            ChangeKind::Promote { .. } => {
                let trial = self.stored.catalog.get(&self.key.environment, Stage::Trial);
                trial.expect("a promotion continues only with a document in trial").manifest.clone()
            }
        }
    }

    /// The digests of the manifest that the change replaces and of the one that it puts in force.
    fn journal_manifests(&self) -> Vec<Digest> {
        let replaced = self.stored.catalog.records.get(&self.key);
        let mut manifests: Vec<Digest> =
            replaced.map(|record| record.manifest.digest.clone()).into_iter().collect();
        manifests.push(self.manifest_ref().digest);
        manifests.dedup();
        manifests
    }

    fn stage_records(&self) -> impl Iterator<Item = &StageRecord> {
        let environment = &self.key.environment;
        let stages = [Stage::Trial, Stage::Production];
        stages.into_iter().filter_map(|stage| self.stored.catalog.get(environment, stage))
    }

    /// A manifest of this environment that must be read to know which parts are referenced.
    fn unread_manifest(&self) -> Option<Digest> {
        self.stage_records()
            .filter(|record| record.manifest.inline.is_none())
            .map(|record| &record.manifest.digest)
            .find(|digest| !self.manifests.contains_key(digest))
            .cloned()
    }

    /// The parts that the records of this environment do not reference and that this change has
    /// not written. A referenced part is not removed while the catalog is unchanged. If the catalog
    /// changes, the swap fails and this is evaluated again.
    fn parts_to_write(&self) -> VecDeque<PartWrite> {
        if self.parts.is_empty() {
            return VecDeque::new();
        }
        let mut referenced: BTreeSet<&Digest> = BTreeSet::new();
        for record in self.stage_records() {
            let reference = &record.manifest;
            referenced.insert(&reference.digest);
            let read = self.manifests.get(&reference.digest);
            for part in reference.inline.as_ref().or(read).into_iter().flat_map(|m| &m.0) {
                referenced.insert(part);
            }
        }
        let mut queued = BTreeSet::new();
        std::iter::once(&self.manifest)
            .chain(&self.parts)
            .filter(|part| {
                let digest = part.digest();
                !referenced.contains(digest)
                    && !self.written_parts.contains(digest)
                    && queued.insert(digest.clone())
            })
            .map(|part| PartWrite { part: part.clone(), expect: Revision(0) })
            .collect()
    }
}
