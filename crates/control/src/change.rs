//! The state machine of one operator's change.
//!
//! A change reads the catalog, records itself in the journal, writes the parts that the
//! catalog does not reference yet, and swaps the catalog. The swap is the only step that
//! has an effect for others. It is answered with exactly one [`Outcome`].

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

/// Part writes in flight for one change. The store takes several hundred writes a second;
/// at a few milliseconds each, this many use about its rate and no more.
const WRITES_IN_FLIGHT: usize = 4;
/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeKind {
    /// Put this document into trial.
    Trial {
        /// The document.
        text: String,
    },
    /// Put the document in trial into production.
    Promote {
        /// Its digest.
        digest: Digest,
    },
}

/// Whether the same change id may have been submitted before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmissionKind {
    /// The id is new.
    First,
    /// An earlier submission was answered "unknown" or not at all. Its swap may have taken or
    /// may yet take effect, so this submission cannot be answered "not changed".
    Repeat,
}

/// An operator's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeRequest {
    /// The id of the change, chosen by the operator's tool.
    pub change: ChangeId,
    /// Whether the id may have been submitted before.
    pub submission: SubmissionKind,
    /// Who asks.
    pub operator: String,
    /// The environment.
    pub environment: String,
    /// The revision of the record that the change is based on; 0 if there was none.
    pub base: Revision,
    /// What to do.
    pub kind: ChangeKind,
}

/// Settings of a change.
#[derive(Debug, Clone)]
pub struct ChangeSettings {
    /// A change that is not decided by then is answered with "not changed" or "unknown".
    pub timeout: Duration,
    /// The first delay after a failed store call.
    pub initial_delay: Duration,
    /// The longest delay after failed store calls.
    pub max_delay: Duration,
    /// Seed of the jitter.
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
    /// The cut document; empty for a promotion.
    parts: Vec<Part>,
    /// The manifest of `parts`.
    manifest: Part,
    deadline: Instant,
    backoff: Backoff,
    retry_at: Option<Instant>,
    next_call: u64,
    phase: Phase,
    /// The catalog as last read.
    seen: Seen,
    /// Reads of an older value than this are stale.
    floor: Revision,
    reads_behind: u32,
    /// A swap whose reply was lost and that may still take effect.
    lost: Option<LostSwap>,
    journaled: bool,
    /// Parts that this change has written, or rewritten so that a removal by the collector
    /// that is based on an earlier read fails.
    ensured: BTreeSet<Digest>,
    /// Manifests of catalog records that are not inline.
    manifests: HashMap<Digest, Manifest>,
}

#[derive(Debug, Default)]
struct Seen {
    revision: Revision,
    catalog: Catalog,
}

#[derive(Debug, Clone, Copy)]
struct LostSwap {
    /// The store revision that it was based on.
    expect: Revision,
    /// The catalog revision that it makes.
    makes: Revision,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct PartWrite {
    part: Part,
    expect: Revision,
}

#[derive(Debug)]
enum Phase {
    ReadCatalog { call: Option<CallId> },
    ReadManifest { call: Option<CallId>, digest: Digest },
    ReadJournal { call: Option<CallId>, tried: Option<u64> },
    WriteJournal { call: CallId, sequence: u64 },
    WriteParts { queue: VecDeque<PartWrite>, in_flight: BTreeMap<CallId, PartWrite> },
    Swap { call: CallId, makes: Revision },
    Done(Outcome),
}

impl Change {
    /// Checks the request and starts the change. The outcome may be known at once.
    pub fn start(
        request: ChangeRequest,
        settings: &ChangeSettings,
        now: Instant,
    ) -> (Change, Vec<StoreRequest>) {
        let stage = match request.kind {
            ChangeKind::Trial { .. } => Stage::Trial,
            ChangeKind::Promote { .. } => Stage::Production,
        };
        let (digest, parts, phase) = match (&request.kind, check::check(&request)) {
            (_, Err(refused)) => (Digest::of(b""), Vec::new(), Phase::Done(refused)),
            (ChangeKind::Trial { text }, Ok(())) => {
                (Digest::of(text.as_bytes()), parts::cut(text), Phase::ReadCatalog { call: None })
            }
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
            seen: Seen::default(),
            floor: Revision(0),
            reads_behind: 0,
            lost: None,
            journaled: false,
            ensured: BTreeSet::new(),
            manifests: HashMap::new(),
            request,
        };
        let calls = change.issue();
        (change, calls)
    }

    /// The outcome, once it is known.
    pub fn outcome(&self) -> Option<&Outcome> {
        match &self.phase {
            Phase::Done(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// The request.
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

    /// Retries what is due and ends the change at its deadline.
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
            return self.issue();
        }
        Vec::new()
    }

    /// Takes the outcome of a store call.
    pub fn on_reply(&mut self, id: CallId, reply: StoreReply, now: Instant) -> Vec<StoreRequest> {
        if now >= self.deadline && !matches!(self.phase, Phase::Swap { .. }) {
            // A process paused here must not continue with what it read before the pause.
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
            Phase::ReadJournal { call, tried } if *call == Some(id) => {
                *call = None;
                let tried = *tried;
                self.on_journal(tried, &reply, now)
            }
            Phase::WriteJournal { call, sequence } if *call == id => {
                let sequence = *sequence;
                self.on_journal_written(sequence, &reply, now)
            }
            Phase::WriteParts { in_flight, .. } => match in_flight.remove(&id) {
                Some(write) => self.on_part_written(write, &reply, now),
                None => Vec::new(),
            },
            Phase::Swap { call, makes } if *call == id => {
                let makes = *makes;
                self.on_swap(makes, &reply, now)
            }
            Phase::ReadCatalog { .. }
            | Phase::ReadManifest { .. }
            | Phase::ReadJournal { .. }
            | Phase::WriteJournal { .. }
            | Phase::Swap { .. }
            | Phase::Done(_) => Vec::new(),
        }
    }

    /// Issues the calls that the current phase waits for.
    fn issue(&mut self) -> Vec<StoreRequest> {
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
                // The manifest is written first and alone: a collector that finds no manifest
                // may conclude that no part was written.
                let manifest = self.manifest.digest();
                let manifest_due =
                    queue.iter().chain(in_flight.values()).any(|w| w.part.digest() == manifest);
                let limit = if manifest_due { 1 } else { WRITES_IN_FLIGHT };
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

    fn request_for(&mut self, call: StoreCall) -> StoreRequest {
        self.next_call += 1;
        StoreRequest { id: CallId(self.next_call), call }
    }

    fn retry_later(&mut self, now: Instant) -> Vec<StoreRequest> {
        self.retry_at = Some(now + self.backoff.next_delay());
        Vec::new()
    }

    /// Repeats at once after the first lost race and with growing delays after more, so that
    /// racing changes do not keep each other from succeeding.
    fn retry_contended(&mut self, now: Instant) -> Vec<StoreRequest> {
        let delay = self.backoff.next_delay();
        if self.backoff.failures() <= 1 {
            return self.issue();
        }
        self.retry_at = Some(now + delay);
        Vec::new()
    }

    fn finish(&mut self, outcome: Outcome) -> Vec<StoreRequest> {
        self.phase = Phase::Done(outcome);
        self.retry_at = None;
        Vec::new()
    }

    /// Ends the change without knowing more: "unknown" if a swap may have taken or may yet
    /// take effect, "not changed" otherwise.
    fn end_undecided(&mut self, reason: &str) -> Vec<StoreRequest> {
        let in_doubt = self.request.submission == SubmissionKind::Repeat
            || self.lost.is_some()
            || matches!(self.phase, Phase::Swap { .. });
        let outcome = if in_doubt {
            Outcome::Unknown { change: self.request.change.clone() }
        } else {
            Outcome::NotChanged { reason: reason.to_owned() }
        };
        self.finish(outcome)
    }

    fn next_catalog(&self) -> Catalog {
        self.seen.catalog.with_change(NewChange {
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
                let trial = self.seen.catalog.get(&self.key.environment, Stage::Trial);
                trial.expect("a promotion continues only with a document in trial").manifest.clone()
            }
        }
    }

    /// The manifest that the change replaces and the one that it puts in force.
    fn journal_manifests(&self) -> Vec<Digest> {
        let replaced = self.seen.catalog.records.get(&self.key);
        let mut manifests: Vec<Digest> =
            replaced.map(|record| record.manifest.digest.clone()).into_iter().collect();
        manifests.push(self.manifest_ref().digest);
        manifests.dedup();
        manifests
    }

    fn stage_records(&self) -> impl Iterator<Item = &StageRecord> {
        let environment = &self.key.environment;
        let stages = [Stage::Trial, Stage::Production];
        stages.into_iter().filter_map(|stage| self.seen.catalog.get(environment, stage))
    }

    /// A manifest of this environment that has to be read to know which parts are referenced.
    fn unread_manifest(&self) -> Option<Digest> {
        self.stage_records()
            .filter(|record| record.manifest.inline.is_none())
            .map(|record| &record.manifest.digest)
            .find(|digest| !self.manifests.contains_key(digest))
            .cloned()
    }

    /// The parts that the catalog does not reference and that this change has not written.
    /// A part that the catalog references stays there as long as the catalog is unchanged,
    /// and if it changes, the swap fails and this is evaluated again.
    fn unwritten(&self) -> VecDeque<PartWrite> {
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
                    && !self.ensured.contains(digest)
                    && queued.insert(digest.clone())
            })
            .map(|part| PartWrite { part: part.clone(), expect: Revision(0) })
            .collect()
    }
}
