//! How much memory and how many connections callers may hold at one interface of a process.
//!
//! Bodies are reserved before they are read, answers are charged until they are written, and each
//! connection is charged for what reads its heads. When the account is full, a reservation waits,
//! so that the process stops reading. Then it is refused, or the holder with the largest product of
//! bytes and time is closed. A request that may be running is never closed, and small ones are
//! served from a part of the account that large ones can't use.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::Time;

/// When holders are refused and closed.
#[derive(Debug, Clone, Copy)]
pub struct CallerMemorySettings {
    /// Memory of a VM whose settings don't say, in bytes; that of the smaller VMs in use.
    pub default_memory_bytes: u64,
    /// Descriptors of a VM whose settings don't say; the usual limit of a process.
    pub default_descriptors: u64,
    /// Up to this size, a body counts as small, in bytes.
    pub small_bytes: usize,
    /// Ratio of an account that bodies larger than that may use together.
    pub large_ratio: f64,
    /// How long a reservation waits before its request is refused. Shorter than the objectives of
    /// most routes, so that the caller can still use another entry.
    pub max_wait: Duration,
    /// Time for which a body may arrive or an answer be written before its connection may be closed
    /// to make room.
    pub min_age: Duration,
    /// As `min_age`, for connections that are idle or receive a head.
    pub min_idle_age: Duration,
    /// From this ratio of the account on, `min_age` does not apply. Answers are not refused, so that
    /// they may exceed the account.
    pub urgent_ratio: f64,
}

impl Default for CallerMemorySettings {
    fn default() -> Self {
        CallerMemorySettings {
            default_memory_bytes: 256 * 1024 * 1024,
            default_descriptors: 1024,
            small_bytes: 16 * 1024,
            large_ratio: 0.75,
            max_wait: Duration::from_millis(300),
            min_age: Duration::from_millis(500),
            min_idle_age: Duration::from_millis(100),
            urgent_ratio: 1.5,
        }
    }
}

/// What callers may hold at one interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Bodies, answers and copies, in bytes.
    pub bytes: usize,
    /// What reads heads, in bytes.
    pub connection_bytes: usize,
    /// Number of connections.
    pub connections: usize,
}

/// How the memory and descriptors of a VM are divided. The parts don't overlap, so that the callers
/// of one interface can't exhaust another. The rest is for the process itself, searchers, other
/// entries and the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Callers' requests.
    pub callers: MemoryLimits,
    /// Requests of other entries.
    pub peers: MemoryLimits,
    /// The directory, readiness and metrics.
    pub auxiliary: MemoryLimits,
    /// Answers that are being received from searchers, in bytes.
    pub answer_bytes: usize,
}

impl MemoryPlan {
    /// Divides `memory_bytes` and `descriptors`; zero means that they are not known.
    ///
    /// The parts of the memory add up to 0.65. An idle process takes 10 to 25 MB, and the allocator
    /// loses some to fragmentation.
    pub fn new(settings: &CallerMemorySettings, memory_bytes: u64, descriptors: u64) -> MemoryPlan {
        let memory = if memory_bytes > 0 { memory_bytes } else { settings.default_memory_bytes };
        let descriptors =
            if descriptors > 0 { descriptors } else { settings.default_descriptors } as f64;
        let bytes = |ratio: f64| (memory as f64 * ratio) as usize;
        let limits = |body_ratio: f64, connection_ratio: f64, descriptor_ratio: f64| MemoryLimits {
            bytes: bytes(body_ratio),
            connection_bytes: bytes(connection_ratio),
            connections: (descriptors * descriptor_ratio).max(1.0) as usize,
        };
        MemoryPlan {
            callers: limits(0.18, 0.1, 0.4),
            peers: limits(0.1, 0.0625, 0.17),
            auxiliary: limits(0.0156, 0.0625, 0.08),
            answer_bytes: bytes(0.125),
        }
    }
}

/// A connection that holds memory. Keys are not used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderKey(u64);

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderPhase {
    /// It waits for a request, or receives its head.
    Idle,
    /// It receives a body.
    Body,
    /// A request runs.
    Running,
    /// An answer is being written.
    Answer,
}

/// Whether a new connection is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is, under this key.
    Admitted(HolderKey),
    /// Not before another one has been closed.
    Full,
}

/// Whether bytes are reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// They are.
    Granted,
    /// Not yet: [`MemoryAction::Grant`] or [`MemoryAction::Refuse`] follows.
    Wait,
}

/// What to do with a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryAction {
    /// Its reservation is granted.
    Grant(HolderKey),
    /// Its reservation is refused: answer that the request has not run.
    Refuse(HolderKey),
    /// Close it.
    Close {
        /// The connection.
        key: HolderKey,
        /// What it was doing.
        phase: HolderPhase,
        /// What it holds, in bytes.
        bytes: usize,
        /// For how long.
        age: Duration,
    },
}

/// What is held now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryStatus {
    /// Bodies, answers and copies, in bytes.
    pub bytes: usize,
    /// Number of connections.
    pub connections: usize,
    /// Number of reservations that wait.
    pub waiting: usize,
    /// What may be held.
    pub limits: MemoryLimits,
}

#[derive(Debug)]
struct Holder {
    phase: HolderPhase,
    since: Time,
    bytes: usize,
    connection_bytes: usize,
    closing: bool,
}

#[derive(Debug, Clone, Copy)]
struct Waiter {
    key: HolderKey,
    bytes: usize,
    since: Time,
}

/// The account of one interface.
#[derive(Debug)]
pub struct CallerMemory {
    settings: CallerMemorySettings,
    limits: MemoryLimits,
    holders: BTreeMap<HolderKey, Holder>,
    /// Bytes of bodies, answers and copies, those of closed connections included until they are
    /// released.
    used: usize,
    connection_bytes: usize,
    waiting: VecDeque<Waiter>,
    next_key: u64,
}

impl CallerMemory {
    /// An account with nothing in it.
    pub fn new(settings: CallerMemorySettings, limits: MemoryLimits) -> CallerMemory {
        CallerMemory {
            settings,
            limits,
            holders: BTreeMap::new(),
            used: 0,
            connection_bytes: 0,
            waiting: VecDeque::new(),
            next_key: 0,
        }
    }

    /// A new connection, which takes `bytes` to read heads. If there is no room, the oldest one
    /// without a running request is closed.
    pub fn connect(&mut self, bytes: usize, now: Time) -> (Admission, Option<MemoryAction>) {
        let has_room = self.holders.len() < self.limits.connections
            && self.connection_bytes + bytes <= self.limits.connection_bytes;
        if has_room || self.holders.is_empty() {
            let key = HolderKey(self.next_key);
            self.next_key += 1;
            let holder = Holder {
                phase: HolderPhase::Idle,
                since: now,
                bytes: 0,
                connection_bytes: bytes,
                closing: false,
            };
            self.holders.insert(key, holder);
            self.connection_bytes += bytes;
            return (Admission::Admitted(key), None);
        }
        if self.holders.values().any(|holder| holder.closing) {
            return (Admission::Full, None);
        }
        let min_age = self.settings.min_idle_age;
        let oldest = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.phase != HolderPhase::Running)
            .filter(|(_, holder)| now.saturating_sub(holder.since) >= min_age)
            .min_by_key(|(_, holder)| holder.since)
            .map(|(key, _)| *key);
        (Admission::Full, oldest.and_then(|key| self.close_holder(key, now)))
    }

    /// A connection enters another phase.
    pub fn set_phase(&mut self, key: HolderKey, phase: HolderPhase, now: Time) {
        if let Some(holder) = self.holders.get_mut(&key) {
            holder.phase = phase;
            holder.since = now;
        }
    }

    /// A connection has written its answers. Another request may have started before.
    pub fn end_answer(&mut self, key: HolderKey, now: Time) {
        let holder = self.holders.get(&key);
        if holder.is_some_and(|holder| holder.phase == HolderPhase::Answer) {
            self.set_phase(key, HolderPhase::Idle, now);
        }
    }

    /// Reserves bytes of a body before they are read.
    pub fn reserve(&mut self, key: HolderKey, bytes: usize, now: Time) -> Grant {
        let overtakes = !self.is_small(key, bytes) && !self.waiting.is_empty();
        if !overtakes && self.fits(key, bytes) {
            self.charge(key, bytes);
            return Grant::Granted;
        }
        self.waiting.push_back(Waiter { key, bytes, since: now });
        Grant::Wait
    }

    /// Reserves bytes for a copy that the process can do without. Returns whether there is room.
    pub fn try_copy(&mut self, bytes: usize) -> bool {
        let is_small = bytes <= self.settings.small_bytes;
        let has_room = is_small || self.used + bytes <= self.large_limit();
        if has_room {
            self.used += bytes;
        }
        has_room
    }

    /// Charges bytes that exist already, such as an answer.
    pub fn charge(&mut self, key: HolderKey, bytes: usize) {
        self.used += bytes;
        if let Some(holder) = self.holders.get_mut(&key) {
            holder.bytes += bytes;
        }
    }

    /// Bytes are held no longer. The connection may have been closed before.
    pub fn release(&mut self, key: Option<HolderKey>, bytes: usize) {
        self.used = self.used.saturating_sub(bytes);
        if let Some(holder) = key.and_then(|key| self.holders.get_mut(&key)) {
            holder.bytes = holder.bytes.saturating_sub(bytes);
        }
    }

    /// A reservation is given up while it waits.
    pub fn cancel(&mut self, key: HolderKey) {
        self.waiting.retain(|waiter| waiter.key != key);
    }

    /// A connection has ended. Its charges are released separately.
    pub fn disconnect(&mut self, key: HolderKey) {
        self.cancel(key);
        if let Some(holder) = self.holders.remove(&key) {
            self.connection_bytes = self.connection_bytes.saturating_sub(holder.connection_bytes);
        }
    }

    /// Grants and refuses reservations that wait, and makes room for the others. To be called after
    /// each change, and at short intervals while a reservation waits.
    pub fn tick(&mut self, now: Time) -> Vec<MemoryAction> {
        if self.waiting.is_empty() && self.used <= self.limits.bytes {
            return Vec::new();
        }
        let mut actions = Vec::new();
        let mut left = VecDeque::new();
        let mut is_large_waiting = false;
        for waiter in std::mem::take(&mut self.waiting) {
            let Waiter { key, bytes, since } = waiter;
            let is_small = self.is_small(key, bytes);
            if (is_small || !is_large_waiting) && self.fits(key, bytes) {
                self.charge(key, bytes);
                actions.push(MemoryAction::Grant(key));
            } else if now >= since + self.settings.max_wait {
                actions.push(MemoryAction::Refuse(key));
            } else {
                is_large_waiting |= !is_small;
                left.push_back(waiter);
            }
        }
        self.waiting = left;
        self.make_room(&mut actions, now);
        actions
    }

    /// What is held now.
    pub fn status(&self) -> MemoryStatus {
        MemoryStatus {
            bytes: self.used,
            connections: self.holders.len(),
            waiting: self.waiting.len(),
            limits: self.limits,
        }
    }

    /// Closes holders until the first reservation that waits has room.
    fn make_room(&mut self, actions: &mut Vec<MemoryAction>, now: Time) {
        let (wanted, limit) = match self.waiting.front() {
            Some(waiter) if self.is_small(waiter.key, waiter.bytes) => {
                (waiter.bytes, self.limits.bytes)
            }
            Some(waiter) => (waiter.bytes, self.large_limit()),
            None => (0, self.limits.bytes),
        };
        let closing = self.holders.values().filter(|holder| holder.closing);
        let mut used = self.used - closing.map(|holder| holder.bytes).sum::<usize>().min(self.used);
        let urgent = (self.limits.bytes as f64 * self.settings.urgent_ratio) as usize;
        while used + wanted > limit {
            let min_age = if used > urgent { Duration::ZERO } else { self.settings.min_age };
            let Some(key) = self.largest(min_age, now) else { return };
            if let Some(action) = self.close_holder(key, now) {
                used = used.saturating_sub(self.holders[&key].bytes);
                actions.push(action);
            }
        }
    }

    /// The holder with the largest product of bytes and time among those that may be closed.
    fn largest(&self, min_age: Duration, now: Time) -> Option<HolderKey> {
        let may_close = |holder: &Holder| match holder.phase {
            HolderPhase::Body | HolderPhase::Answer => {
                !holder.closing && holder.bytes > self.settings.small_bytes
            }
            HolderPhase::Idle | HolderPhase::Running => false,
        };
        let age = |holder: &Holder| now.saturating_sub(holder.since);
        // A millisecond more, so that the size decides among new ones.
        let score = |holder: &Holder| (age(holder).as_millis() + 1) * holder.bytes as u128;
        self.holders
            .iter()
            .filter(|(_, holder)| may_close(holder) && age(holder) >= min_age)
            .max_by_key(|(_, holder)| score(holder))
            .map(|(key, _)| *key)
    }

    fn close_holder(&mut self, key: HolderKey, now: Time) -> Option<MemoryAction> {
        self.cancel(key);
        let holder = self.holders.get_mut(&key)?;
        holder.closing = true;
        let age = now.saturating_sub(holder.since);
        Some(MemoryAction::Close { key, phase: holder.phase, bytes: holder.bytes, age })
    }

    /// Whether the whole body of a holder would be small with `bytes` more.
    fn is_small(&self, key: HolderKey, bytes: usize) -> bool {
        let held = self.holders.get(&key).map_or(0, |holder| holder.bytes);
        held + bytes <= self.settings.small_bytes
    }

    /// A single body always fits, however small the account is.
    fn fits(&self, key: HolderKey, bytes: usize) -> bool {
        let limit = if self.is_small(key, bytes) { self.limits.bytes } else { self.large_limit() };
        let held = self.holders.get(&key).map_or(0, |holder| holder.bytes);
        self.used <= held || self.used + bytes <= limit
    }

    fn large_limit(&self) -> usize {
        (self.limits.bytes as f64 * self.settings.large_ratio) as usize
    }
}
