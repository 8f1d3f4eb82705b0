//! Storage of queued and running sub-queries, addressed by generation keys.

use tokio::time::Instant;

use crate::slots::order::FlowKey;
use crate::slots::order::Position;

/// Names a sub-query in one [`SlotQueue`](crate::SlotQueue). A ticket of a sub-query that
/// has ended never matches a later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    index: u32,
    generation: u32,
}

/// Which part of the allowance a running sub-query uses.
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
    /// Virtual time charged to the flow at the start.
    pub(crate) charged: u64,
}

#[derive(Debug)]
pub(crate) enum Entry<T> {
    Queued(Queued<T>),
    Running(Running),
}

#[derive(Debug)]
struct Cell<T> {
    generation: u32,
    entry: Option<Entry<T>>,
}

#[derive(Debug)]
pub(crate) struct Entries<T> {
    cells: Vec<Cell<T>>,
    free: Vec<u32>,
}

impl<T> Entries<T> {
    pub(crate) fn new() -> Entries<T> {
        Entries { cells: Vec::new(), free: Vec::new() }
    }

    /// Reserves a ticket; [`Entries::set`] must follow.
    pub(crate) fn reserve(&mut self) -> Ticket {
        let index = self.free.pop().unwrap_or_else(|| {
            self.cells.push(Cell { generation: 0, entry: None });
            (self.cells.len() - 1) as u32
        });
        Ticket { index, generation: self.cells[index as usize].generation }
    }

    pub(crate) fn set(&mut self, ticket: Ticket, entry: Entry<T>) {
        self.cells[ticket.index as usize].entry = Some(entry);
    }

    pub(crate) fn get(&self, ticket: Ticket) -> Option<&Entry<T>> {
        let cell = self.cells.get(ticket.index as usize)?;
        if cell.generation != ticket.generation {
            return None;
        }
        cell.entry.as_ref()
    }

    /// Takes the entry and keeps the ticket valid; [`Entries::set`] must follow.
    pub(crate) fn take(&mut self, ticket: Ticket) -> Option<Entry<T>> {
        let cell = self.cells.get_mut(ticket.index as usize)?;
        if cell.generation != ticket.generation {
            return None;
        }
        cell.entry.take()
    }

    /// Removes the entry; the ticket is stale afterwards.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Entry<T>> {
        let entry = self.take(ticket)?;
        let cell = &mut self.cells[ticket.index as usize];
        cell.generation = cell.generation.wrapping_add(1);
        self.free.push(ticket.index);
        Some(entry)
    }
}
