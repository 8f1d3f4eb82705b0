//! The steps in which a new owner takes the log over.
//!
//! Order: write the own token to the head, read all segments, write the own token to the
//! tail from the revision that was read. A write of an earlier owner to the tail either came
//! before the read or fails.

use std::collections::BTreeMap;
use std::collections::HashMap;

use tokio::time::Instant;

use crate::log::Head;
use crate::log::Record;
use crate::log::SEGMENT_PREFIX_BYTES;
use crate::log::Seal;
use crate::log::Segment;
use tt_model::Revision;

/// The current step of a take-over.
#[derive(Debug)]
pub(crate) enum TakeOver {
    /// Waits until this time before it reads the head.
    Paused(Instant),
    /// Reads the head with this store call.
    Head(u64),
    /// Writes the own token to the head.
    FenceHead(Head),
    /// Reads segments.
    Segments(Replay),
    /// Writes the own token to the tail, or creates the tail.
    FenceTail,
    /// Names a new tail in the head.
    CommitTail(Head),
    /// Names in the head a sealed segment whose writer stopped before naming it.
    Extend(Head),
}

/// Concurrent reads of the segments up to the one after the tail that the head names.
#[derive(Debug)]
pub(crate) struct Replay {
    tail: u64,
    /// Sequence of the next segment to read.
    read_next: u64,
    /// Sequence of the next segment to apply.
    apply_next: u64,
    /// Sequences that are being read, by the number of the store call.
    reads: HashMap<u64, u64>,
    /// Sequences whose reads failed.
    retries: Vec<u64>,
    retry_at: Option<Instant>,
    /// Segments that are read but not yet applied, by sequence; `None` if missing.
    loaded: BTreeMap<u64, Option<LoadedSegment>>,
}

/// A segment that was read from the store.
#[derive(Debug)]
pub(crate) struct LoadedSegment {
    pub(crate) revision: Revision,
    pub(crate) seal: Seal,
    pub(crate) records: Vec<Record>,
    /// The encoded records of an open segment; empty for a sealed one.
    pub(crate) bytes: Vec<u8>,
}

impl LoadedSegment {
    pub(crate) fn new(revision: Revision, segment: Segment, value: &[u8]) -> LoadedSegment {
        let bytes = match segment.seal {
            Seal::Open => value[SEGMENT_PREFIX_BYTES..].to_vec(),
            Seal::Sealed => Vec::new(),
        };
        LoadedSegment { revision, seal: segment.seal, records: segment.records, bytes }
    }
}

/// What is known of the next segment to apply.
#[derive(Debug)]
pub(crate) enum NextSegment {
    /// The segment is not read yet.
    Pending,
    /// The segment with this sequence.
    Loaded(u64, LoadedSegment),
    /// The log ends; its next segment will have this sequence.
    End(u64),
    /// The segment with this sequence is missing, although the head names it.
    Missing(u64),
}

impl Replay {
    /// Starts with the segment `first`.
    pub(crate) fn new(head: &Head, first: u64) -> Replay {
        Replay {
            tail: head.tail,
            read_next: first,
            apply_next: first,
            reads: HashMap::new(),
            retries: Vec::new(),
            retry_at: None,
            loaded: BTreeMap::new(),
        }
    }

    /// Returns the next segment to read, if a read is due and fewer than `window` segments are
    /// being read or waiting to be applied.
    pub(crate) fn next_read(&mut self, window: usize, now: Instant) -> Option<u64> {
        if self.retry_at.is_some_and(|at| now < at) {
            return None;
        }
        if let Some(sequence) = self.retries.pop() {
            return Some(sequence);
        }
        self.retry_at = None;
        if self.read_next > self.tail + 1 || self.reads.len() + self.loaded.len() >= window {
            return None;
        }
        self.read_next += 1;
        Some(self.read_next - 1)
    }

    /// When failed reads are retried.
    pub(crate) fn retry_at(&self) -> Option<Instant> {
        self.retry_at
    }

    /// Records that the store call `call` reads a segment.
    pub(crate) fn read_started(&mut self, call: u64, sequence: u64) {
        self.reads.insert(call, sequence);
    }

    /// Returns the segment that `call` was to read.
    pub(crate) fn read_ended(&mut self, call: u64) -> Option<u64> {
        self.reads.remove(&call)
    }

    /// Schedules another read of a segment.
    pub(crate) fn schedule_retry(&mut self, sequence: u64, at: Instant) {
        self.retries.push(sequence);
        self.retry_at = Some(at);
    }

    /// Adds a segment that was read, or `None` if the store has no such segment.
    pub(crate) fn add(&mut self, sequence: u64, loaded: Option<LoadedSegment>) {
        self.loaded.insert(sequence, loaded);
    }

    /// Takes the next segment to apply.
    pub(crate) fn next_segment(&mut self) -> NextSegment {
        let sequence = self.apply_next;
        let Some(loaded) = self.loaded.remove(&sequence) else {
            return NextSegment::Pending;
        };
        self.apply_next += 1;
        match loaded {
            Some(loaded) => NextSegment::Loaded(sequence, loaded),
            None if sequence > self.tail => NextSegment::End(sequence),
            None => NextSegment::Missing(sequence),
        }
    }
}
