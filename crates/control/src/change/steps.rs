//! The steps of a change: how it handles each reply of the store.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::Change;
use super::ChangeKind;
use super::LostSwap;
use super::Outcome;
use super::PartWrite;
use super::Phase;
use super::StoredCatalog;
use super::SubmissionKind;
use super::Winner;
use super::check::fault;
use crate::catalog::CATALOG_KEY;
use crate::catalog::Catalog;
use crate::catalog::Stage;
use crate::catalog::StageRecord;
use crate::journal::JOURNAL_KEY;
use crate::journal::Journal;
use crate::message::StoreRequest;
use crate::parts::Manifest;
use crate::parts::Part;
use tt_model::Digest;
use tt_model::ResultCode;
use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

/// The number of reads that may return a catalog older than the base of the request. After them
/// the base is taken to be wrong.
const MAX_STALE_READS: u32 = 3;

impl Change {
    pub(super) fn on_catalog(&mut self, reply: StoreReply, now: Instant) -> Vec<StoreRequest> {
        let stored = match reply {
            StoreReply::Value { revision, value } => match Catalog::decode(&value) {
                Ok(catalog) => StoredCatalog { revision, catalog },
                Err(error) => return self.end_undecided(&error.to_string()),
            },
            StoreReply::Missing => StoredCatalog::default(),
            _ => return self.retry_later(now),
        };
        if stored.revision < self.min_revision {
            return self.retry_later(now);
        }
        self.min_revision = stored.revision;
        self.stored = stored;
        self.decide(now)
    }

    /// Continues with the catalog that was read last.
    fn decide(&mut self, now: Instant) -> Vec<StoreRequest> {
        let record = self.stored.catalog.records.get(&self.key);
        if let Some(accepted) = record.and_then(|record| record.find_change(&self.request.change)) {
            if accepted.digest != self.digest {
                let fault = fault("change", "the change id was used for another document");
                return self.finish(Outcome::refused(ResultCode::RequestIdReused, fault));
            }
            let revision = accepted.revision;
            return self.finish(Outcome::Accepted { revision });
        }
        if let Some(lost) = self.lost_swap
            && self.stored.revision > lost.expect
        {
            // The catalog has changed since the lost swap was sent, so the swap is either in the
            // history or can no longer take effect.
            if record.is_some_and(|record| !record.history_covers(lost.new_revision)) {
                return self.end_undecided("");
            }
            self.lost_swap = None;
        }
        let found = record.map_or(Revision(0), StageRecord::revision);
        if found != self.request.base {
            if self.stored.catalog.revision < self.request.base
                && self.stale_reads < MAX_STALE_READS
            {
                // The operator has seen a newer catalog than this read returned.
                self.stale_reads += 1;
                return self.retry_later(now);
            }
            // An earlier submission had the same base, so it can no longer take effect. It may have
            // taken effect before, if the history no longer goes back to that base.
            if self.request.submission == SubmissionKind::Repeat
                && record.is_some_and(|record| !record.history_covers(self.request.base.next()))
            {
                return self.end_undecided("");
            }
            let winner = Winner::of(record);
            return self.finish(Outcome::Conflict { winner });
        }
        if let ChangeKind::Promote { digest } = &self.request.kind {
            let in_trial = self.stored.catalog.get(&self.key.environment, Stage::Trial);
            let trial = match in_trial {
                Some(trial) => trial,
                None => {
                    let fault = fault("environment", "the environment has no document in trial");
                    return self.finish(Outcome::refused(ResultCode::UnknownEnvironment, fault));
                }
            };
            if trial.digest() != digest {
                let text = format!("the digest in trial is {}", trial.digest());
                return self.finish(Outcome::refused(ResultCode::NotTried, fault("digest", &text)));
            }
        }
        if let Err(error) = self.next_catalog().encode() {
            let fault = fault("", &error.to_string());
            return self.finish(Outcome::refused(error.code(), fault));
        }
        self.advance()
    }

    /// Starts the next step that is needed before the swap, or else the swap.
    fn advance(&mut self) -> Vec<StoreRequest> {
        if !self.parts.is_empty()
            && let Some(digest) = self.unread_manifest()
        {
            self.phase = Phase::ReadManifest { call: None, digest };
            return self.issue_calls();
        }
        if !self.journaled {
            self.phase = Phase::ReadJournal { call: None, unconfirmed: None };
            return self.issue_calls();
        }
        let queue = self.parts_to_write();
        if !queue.is_empty() {
            self.phase = Phase::WriteParts { queue, in_flight: BTreeMap::new() };
            return self.issue_calls();
        }
        let next = self.next_catalog();
        let value = next.encode().expect("the size was checked when the catalog was read");
        let expect = self.stored.revision;
        let call = StoreCall::Put { key: CATALOG_KEY.to_owned(), expect, value };
        let request = self.new_request(call);
        self.phase = Phase::Swap { call: request.id, new_revision: next.revision };
        vec![request]
    }

    pub(super) fn on_manifest(
        &mut self,
        digest: Digest,
        reply: StoreReply,
        now: Instant,
    ) -> Vec<StoreRequest> {
        let manifest = match reply {
            StoreReply::Value { value, .. } => Part::verified(&digest, &value)
                .and_then(|part| Manifest::from_part(&part))
                .unwrap_or(Manifest(Vec::new())),
            // If the manifest is not known, every part is written again, which is safe.
            StoreReply::Missing => Manifest(Vec::new()),
            _ => return self.retry_later(now),
        };
        self.manifests.insert(digest, manifest);
        self.advance()
    }

    pub(super) fn on_journal(
        &mut self,
        unconfirmed: Option<u64>,
        reply: &StoreReply,
        now: Instant,
    ) -> Vec<StoreRequest> {
        let (expect, mut journal) = match reply {
            StoreReply::Value { revision, value } => match Journal::decode(value) {
                Some(journal) => (*revision, journal),
                None => return self.end_undecided("the journal of changes cannot be read"),
            },
            StoreReply::Missing => (Revision(0), Journal::default()),
            _ => return self.retry_later(now),
        };
        if unconfirmed.is_some_and(|sequence| journal.contains(sequence, &self.request.change)) {
            self.journaled = true;
            return self.advance();
        }
        let sequence = journal.add(self.request.change.clone(), self.journal_manifests());
        let Some(value) = journal.encode() else {
            return self.end_undecided("the journal of changes is full; try again in an hour");
        };
        let call = StoreCall::Put { key: JOURNAL_KEY.to_owned(), expect, value };
        let request = self.new_request(call);
        self.phase = Phase::WriteJournal { call: request.id, sequence };
        vec![request]
    }

    pub(super) fn on_journal_written(
        &mut self,
        sequence: u64,
        reply: &StoreReply,
        now: Instant,
    ) -> Vec<StoreRequest> {
        match reply {
            StoreReply::Written { .. } => {
                self.journaled = true;
                self.backoff.reset();
                self.advance()
            }
            StoreReply::Conflict { .. } => {
                self.phase = Phase::ReadJournal { call: None, unconfirmed: Some(sequence) };
                self.retry_after_conflict(now)
            }
            _ => {
                self.phase = Phase::ReadJournal { call: None, unconfirmed: Some(sequence) };
                self.retry_later(now)
            }
        }
    }

    pub(super) fn on_part_written(
        &mut self,
        write: PartWrite,
        reply: &StoreReply,
        now: Instant,
    ) -> Vec<StoreRequest> {
        let Phase::WriteParts { queue, in_flight } = &mut self.phase else {
            return Vec::new();
        };
        match reply {
            StoreReply::Written { .. } => {
                self.written_parts.insert(write.part.digest().clone());
            }
            // Another change has rewritten the part since this change saw its revision. A removal
            // by the collector fails then as if this change had rewritten it.
            StoreReply::Conflict { revision } if *revision > write.expect && write.expect.0 > 0 => {
                self.written_parts.insert(write.part.digest().clone());
            }
            StoreReply::Conflict { revision } => {
                queue.push_front(PartWrite { expect: *revision, ..write });
            }
            _ => {
                queue.push_front(write);
                return self.retry_later(now);
            }
        }
        if queue.is_empty() && in_flight.is_empty() {
            self.backoff.reset();
            return self.advance();
        }
        if self.retry_at.is_some() {
            return Vec::new();
        }
        self.issue_calls()
    }

    pub(super) fn on_swap(
        &mut self,
        new_revision: Revision,
        reply: &StoreReply,
        now: Instant,
    ) -> Vec<StoreRequest> {
        let expect = self.stored.revision;
        match reply {
            StoreReply::Written { .. } => self.finish(Outcome::Accepted { revision: new_revision }),
            StoreReply::Conflict { revision } => {
                self.min_revision = self.min_revision.max(*revision);
                self.phase = Phase::ReadCatalog { call: None };
                if now >= self.deadline {
                    return self.tick(now);
                }
                self.retry_after_conflict(now)
            }
            StoreReply::Unavailable => {
                self.phase = Phase::ReadCatalog { call: None };
                self.retry_later(now)
            }
            StoreReply::Lost | StoreReply::Value { .. } | StoreReply::Missing => {
                self.lost_swap = Some(LostSwap { expect, new_revision });
                self.phase = Phase::ReadCatalog { call: None };
                self.retry_later(now)
            }
        }
    }
}
