//! Table of the entries that take part in shared reads, and the choice of readers.
//!
//! Load pattern: dozens to hundreds of entries that each need the same few topics of a store
//! that charges for each call. Few entries of each failure domain read, the others follow the
//! nearest one. All entries choose by rendezvous over the same listing, without a vote.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids;
use crate::peers;
use crate::table;

/// Largest number of entries that all read for themselves.
const MAX_ALONE: usize = 8;
/// Entries for each reader of a failure domain.
const PER_READER: usize = 16;
/// The same where the store has fewer leases than there are entries: those without a lease
/// are not listed, but follow too.
const PER_READER_UNLISTED: usize = 5;
/// Minimum number of readers over all failure domains.
const MIN_READERS: usize = 2;

slotmap::new_key_type! {
    /// Key of a row in the table of entries.
    pub struct PeerKey;
}

/// An entry that takes part in shared reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRow {
    /// Failure domain of the entry.
    pub domain: ids::DomainName,
    /// Address of the entry for other entries (TCP).
    pub addr: SocketAddr,
}

/// The entries in the last listing of the group.
#[derive(Debug, Default)]
pub struct Members {
    rows: table::Table<PeerKey, ids::VmName, PeerRow>,
    /// Whether there may be entries that are not listed.
    is_partial: bool,
}

impl Members {
    /// Replaces the rows by those of a listing of the group, in which `leases` were divided.
    /// Members without an address are left out.
    pub fn replace(&mut self, listed: &[peers::Member], leases: u32) {
        self.is_partial = usize::try_from(leases).is_ok_and(|leases| listed.len() >= leases);
        self.rows
            .retain(|vm, _| listed.iter().any(|member| member.vm == *vm));
        for member in listed {
            if let Some((domain, addr)) = &member.place {
                let row = PeerRow {
                    domain: domain.clone(),
                    addr: *addr,
                };
                self.rows.upsert(member.vm.clone(), row);
            }
        }
    }

    /// Number of listed entries that take part.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no entry that takes part is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns what the entry on `vm` in `domain` does.
    #[must_use]
    pub fn duty(&self, vm: &ids::VmName, domain: &ids::DomainName) -> peers::Duty {
        if self.rows.len() <= MAX_ALONE {
            return peers::Duty::Alone;
        }
        let readers = self.readers();
        if readers.iter().any(|(reader, _)| *reader == vm) {
            return peers::Duty::Read;
        }
        let near: Vec<_> = readers
            .iter()
            .filter(|(_, row)| row.domain == *domain)
            .collect();
        let candidates = if near.is_empty() {
            readers.iter().collect()
        } else {
            near
        };
        let pair = |reader: &ids::VmName| weight(&format!("{vm} {reader}"));
        candidates
            .into_iter()
            .max_by_key(|(reader, _)| pair(reader))
            .map_or(peers::Duty::Alone, |(reader, row)| peers::Duty::Follow {
                reader: (*reader).clone(),
                addr: row.addr,
            })
    }

    /// Returns the entries that read for others, at least [`MIN_READERS`].
    fn readers(&self) -> Vec<(&ids::VmName, &PeerRow)> {
        let mut domains: BTreeMap<&ids::DomainName, Vec<_>> = BTreeMap::new();
        for (vm, row) in self.rows.iter_named() {
            domains.entry(&row.domain).or_default().push((vm, row));
        }
        let per_reader = if self.is_partial {
            PER_READER_UNLISTED
        } else {
            PER_READER
        };
        let min = MIN_READERS.div_ceil(domains.len().max(1));
        domains
            .into_values()
            .flat_map(|mut members| {
                members.sort_by_key(|(vm, _)| (weight(vm.as_str()), *vm));
                let count = members.len().div_ceil(per_reader).max(min);
                members.truncate(count);
                members
            })
            .collect()
    }
}

fn weight(text: &str) -> u64 {
    // The bits of FNV-1a are mixed once more: names that differ at the end alone have
    // similar hashes.
    let hash = ids::Fingerprint::fnv1a(text).0;
    let mixed = (hash ^ (hash >> 31)).wrapping_mul(0x7fb5_d329_728e_a185);
    mixed ^ (mixed >> 27)
}
