//! Detects that the process has been paused, after which what it knows may no longer hold.
//!
//! A paused process does not notice the pause: the first requests that it reads afterwards have
//! waited in the kernel, and its listing and configuration look as recent as before. They are used
//! again once they have been read anew, or when that takes too long, as in an outage of the store.

use std::time::Duration;

use crate::Time;

/// When a process counts as paused, and how long it then holds requests back.
#[derive(Debug, Clone, Copy)]
pub struct WakeSettings {
    /// Time without a sign of life from which the process counts as paused. Below the time that
    /// changes have until they must be in force, above the delays of a busy VM.
    pub min_pause: Duration,
    /// Maximum time for which requests wait for the first reads after a pause.
    pub max_wait: Duration,
}

impl Default for WakeSettings {
    fn default() -> Self {
        WakeSettings {
            min_pause: Duration::from_millis(1000),
            max_wait: Duration::from_millis(500),
        }
    }
}

/// Whether what the process knows has been confirmed since its last pause.
#[derive(Debug, Default)]
pub struct WakeGuard {
    /// Last sign of life, on the clock that also counts while the VM is suspended.
    seen_at: Duration,
    /// When the process woke, if nothing has been read since.
    woke_at: Option<Time>,
}

impl WakeGuard {
    /// Records a sign of life. `boot_time` is on the clock that also counts while the VM is
    /// suspended. Returns the length of the pause that has just ended, if there was one.
    pub fn observe(
        &mut self,
        settings: &WakeSettings,
        boot_time: Duration,
        now: Time,
    ) -> Option<Duration> {
        let gap = boot_time.saturating_sub(self.seen_at);
        let is_first = self.seen_at.is_zero();
        self.seen_at = boot_time;
        if is_first || gap < settings.min_pause {
            return None;
        }
        self.woke_at = Some(now);
        Some(gap)
    }

    /// When the process woke, if it has not read everything since: it shall do so now.
    pub fn woke_at(&self) -> Option<Time> {
        self.woke_at
    }

    /// Whether requests must wait. `listing_read_at` and `config_read_at` are when these were last
    /// read at the store.
    pub fn holds(
        &mut self,
        settings: &WakeSettings,
        listing_read_at: Option<Time>,
        config_read_at: Option<Time>,
        now: Time,
    ) -> bool {
        let Some(woke_at) = self.woke_at else { return false };
        let is_new = |read_at: Option<Time>| read_at.is_some_and(|read_at| read_at >= woke_at);
        let read_all = is_new(listing_read_at) && is_new(config_read_at);
        if read_all || now >= woke_at + settings.max_wait {
            self.woke_at = None;
        }
        self.woke_at.is_some()
    }
}
