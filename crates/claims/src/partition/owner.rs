//! Store calls of a partition owner: batches, maintenance and the steps of the take-over.

use std::mem;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::time::Instant;

use super::CallState;
use super::NextWrite;
use super::Partition;
use super::PendingWrite;
use super::Phase;
use super::Removal;
use super::Sweep;
use super::Tail;
use super::WriteKind;
use super::queue::WaitingCall;
use super::take_over::LoadedSegment;
use super::take_over::NextSegment;
use super::take_over::Replay;
use super::take_over::TakeOver;
use super::write::Next;
use super::write::Write;
use crate::log::Head;
use crate::log::SEGMENT_PREFIX_BYTES;
use crate::log::Seal;
use crate::log::Segment;
use crate::log::encode_head;
use crate::log::encode_record;
use crate::log::encode_segment;
use crate::log::head_key;
use crate::log::segment_key;
use crate::message::ClaimReply;
use crate::request_id::Now;
use crate::table::Decision;
use crate::table::Scope;
use crate::table::Table;
use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

impl Partition {
    /// Starts the store calls that are due.
    pub(super) fn start_due(&mut self, now: Now) {
        if let Some(pending) = &self.write {
            if matches!(pending.state, CallState::Due(at) if at <= now.instant) {
                self.call_write(now);
            }
            return;
        }
        match &mut self.phase {
            Phase::TakeOver(TakeOver::Paused(at)) if *at <= now.instant => {
                let call = self.store_call(StoreCall::Get { key: head_key(self.id) });
                self.phase = Phase::TakeOver(TakeOver::Head(call));
            }
            Phase::TakeOver(TakeOver::Segments(_)) => self.read_segments(now),
            Phase::TakeOver(_) | Phase::Releasing | Phase::Retired => {}
            Phase::Owner => {
                if now.instant >= self.ready_at && now.instant >= self.down_until {
                    self.start_next(now);
                }
            }
        }
    }

    fn start_next(&mut self, now: Now) {
        if self.next_write == NextWrite::Maintenance || self.queue.is_empty() {
            self.next_write = NextWrite::Batch;
            if self.start_maintenance(now) {
                return;
            }
        }
        if !self.queue.is_empty() {
            self.next_write = NextWrite::Maintenance;
            self.start_batch(now);
        }
    }

    fn start_batch(&mut self, now: Now) {
        let is_new = self.tail.seal == Seal::Sealed;
        let mut tail = if is_new { Tail::new(self.tail.sequence + 1) } else { self.tail.clone() };
        let old_len = tail.records.len();
        let mut count = 0;
        while let Some(mut waiting) = self.queue.pop() {
            let staged = self.table.is_staged(waiting.request.key);
            match self.table.decide(&waiting.request, now.unix_ms, Scope::WithBatch) {
                Decision::Reply(reply) if staged => {
                    waiting.reply = reply;
                    self.batch.push(waiting);
                }
                Decision::Reply(reply) => self.reply(waiting.tag, reply),
                Decision::Write(record, reply) => {
                    let end = tail.records.len();
                    encode_record(&mut tail.records, &record);
                    // The first record of a segment may exceed the maximum size.
                    let full = end > 0
                        && SEGMENT_PREFIX_BYTES + tail.records.len()
                            > self.settings.max_segment_bytes;
                    if full || count >= self.settings.max_batch_len {
                        tail.records.truncate(end);
                        if full {
                            tail.seal = Seal::Sealed;
                        }
                        self.queue.push_front(waiting);
                        break;
                    }
                    count += 1;
                    tail.newest_ms = tail.newest_ms.max(record.key().time_ms());
                    self.table.stage(record);
                    waiting.reply = reply;
                    self.batch.push(waiting);
                }
            }
        }
        if tail.records.len() == old_len && tail.seal == Seal::Open {
            return;
        }
        self.batch_count += 1;
        let value = encode_segment(self.token, self.batch_count, tail.seal, &tail.records);
        let write = Write::put(segment_key(self.id, tail.sequence), tail.revision, value);
        let kind = if is_new { WriteKind::Create(tail) } else { WriteKind::Append(tail) };
        self.start_write(write, kind, now);
    }

    /// Starts a write for maintenance, if one is due, and reads a segment for the sweep.
    /// Returns whether a write was started.
    fn start_maintenance(&mut self, now: Now) -> bool {
        if let Sweep::Due(sequence) = self.sweep {
            let call = self.store_call(StoreCall::Get { key: segment_key(self.id, sequence) });
            self.sweep = Sweep::Reading { call, sequence };
        }
        if let Some(removal) = self.removals.pop_front() {
            let write = Write::remove(segment_key(self.id, removal.sequence), removal.revision);
            self.start_write(write, WriteKind::Remove, now);
            return true;
        }
        if now.instant < self.prune_at {
            return false;
        }
        self.prune_at = now.instant + self.settings.prune_interval;
        let watermark_ms = now.unix_ms.saturating_sub(millis(self.settings.retention));
        self.table.raise_watermark(watermark_ms);
        let watermark_ms = self.table.watermark_ms();
        let prunable =
            self.sealed.iter().take_while(|segment| segment.newest_ms < watermark_ms).count();
        if prunable == 0 {
            return false;
        }
        let first = self.head.first + prunable as u64;
        let head = Head { first, watermark_ms, ..self.head };
        self.write_head(head, WriteKind::Prune(head), now);
        true
    }

    fn write_head(&mut self, head: Head, kind: WriteKind, now: Now) {
        let write = Write::put(head_key(self.id), self.head_revision, encode_head(&head));
        self.start_write(write, kind, now);
    }

    fn start_write(&mut self, write: Write, kind: WriteKind, now: Now) {
        self.write = Some(PendingWrite { write, kind, state: CallState::Due(self.ready_at) });
        if self.ready_at <= now.instant {
            self.call_write(now);
        }
    }

    fn call_write(&mut self, now: Now) {
        let Some(mut pending) = self.write.take() else {
            return;
        };
        if pending.write.is_writing() {
            self.ready_at = now.instant + self.settings.write_interval;
        }
        pending.state = CallState::Open(self.store_call(pending.write.call()));
        self.write = Some(pending);
    }

    pub(super) fn on_write_reply(&mut self, reply: &StoreReply, now: Now) {
        let Some(mut pending) = self.write.take() else {
            return;
        };
        match pending.write.on_reply(reply) {
            Next::Durable(revision) => self.on_durable(pending.kind, revision, now),
            Next::Conflict => self.on_conflict(now),
            Next::NoEffect => self.on_no_effect(pending, now),
            Next::Continue => {
                let at = if pending.write.is_writing() { self.ready_at } else { now.instant };
                pending.state = CallState::Due(at);
                self.write = Some(pending);
            }
            Next::Pause => {
                pending.state = CallState::Due(self.on_outage(&ClaimReply::Unavailable, now));
                self.write = Some(pending);
            }
        }
    }

    /// Handles a store that does not answer, and returns when to call it again. Calls that
    /// record no outcome are refused rather than held for an unknown time.
    fn on_outage(&mut self, batch_reply: &ClaimReply, now: Now) -> Instant {
        self.down_until = now.instant + self.settings.retry_delay;
        for waiting in self.queue.remove(|waiting| !waiting.is_outcome()) {
            self.reply(waiting.tag, ClaimReply::Down);
        }
        for waiting in self.batch.remove(|waiting| !waiting.is_outcome()) {
            self.reply(waiting.tag, batch_reply.clone());
        }
        self.down_until
    }

    /// Handles a write that had no effect. Outcomes of its batch go back to the queue.
    fn on_no_effect(&mut self, mut pending: PendingWrite, now: Now) {
        let batch_reply = match pending.kind {
            WriteKind::Append(_) | WriteKind::Create(_) => ClaimReply::Down,
            // The new segment with the batch is already in the store.
            WriteKind::CommitTail(..) => ClaimReply::Unavailable,
            WriteKind::TakeOver | WriteKind::Prune(_) | WriteKind::Remove => ClaimReply::Down,
        };
        let at = self.on_outage(&batch_reply, now);
        match pending.kind {
            WriteKind::Append(_) | WriteKind::Create(_) => {
                self.table.discard();
                let batch: Vec<WaitingCall> = self.batch.take().into();
                for waiting in batch.into_iter().rev() {
                    self.queue.push_front(waiting);
                }
                self.after_write();
            }
            WriteKind::Prune(_) => self.after_write(),
            WriteKind::TakeOver | WriteKind::CommitTail(..) | WriteKind::Remove => {
                pending.state = CallState::Due(at.max(self.ready_at));
                self.write = Some(pending);
            }
        }
    }

    /// Handles a write that failed because another owner changed the value.
    fn on_conflict(&mut self, now: Now) {
        match self.phase {
            Phase::TakeOver(_) => self.restart_take_over(now),
            Phase::Owner | Phase::Releasing => {
                info!("claims: partition {} was taken over by another owner, retiring", self.id);
                self.retire();
            }
            Phase::Retired => {}
        }
    }

    fn on_durable(&mut self, kind: WriteKind, revision: Revision, now: Now) {
        match kind {
            WriteKind::TakeOver => return self.on_take_over_durable(revision, now),
            WriteKind::Append(mut tail) => {
                tail.revision = revision;
                self.set_tail(tail);
                self.commit_batch();
            }
            WriteKind::Create(mut tail) => {
                tail.revision = revision;
                let head = Head { tail: tail.sequence, ..self.head };
                return self.write_head(head, WriteKind::CommitTail(head, tail), now);
            }
            WriteKind::CommitTail(head, tail) => {
                self.set_head(head, revision);
                self.set_tail(tail);
                self.commit_batch();
            }
            WriteKind::Prune(head) => {
                let pruned = (head.first - self.head.first) as usize;
                self.removals.extend(self.sealed.drain(..pruned).map(|segment| Removal {
                    sequence: segment.sequence,
                    revision: segment.revision,
                }));
                self.set_head(head, revision);
            }
            WriteKind::Remove => {}
        }
        self.after_write();
    }

    fn set_head(&mut self, head: Head, revision: Revision) {
        self.head = head;
        self.head_revision = revision;
        self.table.raise_watermark(head.watermark_ms);
    }

    fn set_tail(&mut self, mut tail: Tail) {
        if tail.seal == Seal::Sealed {
            self.sealed.push_back(tail.sealed());
            tail.records = Vec::new();
        }
        self.tail = tail;
    }

    fn commit_batch(&mut self) {
        self.table.commit();
        for waiting in self.batch.take() {
            self.reply(waiting.tag, waiting.reply);
        }
    }

    fn after_write(&mut self) {
        if matches!(self.phase, Phase::Releasing) {
            self.retire();
        }
    }

    fn restart_take_over(&mut self, now: Now) {
        self.table = Table::new(self.settings.result_cache_bytes);
        self.sealed.clear();
        self.phase = Phase::TakeOver(TakeOver::Paused(now.instant + self.settings.retry_delay));
    }

    /// Handles the reply to a read of the sweep or of the take-over.
    pub(super) fn on_read_reply(&mut self, call: u64, reply: StoreReply, now: Now) {
        if let Sweep::Reading { call: open, sequence } = self.sweep
            && open == call
        {
            return self.on_sweep(sequence, &reply);
        }
        let Phase::TakeOver(step) = &mut self.phase else {
            return;
        };
        match step {
            TakeOver::Head(open) if *open == call => self.on_head(reply, now),
            TakeOver::Segments(replay) => {
                if let Some(sequence) = replay.read_ended(call) {
                    self.on_segment(sequence, reply, now);
                }
            }
            _ => {}
        }
    }

    /// Continues with the segment below. Segments are removed oldest first, so the remaining
    /// ones are directly below `head.first`, and the sweep ends at the first missing one.
    fn on_sweep(&mut self, sequence: u64, reply: &StoreReply) {
        self.sweep = Sweep::Ended;
        if let StoreReply::Value { revision, .. } = reply {
            self.removals.push_front(Removal { sequence, revision: *revision });
            if sequence > 1 {
                self.sweep = Sweep::Due(sequence - 1);
            }
        }
    }

    fn on_head(&mut self, reply: StoreReply, now: Now) {
        let (head, revision) = match reply {
            StoreReply::Value { revision, value } => match Head::decode(&value) {
                Ok(head) => (head, revision),
                Err(error) => {
                    warn!("claims: cannot decode the head of partition {}: {error}", self.id);
                    return self.pause_take_over(now);
                }
            },
            StoreReply::Missing => (Head::empty(self.token), Revision(0)),
            _ => return self.pause_take_over(now),
        };
        if head.token > self.token {
            info!("claims: partition {} has a later owner, retiring", self.id);
            return self.retire();
        }
        self.head_revision = revision;
        let head = Head { token: self.token, ..head };
        self.phase = Phase::TakeOver(TakeOver::FenceHead(head));
        self.write_head(head, WriteKind::TakeOver, now);
    }

    fn pause_take_over(&mut self, now: Now) {
        let at = self.on_outage(&ClaimReply::Down, now);
        self.restart_take_over(now);
        self.phase = Phase::TakeOver(TakeOver::Paused(at));
    }

    fn read_segments(&mut self, now: Now) {
        loop {
            let Phase::TakeOver(TakeOver::Segments(replay)) = &mut self.phase else {
                return;
            };
            let Some(sequence) = replay.next_read(self.settings.read_window, now.instant) else {
                return;
            };
            let call = self.store_call(StoreCall::Get { key: segment_key(self.id, sequence) });
            if let Phase::TakeOver(TakeOver::Segments(replay)) = &mut self.phase {
                replay.read_started(call, sequence);
            }
        }
    }

    fn on_segment(&mut self, sequence: u64, reply: StoreReply, now: Now) {
        let loaded = match reply {
            StoreReply::Value { revision, value } => match Segment::decode(&value) {
                Ok(segment) => Some(LoadedSegment::new(revision, segment, &value)),
                Err(error) => {
                    warn!(
                        "claims: cannot decode segment {sequence} of partition {}: {error}",
                        self.id
                    );
                    return self.pause_take_over(now);
                }
            },
            StoreReply::Missing => None,
            _ => {
                let at = self.on_outage(&ClaimReply::Down, now);
                if let Phase::TakeOver(TakeOver::Segments(replay)) = &mut self.phase {
                    replay.schedule_retry(sequence, at);
                }
                return;
            }
        };
        let Phase::TakeOver(TakeOver::Segments(replay)) = &mut self.phase else {
            return;
        };
        replay.add(sequence, loaded);
        self.apply_segments(now);
    }

    fn apply_segments(&mut self, now: Now) {
        loop {
            let Phase::TakeOver(TakeOver::Segments(replay)) = &mut self.phase else {
                return;
            };
            match replay.next_segment() {
                NextSegment::Pending => return,
                NextSegment::Missing(sequence) => {
                    warn!(
                        "claims: segment {sequence} of partition {} is missing in the store",
                        self.id
                    );
                    return self.pause_take_over(now);
                }
                NextSegment::End(sequence) => return self.fence_tail(Tail::new(sequence), now),
                NextSegment::Loaded(sequence, loaded) => {
                    let mut tail = Tail::new(sequence);
                    tail.revision = loaded.revision;
                    tail.seal = loaded.seal;
                    tail.records = loaded.bytes;
                    for record in loaded.records {
                        tail.newest_ms = tail.newest_ms.max(record.key().time_ms());
                        self.table.replay(record);
                    }
                    match tail.seal {
                        Seal::Open => return self.fence_tail(tail, now),
                        Seal::Sealed if sequence > self.head.tail => {
                            self.sealed.push_back(tail.sealed());
                            let head = Head { tail: sequence, ..self.head };
                            self.phase = Phase::TakeOver(TakeOver::Extend(head));
                            return self.write_head(head, WriteKind::TakeOver, now);
                        }
                        Seal::Sealed => self.sealed.push_back(tail.sealed()),
                    }
                }
            }
        }
    }

    /// Writes or creates the tail with the own token, so that a late write of an earlier owner
    /// fails.
    fn fence_tail(&mut self, tail: Tail, now: Now) {
        self.batch_count += 1;
        let value = encode_segment(self.token, self.batch_count, Seal::Open, &tail.records);
        let write = Write::put(segment_key(self.id, tail.sequence), tail.revision, value);
        self.tail = tail;
        self.phase = Phase::TakeOver(TakeOver::FenceTail);
        self.start_write(write, WriteKind::TakeOver, now);
    }

    fn on_take_over_durable(&mut self, revision: Revision, now: Now) {
        let Phase::TakeOver(step) = &mut self.phase else {
            return;
        };
        match mem::replace(step, TakeOver::FenceTail) {
            TakeOver::FenceHead(head) => {
                self.set_head(head, revision);
                self.phase = Phase::TakeOver(TakeOver::Segments(Replay::new(&head, head.first)));
            }
            TakeOver::Extend(head) => {
                self.set_head(head, revision);
                self.phase = Phase::TakeOver(TakeOver::Segments(Replay::new(&head, head.tail + 1)));
            }
            TakeOver::FenceTail => {
                self.tail.revision = revision;
                if self.tail.sequence == self.head.tail {
                    return self.become_owner(now);
                }
                let head = Head { tail: self.tail.sequence, ..self.head };
                self.phase = Phase::TakeOver(TakeOver::CommitTail(head));
                self.write_head(head, WriteKind::TakeOver, now);
            }
            TakeOver::CommitTail(head) => {
                self.set_head(head, revision);
                self.become_owner(now);
            }
            TakeOver::Paused(_) | TakeOver::Head(_) | TakeOver::Segments(_) => {}
        }
    }

    fn become_owner(&mut self, now: Now) {
        info!("claims: took over partition {} with {} request ids", self.id, self.table.len());
        self.phase = Phase::Owner;
        self.prune_at = now.instant;
        if self.head.first > 1 {
            self.sweep = Sweep::Due(self.head.first - 1);
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
