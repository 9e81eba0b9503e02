//! A ring buffer of bytes, one for each direction of a connection: starts small, grows up to a limit, and gives its
//! memory back when it is empty.
//!
//! It keeps bytes and their order. It doesn't parse them, touches no socket, and never grows past the limit that the
//! caller gives.

/// A ring buffer. Sizes are in bytes.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    head: usize,
    len: usize,
}

impl Buffer {
    /// Bytes that it holds.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Memory that it takes.
    pub fn capacity(&self) -> usize {
        self.bytes.len()
    }

    /// Contiguous free space to read into; empty when the buffer is full at `limit`. A full buffer doubles its size,
    /// from `initial` on.
    pub fn free_space(&mut self, initial: usize, limit: usize) -> &mut [u8] {
        if self.len == self.bytes.len() {
            self.resize(self.len.saturating_mul(2).max(initial).min(limit));
        }
        let size = self.bytes.len();
        let tail = self.head + self.len;
        let free = match tail {
            _ if self.len == size => 0..0,
            tail if tail < size => tail..size,
            tail => tail - size..self.head,
        };
        self.bytes.get_mut(free).unwrap_or_default()
    }

    /// Adds `count` bytes that were written at the front of the space from [`Buffer::free_space`].
    pub fn commit(&mut self, count: usize) {
        self.len = (self.len + count).min(self.bytes.len());
    }

    /// Appends all of `bytes`, or nothing where that would exceed `limit`.
    pub fn append(&mut self, bytes: &[u8], initial: usize, limit: usize) -> bool {
        let wanted = self.len + bytes.len();
        if wanted > limit {
            return false;
        }
        if wanted > self.bytes.len() {
            self.resize(wanted.next_power_of_two().max(initial).min(limit.max(wanted)));
        }
        let mut rest = bytes;
        while !rest.is_empty() {
            let free = self.free_space(initial, limit);
            let count = rest.len().min(free.len());
            if count == 0 {
                return false;
            }
            let (fitting, remaining) = rest.split_at(count);
            free[..count].copy_from_slice(fitting);
            self.commit(count);
            rest = remaining;
        }
        true
    }

    /// The first bytes, as far as they are contiguous, to be written out.
    pub fn first_slice(&self) -> &[u8] {
        let end = (self.head + self.len).min(self.bytes.len());
        self.bytes.get(self.head..end).unwrap_or_default()
    }

    /// All bytes, made contiguous, to be parsed.
    pub fn make_contiguous(&mut self) -> &[u8] {
        if self.head + self.len > self.bytes.len() {
            self.bytes.rotate_left(self.head);
            self.head = 0;
        }
        self.first_slice()
    }

    /// Drops `count` bytes from the front.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len);
        self.len -= count;
        self.head = match self.bytes.len() {
            0 => 0,
            _ if self.len == 0 => 0,
            size => (self.head + count) % size,
        };
    }

    /// Gives its memory back if it is empty and has grown beyond `initial`.
    pub fn shrink_if_empty(&mut self, initial: usize) {
        if self.len == 0 && self.bytes.len() > initial {
            *self = Buffer::default();
        }
    }

    fn resize(&mut self, size: usize) {
        if size <= self.bytes.len() {
            return;
        }
        self.make_contiguous();
        if self.head > 0 {
            self.bytes.copy_within(self.head..self.head + self.len, 0);
            self.head = 0;
        }
        self.bytes.reserve_exact(size - self.bytes.len());
        self.bytes.resize(size, 0);
    }
}
