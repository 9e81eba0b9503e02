//! Maps names to small indices within one router, and the indices back to names, for example for log messages.

use std::collections::HashMap;

/// The indices of names. A new name is assigned the index that was released last, or, if all released indices are in
/// use again, the next one after those assigned so far.
#[derive(Default)]
pub struct NameIndex {
    index_by_name: HashMap<String, u32>,
    names: Vec<String>,
    released: Vec<u32>,
}

impl NameIndex {
    /// Returns the index of a name. A new name is assigned an index.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(index) = self.get(name) {
            return index;
        }
        let index = self.released.pop().unwrap_or(self.names.len() as u32);
        match self.names.get_mut(index as usize) {
            Some(old) => *old = name.to_owned(),
            None => self.names.push(name.to_owned()),
        }
        self.index_by_name.insert(name.to_owned(), index);
        index
    }

    /// Releases an index that is no longer used, and removes its name.
    pub fn release(&mut self, index: u32) {
        if let Some(name) = self.names.get_mut(index as usize)
            && self.index_by_name.remove(&std::mem::take(name)).is_some()
        {
            self.released.push(index);
        }
    }

    /// Returns the index of a name, or `None` if the name has no index.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.index_by_name.get(name).copied()
    }

    /// Returns the name of an index, or an empty text if the index was released or never assigned.
    pub fn name(&self, index: u32) -> &str {
        self.names.get(index as usize).map_or("", String::as_str)
    }

    /// Replaces each `#N` in a log message of the routing core by the name with the index N, or by nothing if the index
    /// was released. If N was never assigned, the number remains, without the `#`.
    pub fn expand_names(&self, message: &str) -> String {
        let mut parts = message.split('#');
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

/// Returns the index of the group with this number. A number that is not in `groups` yet is assigned the next index.
/// The numbers need not be integers.
pub fn group_index(groups: &mut HashMap<u64, u32>, number: f64) -> u32 {
    let next = groups.len() as u32;
    *groups.entry(number.to_bits()).or_insert(next)
}
