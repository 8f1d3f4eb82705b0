//! Claimants' calls that have no reply yet.

use std::collections::VecDeque;

use tokio::time::Instant;

use crate::message::ClaimReply;
use crate::message::ClaimRequest;
use crate::message::RunResult;
use crate::message::Step;

/// A claimant's call that has no reply yet.
#[derive(Debug)]
pub(crate) struct WaitingCall {
    pub(crate) tag: u64,
    pub(crate) request: ClaimRequest,
    pub(crate) expires: Instant,
    /// The reply once the batch is durable.
    pub(crate) reply: ClaimReply,
}

impl WaitingCall {
    /// Whether the call records an outcome. Such a call stays in the queue while the store is
    /// down; other calls are refused at once.
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

/// Calls in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    items: VecDeque<WaitingCall>,
    result_bytes: usize,
    /// A lower bound of the times at which items expire.
    expire_at: Option<Instant>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Total size of the results in the queue.
    pub(crate) fn result_bytes(&self) -> usize {
        self.result_bytes
    }

    /// Returns a time before which no item expires.
    pub(crate) fn expire_at(&self) -> Option<Instant> {
        self.expire_at
    }

    pub(crate) fn push(&mut self, item: WaitingCall) {
        self.account(&item);
        self.items.push_back(item);
    }

    pub(crate) fn push_front(&mut self, item: WaitingCall) {
        self.account(&item);
        self.items.push_front(item);
    }

    pub(crate) fn pop(&mut self) -> Option<WaitingCall> {
        let item = self.items.pop_front()?;
        self.result_bytes -= result_bytes(&item.request.step);
        Some(item)
    }

    /// Removes and returns all items.
    pub(crate) fn take(&mut self) -> VecDeque<WaitingCall> {
        self.expire_at = None;
        self.result_bytes = 0;
        std::mem::take(&mut self.items)
    }

    /// Removes and returns the items that match `predicate`.
    pub(crate) fn remove<F>(&mut self, predicate: F) -> Vec<WaitingCall>
    where
        F: Fn(&WaitingCall) -> bool,
    {
        let mut removed = Vec::new();
        for item in self.take() {
            if predicate(&item) {
                removed.push(item);
            } else {
                self.push(item);
            }
        }
        removed
    }

    fn account(&mut self, item: &WaitingCall) {
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
