//! A vector indexed by a typed key.

use std::marker::PhantomData;
use std::ops::Index;
use std::ops::IndexMut;

/// A small `Copy` type that wraps an index into an [`Arena`].
pub trait Key: Copy + Eq {
    /// The key of the element at `index`, counted from 0.
    fn from_index(index: usize) -> Self;
    /// The index of the element in its arena, counted from 0.
    fn index(self) -> usize;
}

/// An append-only list whose elements are addressed by a typed key.
#[derive(Debug, Clone, PartialEq)]
pub struct Arena<K, V> {
    items: Vec<V>,
    key: PhantomData<K>,
}

impl<K, V> Arena<K, V>
where
    K: Key,
{
    /// Adds an element and returns its key.
    pub fn push(&mut self, value: V) -> K {
        self.items.push(value);
        K::from_index(self.items.len() - 1)
    }

    /// The element for `key`, or `None` if its index is out of range because the key belongs to
    /// another arena.
    pub fn get(&self, key: K) -> Option<&V> {
        self.items.get(key.index())
    }

    /// The number of elements.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there are no elements.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// All keys, in insertion order.
    pub fn keys(&self) -> impl ExactSizeIterator<Item = K> + use<K, V> {
        (0..self.items.len()).map(K::from_index)
    }

    /// All elements, in insertion order.
    pub fn values(&self) -> std::slice::Iter<'_, V> {
        self.items.iter()
    }

    /// All keys with their elements, in insertion order.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (K, &V)> {
        self.items.iter().enumerate().map(|(i, v)| (K::from_index(i), v))
    }
}

impl<K, V> Default for Arena<K, V> {
    fn default() -> Self {
        Arena { items: Vec::new(), key: PhantomData }
    }
}

impl<K, V> FromIterator<V> for Arena<K, V> {
    fn from_iter<I>(iter: I) -> Self
    where
        I: IntoIterator<Item = V>,
    {
        Arena { items: iter.into_iter().collect(), key: PhantomData }
    }
}

impl<K, V> Index<K> for Arena<K, V>
where
    K: Key,
{
    type Output = V;

    fn index(&self, key: K) -> &V {
        &self.items[key.index()]
    }
}

impl<K, V> IndexMut<K> for Arena<K, V>
where
    K: Key,
{
    fn index_mut(&mut self, key: K) -> &mut V {
        &mut self.items[key.index()]
    }
}
