//! An arena for the queries in flight, whose keys are never reused.

/// The key of a query in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct QueryKey {
    /// Slot in the arena. Later queries reuse it.
    pub index: u32,
    /// Distinguishes the queries of a slot. No two queries of a router and of its successors
    /// have the same generation.
    pub generation: u64,
}

/// Identifies an attempt when it is sent, cancelled or answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    /// The query that sent the attempt.
    pub query: QueryKey,
    /// Number of the attempt within the query, from 0 in the order of sending.
    pub attempt: u32,
}

/// An arena whose slots are reused under new generations.
#[derive(Debug)]
pub struct GenArena<V> {
    slots: Vec<Slot<V>>,
    free: Vec<u32>,
    next_generation: u64,
    stale_lookups: u64,
}

#[derive(Debug)]
struct Slot<V> {
    generation: u64,
    value: Option<V>,
}

impl<V> GenArena<V> {
    /// Creates an empty arena whose keys have the generations from `first` on.
    pub fn starting_at(first: u64) -> Self {
        GenArena { slots: Vec::new(), free: Vec::new(), next_generation: first, stale_lookups: 0 }
    }

    /// The key that the next inserted value will have.
    pub fn next_key(&self) -> QueryKey {
        let index = self.free.last().copied().unwrap_or(self.slots.len() as u32);
        QueryKey { index, generation: self.next_generation }
    }

    /// Inserts a value and returns its key, which is [`next_key`](GenArena::next_key).
    pub fn insert(&mut self, value: V) -> QueryKey {
        let key = self.next_key();
        let slot = Slot { generation: key.generation, value: Some(value) };
        match self.free.pop() {
            Some(index) => self.slots[index as usize] = slot,
            None => self.slots.push(slot),
        }
        self.next_generation += 1;
        key
    }

    /// The value for `key`, or `None` if it was removed or never inserted. A miss is counted
    /// by [`stale_lookups`](GenArena::stale_lookups).
    pub fn get_mut(&mut self, key: QueryKey) -> Option<&mut V> {
        let live = self
            .slots
            .get_mut(key.index as usize)
            .filter(|slot| slot.generation == key.generation)
            .and_then(|slot| slot.value.as_mut());
        if live.is_none() {
            self.stale_lookups += 1;
        }
        live
    }

    /// Removes and returns the value for `key`.
    pub fn remove(&mut self, key: QueryKey) -> Option<V> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        let value = slot.value.take()?;
        self.free.push(key.index);
        Some(value)
    }

    /// The number of values.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether there are no values.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How often [`get_mut`](GenArena::get_mut) found no value.
    pub fn stale_lookups(&self) -> u64 {
        self.stale_lookups
    }
}
