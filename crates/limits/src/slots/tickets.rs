//! Storage of queued and running sub-queries, indexed by tickets with generations.

use tokio::time::Instant;

use crate::slots::order::FlowKey;
use crate::slots::order::Position;

/// Identifies a sub-query in one [`SlotQueue`](crate::SlotQueue). The ticket of a sub-query
/// that has ended is stale and never matches a later sub-query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    index: u32,
    generation: u32,
}

/// The kind of slot that a running sub-query holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotKind {
    /// One of the daemon's own slots.
    Own,
    /// A leased slot; its use ends before the lease expires.
    Leased,
}

#[derive(Debug)]
pub(crate) struct Queued<T> {
    pub(crate) item: T,
    pub(crate) position: Position,
    pub(crate) deadline: Instant,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Running {
    pub(crate) flow: FlowKey,
    pub(crate) slot: SlotKind,
    pub(crate) started: Instant,
    pub(crate) deadline: Instant,
    /// Virtual time that the flow was charged at the start.
    pub(crate) charged: u64,
}

#[derive(Debug)]
pub(crate) enum SubQueryState<T> {
    Queued(Queued<T>),
    Running(Running),
}

#[derive(Debug)]
struct Record<T> {
    generation: u32,
    state: Option<SubQueryState<T>>,
}

/// Sub-queries by ticket. The index of a removed sub-query is reused with the next generation.
#[derive(Debug)]
pub(crate) struct TicketMap<T> {
    records: Vec<Record<T>>,
    free_indexes: Vec<u32>,
}

impl<T> TicketMap<T> {
    pub(crate) fn new() -> TicketMap<T> {
        TicketMap { records: Vec::new(), free_indexes: Vec::new() }
    }

    /// Reserves a ticket; [`TicketMap::set`] must follow.
    pub(crate) fn reserve(&mut self) -> Ticket {
        let index = self.free_indexes.pop().unwrap_or_else(|| {
            self.records.push(Record { generation: 0, state: None });
            (self.records.len() - 1) as u32
        });
        Ticket { index, generation: self.records[index as usize].generation }
    }

    pub(crate) fn set(&mut self, ticket: Ticket, state: SubQueryState<T>) {
        self.records[ticket.index as usize].state = Some(state);
    }

    pub(crate) fn get(&self, ticket: Ticket) -> Option<&SubQueryState<T>> {
        let record = self.records.get(ticket.index as usize)?;
        if record.generation != ticket.generation {
            return None;
        }
        record.state.as_ref()
    }

    /// Takes the state and keeps the ticket valid; [`TicketMap::set`] must follow.
    pub(crate) fn take(&mut self, ticket: Ticket) -> Option<SubQueryState<T>> {
        let record = self.records.get_mut(ticket.index as usize)?;
        if record.generation != ticket.generation {
            return None;
        }
        record.state.take()
    }

    /// Removes the sub-query; its ticket is stale afterwards.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<SubQueryState<T>> {
        let state = self.take(ticket)?;
        let record = &mut self.records[ticket.index as usize];
        record.generation = record.generation.wrapping_add(1);
        self.free_indexes.push(ticket.index);
        Some(state)
    }
}
