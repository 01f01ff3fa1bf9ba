//! A table whose rows have a unique name.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;

use slotmap::{Key, SlotMap};

/// Rows of type `R` under keys of type `K`, each with a unique name of type `N`.
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
    /// Inserts a row or replaces the one of this name; its key stays.
    pub fn put(&mut self, name: N, row: R) -> K {
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

    /// Removes the row of this name.
    pub fn remove<Q>(&mut self, name: &Q) -> Option<R>
    where
        N: Borrow<Q>,
        Q: Hash + Eq + ?Sized,
    {
        let key = self.keys.remove(name)?;
        self.rows.remove(key)
    }

    /// Keeps only the rows for which `keep` holds.
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

    /// The key of a name.
    pub fn key<Q>(&self, name: &Q) -> Option<K>
    where
        N: Borrow<Q>,
        Q: Hash + Eq + ?Sized,
    {
        self.keys.get(name).copied()
    }

    /// The row of a name.
    pub fn by_name<Q>(&self, name: &Q) -> Option<&R>
    where
        N: Borrow<Q>,
        Q: Hash + Eq + ?Sized,
    {
        self.rows.get(self.key(name)?)
    }

    /// The row of a name, to change it.
    pub fn by_name_mut<Q>(&mut self, name: &Q) -> Option<&mut R>
    where
        N: Borrow<Q>,
        Q: Hash + Eq + ?Sized,
    {
        let key = self.key(name)?;
        self.rows.get_mut(key)
    }

    /// The row of a key.
    pub fn get(&self, key: K) -> Option<&R> {
        self.rows.get(key)
    }

    /// The row of a key, to change it.
    pub fn get_mut(&mut self, key: K) -> Option<&mut R> {
        self.rows.get_mut(key)
    }

    /// All rows with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (K, &R)> {
        self.rows.iter()
    }

    /// All rows with their names.
    pub fn named(&self) -> impl Iterator<Item = (&N, &R)> {
        self.keys
            .iter()
            .filter_map(|(name, key)| self.rows.get(*key).map(|row| (name, row)))
    }

    /// All rows with their keys, to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut R)> {
        self.rows.iter_mut()
    }

    /// Number of rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there is no row.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
