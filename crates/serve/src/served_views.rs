//! Bounds the views that a daemon sends to its peers at the same time.
//!
//! When a configuration changes, all daemons of a failure domain ask those that have it. Sent to all
//! of them at once over the link of a small VM, none would arrive before it is given up. So the
//! first ones get theirs, and the others are told at once to ask elsewhere or later.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Time;

/// How much is sent at the same time.
#[derive(Debug, Clone, Copy)]
pub struct ServedViewSettings {
    /// Bytes of all views that are being sent. One view is sent whatever its size. A link of
    /// 14 Mbit/s, that of the smallest VMs in use, carries them in 0.15 s.
    pub max_bytes: usize,
    /// Up to this size a view is always sent: the changes of a listing.
    pub small_bytes: usize,
    /// Time after which a view no longer counts: the peer has given up, or is out of reach.
    pub send_timeout: Duration,
}

impl Default for ServedViewSettings {
    fn default() -> Self {
        ServedViewSettings {
            max_bytes: 256 * 1024,
            small_bytes: 16 * 1024,
            send_timeout: Duration::from_secs(3),
        }
    }
}

/// A view that is being sent. Keys are not used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ViewKey(u64);

#[derive(Debug, Clone, Copy)]
struct Sending {
    bytes: usize,
    started_at: Time,
}

/// The views that are being sent.
#[derive(Debug)]
pub struct ServedViews {
    settings: ServedViewSettings,
    sending: BTreeMap<ViewKey, Sending>,
    next_key: u64,
}

impl ServedViews {
    /// Creates the state of a daemon that sends none.
    pub fn new(settings: ServedViewSettings) -> ServedViews {
        ServedViews { settings, sending: BTreeMap::new(), next_key: 0 }
    }

    /// Starts to send a view of about `bytes`. `None` if the peer must ask elsewhere or later.
    pub fn start(&mut self, bytes: usize, now: Time) -> Option<ViewKey> {
        let ServedViewSettings { max_bytes, small_bytes, send_timeout } = self.settings;
        self.sending.retain(|_, it| now < it.started_at + send_timeout);
        let counted = if bytes <= small_bytes { 0 } else { bytes };
        let sent: usize = self.sending.values().map(|it| it.bytes).sum();
        if counted > 0 && sent > 0 && sent + counted > max_bytes {
            return None;
        }
        let key = ViewKey(self.next_key);
        self.next_key += 1;
        self.sending.insert(key, Sending { bytes: counted, started_at: now });
        Some(key)
    }

    /// Records that a view has been sent, or that its connection is closed.
    pub fn end(&mut self, key: ViewKey) {
        self.sending.remove(&key);
    }

    /// Number of views that are being sent.
    pub fn count(&self) -> usize {
        self.sending.len()
    }
}
