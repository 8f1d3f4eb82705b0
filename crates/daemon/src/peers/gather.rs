//! Sub-queries that run here for entries.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::owner::Handle;

/// A query at its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Origin {
    pub(crate) incarnation: u64,
    pub(crate) query: u64,
}

/// Sub-queries of all running `Gather` calls, for cancelling single ones.
#[derive(Debug, Default)]
pub(crate) struct Running {
    calls: Mutex<HashMap<Origin, Vec<Handle>>>,
}

/// The sub-queries of one `Gather` call. Dropping it cancels what has not finished.
#[derive(Debug)]
pub(crate) struct Call {
    running: Arc<Running>,
    origin: Origin,
    handles: Vec<Handle>,
}

impl Running {
    /// Registers the sub-queries of one call.
    pub(crate) fn add(self: &Arc<Self>, origin: Origin, handles: Vec<Handle>) -> Call {
        self.lock().entry(origin).or_default().extend(handles.iter().cloned());
        Call { running: self.clone(), origin, handles }
    }

    /// Cancels single sub-queries.
    pub(crate) fn cancel(&self, origin: Origin, keys: &[u64]) {
        let handles: Vec<Handle> = match self.lock().get(&origin) {
            Some(handles) => {
                handles.iter().filter(|handle| keys.contains(&handle.key)).cloned().collect()
            }
            None => return,
        };
        for handle in handles {
            handle.host.cancel(handle.ticket);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Origin, Vec<Handle>>> {
        self.calls.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Drop for Call {
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
            handle.host.cancel(handle.ticket);
        }
    }
}
