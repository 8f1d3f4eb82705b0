//! Calls that wait for a record to become durable.

use std::collections::VecDeque;

use tokio::time::Instant;

use crate::message::ClaimReply;
use crate::message::ClaimRequest;
use crate::message::RunResult;
use crate::message::Step;

/// A call that is not yet answered.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) tag: u64,
    pub(crate) request: ClaimRequest,
    pub(crate) expires: Instant,
    /// The answer once the batch is durable.
    pub(crate) reply: ClaimReply,
}

impl Waiting {
    /// Whether the call records an outcome. Such a call stays in the queue when the store
    /// is down, while a claim is better refused at once.
    pub(crate) fn is_outcome(&self) -> bool {
        is_outcome(&self.request.step)
    }
}

pub(crate) fn is_outcome(step: &Step) -> bool {
    match step {
        Step::Finish { .. } | Step::Abort { .. } => true,
        Step::Claim { .. } | Step::Start | Step::LookUp => false,
    }
}

/// Calls in order of arrival, with the earliest time at which one of them expires.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    items: VecDeque<Waiting>,
    result_bytes: usize,
    expire_at: Option<Instant>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Size of the results in the queue.
    pub(crate) fn result_bytes(&self) -> usize {
        self.result_bytes
    }

    /// No item expires before this time.
    pub(crate) fn expire_at(&self) -> Option<Instant> {
        self.expire_at
    }

    pub(crate) fn push(&mut self, item: Waiting) {
        self.note(&item);
        self.items.push_back(item);
    }

    pub(crate) fn push_front(&mut self, item: Waiting) {
        self.note(&item);
        self.items.push_front(item);
    }

    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        let item = self.items.pop_front()?;
        self.result_bytes -= result_bytes(&item.request.step);
        Some(item)
    }

    /// Removes all items.
    pub(crate) fn take(&mut self) -> VecDeque<Waiting> {
        self.expire_at = None;
        self.result_bytes = 0;
        std::mem::take(&mut self.items)
    }

    /// Removes the items for which `leave` holds.
    pub(crate) fn remove<F>(&mut self, leave: F) -> Vec<Waiting>
    where
        F: Fn(&Waiting) -> bool,
    {
        let mut removed = Vec::new();
        for item in self.take() {
            if leave(&item) {
                removed.push(item);
            } else {
                self.push(item);
            }
        }
        removed
    }

    fn note(&mut self, item: &Waiting) {
        self.result_bytes += result_bytes(&item.request.step);
        self.expire_at = Some(self.expire_at.map_or(item.expires, |at| at.min(item.expires)));
    }
}

fn result_bytes(step: &Step) -> usize {
    match step {
        Step::Finish { result: RunResult::Kept(bytes) } => bytes.len(),
        Step::Finish { .. }
        | Step::Abort { .. }
        | Step::Claim { .. }
        | Step::Start
        | Step::LookUp => 0,
    }
}
