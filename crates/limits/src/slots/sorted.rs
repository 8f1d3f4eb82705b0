//! A sorted map for a bounded queue, where most keys are inserted in order and removed from
//! the front. It allocates only when it grows.

use std::collections::VecDeque;

#[derive(Debug)]
pub(crate) struct SortedMap<K, V> {
    items: VecDeque<(K, V)>,
}

impl<K, V> SortedMap<K, V>
where
    K: Copy + Ord,
    V: Copy,
{
    pub(crate) fn new() -> SortedMap<K, V> {
        SortedMap { items: VecDeque::new() }
    }

    /// Inserts a key, which must not be in the map.
    pub(crate) fn insert(&mut self, key: K, value: V) {
        match self.items.back() {
            Some((last, _)) if key < *last => {
                let index = self.count_before(&key);
                self.items.insert(index, (key, value));
            }
            _ => self.items.push_back((key, value)),
        }
    }

    pub(crate) fn remove(&mut self, key: &K) -> Option<V> {
        let index = match self.items.front() {
            Some((first, _)) if first == key => 0,
            _ => self.items.binary_search_by(|(other, _)| other.cmp(key)).ok()?,
        };
        self.items.remove(index).map(|(_, value)| value)
    }

    pub(crate) fn first(&self) -> Option<&(K, V)> {
        self.items.front()
    }

    pub(crate) fn last(&self) -> Option<&(K, V)> {
        self.items.back()
    }

    /// Returns the number of keys below `key`.
    pub(crate) fn count_before(&self, key: &K) -> usize {
        match self.items.back() {
            Some((last, _)) if last < key => self.items.len(),
            _ => self.items.partition_point(|(other, _)| other < key),
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &(K, V)> {
        self.items.iter()
    }

    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
