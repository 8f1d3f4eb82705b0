//! Queries in flight, addressed by keys that are never reused.

/// The key of a query in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct QueryKey {
    /// Place in the arena; used again by later queries.
    pub index: u32,
    /// A number that no other query of the process has.
    pub generation: u64,
}

/// The key of a sub-query in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    /// The query it belongs to.
    pub query: QueryKey,
    /// Its number within the query; never used again within the query.
    pub attempt: u32,
}

/// An arena whose places are reused under new generations.
#[derive(Debug)]
pub struct GenArena<V> {
    slots: Vec<Slot<V>>,
    free: Vec<u32>,
    next: u64,
    stale: u64,
}

#[derive(Debug)]
struct Slot<V> {
    generation: u64,
    value: Option<V>,
}

impl<V> GenArena<V> {
    /// An empty arena whose keys have generations of `first` and above.
    pub fn starting_at(first: u64) -> Self {
        GenArena { slots: Vec::new(), free: Vec::new(), next: first, stale: 0 }
    }

    /// The key that the next value will get.
    pub fn next_key(&self) -> QueryKey {
        let index = self.free.last().copied().unwrap_or(self.slots.len() as u32);
        QueryKey { index, generation: self.next }
    }

    /// Adds a value under [`next_key`](GenArena::next_key).
    pub fn insert(&mut self, value: V) -> QueryKey {
        let key = self.next_key();
        let slot = Slot { generation: key.generation, value: Some(value) };
        match self.free.pop() {
            Some(index) => self.slots[index as usize] = slot,
            None => self.slots.push(slot),
        }
        self.next += 1;
        key
    }

    /// The value for `key`. A key of a removed value is counted as stale.
    pub fn get_mut(&mut self, key: QueryKey) -> Option<&mut V> {
        let live = self
            .slots
            .get_mut(key.index as usize)
            .filter(|slot| slot.generation == key.generation)
            .and_then(|slot| slot.value.as_mut());
        if live.is_none() {
            self.stale += 1;
        }
        live
    }

    /// Takes the value for `key` out; the key is stale from now on.
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

    /// How often a stale key was presented.
    pub fn stale(&self) -> u64 {
        self.stale
    }
}
