//! Reading the log at take-over.
//!
//! Order: write the own token to the head, read all segments, write the own token to the
//! tail from the revision that was read. An earlier owner's write to the tail either came
//! before and was read, or fails.

use std::collections::BTreeMap;
use std::collections::HashMap;

use tokio::time::Instant;

use crate::log::Head;
use crate::log::Record;
use crate::log::SEGMENT_PREFIX_BYTES;
use crate::log::Seal;
use crate::log::Segment;
use tt_model::Revision;

/// Where the take-over stands.
#[derive(Debug)]
pub(crate) enum TakeOver {
    /// Waits before reading the head again.
    Paused(Instant),
    /// Reads the head.
    Head(u64),
    /// Writes the own token to the head.
    FenceHead(Head),
    /// Reads segments.
    Segments(Replay),
    /// Writes the own token to the tail, or creates the tail.
    FenceTail,
    /// Names a new tail in the head.
    Confirm(Head),
    /// Names a sealed segment in the head that its writer had no time to name.
    Extend(Head),
}

/// Reads of the segments from `first` to one after the tail that the head names, several at a time.
#[derive(Debug)]
pub(crate) struct Replay {
    tail: u64,
    ask: u64,
    apply: u64,
    open: HashMap<u64, u64>,
    again: Vec<u64>,
    again_at: Option<Instant>,
    arrived: BTreeMap<u64, Option<Loaded>>,
}

/// A segment as read.
#[derive(Debug)]
pub(crate) struct Loaded {
    pub(crate) revision: Revision,
    pub(crate) seal: Seal,
    pub(crate) records: Vec<Record>,
    pub(crate) bytes: Vec<u8>,
}

impl Loaded {
    pub(crate) fn new(revision: Revision, segment: Segment, value: &[u8]) -> Loaded {
        let bytes = match segment.seal {
            Seal::Open => value[SEGMENT_PREFIX_BYTES..].to_vec(),
            Seal::Sealed => Vec::new(),
        };
        Loaded { revision, seal: segment.seal, records: segment.records, bytes }
    }
}

/// The segment that follows in order.
#[derive(Debug)]
pub(crate) enum Step {
    /// It has not arrived yet.
    Pending,
    /// It has arrived.
    Segment(u64, Loaded),
    /// There is none; the log continues with a new segment of this sequence.
    End(u64),
    /// A segment that the head names is missing.
    Gap(u64),
}

impl Replay {
    /// Reads the segments from `first` on.
    pub(crate) fn new(head: &Head, first: u64) -> Replay {
        Replay {
            tail: head.tail,
            ask: first,
            apply: first,
            open: HashMap::new(),
            again: Vec::new(),
            again_at: None,
            arrived: BTreeMap::new(),
        }
    }

    /// The next segment to read, if fewer than `window` are read but not yet applied.
    pub(crate) fn next_read(&mut self, window: usize, now: Instant) -> Option<u64> {
        if self.again_at.is_some_and(|at| now < at) {
            return None;
        }
        if let Some(sequence) = self.again.pop() {
            return Some(sequence);
        }
        self.again_at = None;
        if self.ask > self.tail + 1 || self.open.len() + self.arrived.len() >= window {
            return None;
        }
        self.ask += 1;
        Some(self.ask - 1)
    }

    /// When a failed read is due again.
    pub(crate) fn again_at(&self) -> Option<Instant> {
        self.again_at
    }

    /// Notes the store call that reads a segment.
    pub(crate) fn asked(&mut self, call: u64, sequence: u64) {
        self.open.insert(call, sequence);
    }

    /// The segment that `call` reads.
    pub(crate) fn answered(&mut self, call: u64) -> Option<u64> {
        self.open.remove(&call)
    }

    /// Reads a segment again later.
    pub(crate) fn retry(&mut self, sequence: u64, at: Instant) {
        self.again.push(sequence);
        self.again_at = Some(at);
    }

    /// Notes the content of a segment.
    pub(crate) fn arrived(&mut self, sequence: u64, loaded: Option<Loaded>) {
        self.arrived.insert(sequence, loaded);
    }

    /// The next segment in order.
    pub(crate) fn next_step(&mut self) -> Step {
        let sequence = self.apply;
        let Some(loaded) = self.arrived.remove(&sequence) else {
            return Step::Pending;
        };
        self.apply += 1;
        match loaded {
            Some(loaded) => Step::Segment(sequence, loaded),
            None if sequence > self.tail => Step::End(sequence),
            None => Step::Gap(sequence),
        }
    }
}
