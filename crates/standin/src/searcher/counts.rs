//! Counters of a searcher.

/// Counters of one searcher since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SearcherCounts {
    /// Sub-queries received.
    pub received: u64,
    /// Sub-queries started.
    pub executed: u64,
    /// Sub-queries refused because every slot was in use.
    pub over_slots: u64,
    /// Connections refused because the limit was reached.
    pub over_connections: u64,
    /// Connections accepted.
    pub connections: u64,
    /// Maximum number of slots in use at the same time.
    pub peak_busy: u32,
    /// Maximum number of connections open at the same time.
    pub peak_open: u32,
    /// Sub-queries refused in the state `Shedding`.
    pub shed: u64,
    /// Sub-queries refused in the state `Draining`.
    pub refused_draining: u64,
    /// Sub-queries refused because their deadline had passed.
    pub expired: u64,
    /// Sub-queries refused because the snapshot is not held.
    pub gone: u64,
}
