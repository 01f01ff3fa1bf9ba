//! A table whose rows have unique names.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;

use slotmap::{Key, SlotMap};

/// A table of rows of type `R`, each with a stable key of type `K` and a unique
/// name of type `N`.
#[derive(Clone, Debug)]
pub struct Table<K: Key, N, R> {
    rows: SlotMap<K, R>,
    keys: HashMap<N, K>,
}

impl<K: Key, N: Hash + Eq + Clone, R> Default for Table<K, N, R> {
    fn default() -> Self {
        Self {
            rows: SlotMap::with_key(),
            keys: HashMap::new(),
        }
    }
}

impl<K: Key, N: Hash + Eq + Clone, R> Table<K, N, R> {
    /// Inserts a row, or replaces the row with this name and keeps its key.
    /// Returns the key.
    pub fn upsert(&mut self, name: N, row: R) -> K {
        if let Some(key) = self.keys.get(&name)
            && let Some(slot) = self.rows.get_mut(*key)
        {
            *slot = row;
            return *key;
        }
        let key = self.rows.insert(row);
        self.keys.insert(name, key);
        key
    }

    /// Removes and returns the row with this name; `None` if there is none.
    pub fn remove<Q>(&mut self, name: &Q) -> Option<R>
    where
        N: Borrow<Q>,
        Q: Hash + Eq + ?Sized,
    {
        let key = self.keys.remove(name)?;
        self.rows.remove(key)
    }

    /// Removes all rows for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&N, &mut R) -> bool) {
        let rows = &mut self.rows;
        self.keys.retain(|name, key| {
            let kept = rows.get_mut(*key).is_some_and(|row| keep(name, row));
            if !kept {
                rows.remove(*key);
            }
            kept
        });
    }

    /// Returns the key of the row with this name; `None` if there is none.
    pub fn key_of<Q>(&self, name: &Q) -> Option<K>
    where
        N: Borrow<Q>,
        Q: Hash + Eq + ?Sized,
    {
        self.keys.get(name).copied()
    }

    /// Returns the row with this name; `None` if there is none.
    pub fn by_name<Q>(&self, name: &Q) -> Option<&R>
    where
        N: Borrow<Q>,
        Q: Hash + Eq + ?Sized,
    {
        self.rows.get(self.key_of(name)?)
    }

    /// Returns the row with this name for modification; `None` if there is none.
    pub fn by_name_mut<Q>(&mut self, name: &Q) -> Option<&mut R>
    where
        N: Borrow<Q>,
        Q: Hash + Eq + ?Sized,
    {
        let key = self.key_of(name)?;
        self.rows.get_mut(key)
    }

    /// Returns the row with this key; `None` if it has been removed.
    pub fn get(&self, key: K) -> Option<&R> {
        self.rows.get(key)
    }

    /// Returns the row with this key for modification; `None` if it has been removed.
    pub fn get_mut(&mut self, key: K) -> Option<&mut R> {
        self.rows.get_mut(key)
    }

    /// Iterates over all rows with their keys, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &R)> {
        self.rows.iter()
    }

    /// Iterates over all rows with their names, in no particular order.
    pub fn iter_named(&self) -> impl Iterator<Item = (&N, &R)> {
        self.keys
            .iter()
            .filter_map(|(name, key)| self.rows.get(*key).map(|row| (name, row)))
    }

    /// Iterates over all rows with their keys for modification, in no particular order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut R)> {
        self.rows.iter_mut()
    }

    /// Returns the number of rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table has no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
