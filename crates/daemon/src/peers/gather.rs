//! The `Gather` calls that run at this daemon.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::owner::SubQueryHandle;

/// Identifies a query across daemons: the incarnation of its entry, and its number there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct QueryOrigin {
    pub(crate) incarnation: u64,
    pub(crate) query: u64,
}

/// Sub-queries of all running `Gather` calls, so that each can be cancelled.
#[derive(Debug, Default)]
pub(crate) struct RunningGathers {
    calls: Mutex<HashMap<QueryOrigin, Vec<SubQueryHandle>>>,
}

/// The sub-queries of one `Gather` call. Dropping it cancels what has not finished.
#[derive(Debug)]
pub(crate) struct GatherGuard {
    running: Arc<RunningGathers>,
    origin: QueryOrigin,
    handles: Vec<SubQueryHandle>,
}

impl RunningGathers {
    /// Registers the sub-queries of one call.
    pub(crate) fn add(
        self: &Arc<Self>,
        origin: QueryOrigin,
        handles: Vec<SubQueryHandle>,
    ) -> GatherGuard {
        self.lock().entry(origin).or_default().extend(handles.iter().cloned());
        GatherGuard { running: self.clone(), origin, handles }
    }

    /// Cancels those sub-queries of a query that have one of `keys`.
    pub(crate) fn cancel(&self, origin: QueryOrigin, keys: &[u64]) {
        let handles: Vec<SubQueryHandle> = match self.lock().get(&origin) {
            Some(handles) => {
                handles.iter().filter(|handle| keys.contains(&handle.key)).cloned().collect()
            }
            None => return,
        };
        for handle in handles {
            handle.worker.cancel(handle.ticket);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<QueryOrigin, Vec<SubQueryHandle>>> {
        self.calls.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Drop for GatherGuard {
    fn drop(&mut self) {
        let mut calls = self.running.lock();
        if let Some(handles) = calls.get_mut(&self.origin) {
            let keys: Vec<u64> = self.handles.iter().map(|handle| handle.key).collect();
            handles.retain(|handle| !keys.contains(&handle.key));
            if handles.is_empty() {
                calls.remove(&self.origin);
            }
        }
        drop(calls);
        for handle in &self.handles {
            handle.worker.cancel(handle.ticket);
        }
    }
}
