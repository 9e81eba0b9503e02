//! Ids from outside as small indices, for every front; and back again, for the log.

use std::collections::HashMap;

/// NameIndex in the order in which they were met; the index of one that was released serves the next.
#[derive(Default)]
pub struct NameIndex {
    index: HashMap<String, u32>,
    names: Vec<String>,
    free: Vec<u32>,
}

impl NameIndex {
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(index) = self.get(name) {
            return index;
        }
        let index = self.free.pop().unwrap_or(self.names.len() as u32);
        match self.names.get_mut(index as usize) {
            Some(old) => *old = name.to_owned(),
            None => self.names.push(name.to_owned()),
        }
        self.index.insert(name.to_owned(), index);
        index
    }

    /// Nothing goes by this index any more.
    pub fn release(&mut self, index: u32) {
        if let Some(name) = self.names.get_mut(index as usize)
            && self.index.remove(&std::mem::take(name)).is_some()
        {
            self.free.push(index);
        }
    }

    pub fn get(&self, name: &str) -> Option<u32> {
        self.index.get(name).copied()
    }

    /// The name of an index that `intern` gave.
    pub fn name(&self, index: u32) -> &str {
        self.names.get(index as usize).map_or("", String::as_str)
    }

    /// Puts names in the place of `#N` in a note of the core.
    pub fn expand_names(&self, note: &str) -> String {
        let mut parts = note.split('#');
        let mut text = parts.next().unwrap_or_default().to_owned();
        for part in parts {
            let rest = part.trim_start_matches(|c: char| c.is_ascii_digit());
            let digits = &part[..part.len() - rest.len()];
            let name = digits.parse().ok().and_then(|index: usize| self.names.get(index));
            text.push_str(name.map_or(digits, String::as_str));
            text.push_str(rest);
        }
        text
    }
}

/// NameIndex by their mark; none where two that are known have the same, so that news never is taken for another's.
#[derive(Default)]
pub struct IdHashes(HashMap<u32, Option<u32>>);

impl IdHashes {
    pub fn insert(&mut self, name: &str, index: u32) -> u32 {
        let mark = id_hash(name);
        let known = self.0.entry(mark).or_insert(Some(index));
        *known = known.filter(|&other| other == index);
        mark
    }

    pub fn get(&self, mark: u32) -> Option<u32> {
        self.0.get(&mark).copied().flatten()
    }

    /// Nothing goes by this index any more; a mark that two had stays nobody's.
    pub fn remove(&mut self, index: u32) {
        self.0.retain(|_, known| *known != Some(index));
    }
}

/// A number by which all routers know a name: the first bits of its FNV-1a hash.
pub fn id_hash(name: &str) -> u32 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325, mix);
    ((hash ^ hash >> 32) & ((1 << ID_HASH_BITS) - 1)) as u32
}

/// Bits of a mark: two of a hundred names have the same one once in two hundred thousand fleets.
pub const ID_HASH_BITS: u32 = 30;

/// The index of a group's number: numbers need not be whole.
pub fn group_index(groups: &mut HashMap<u64, u32>, number: f64) -> u32 {
    let next = groups.len() as u32;
    *groups.entry(number.to_bits()).or_insert(next)
}
