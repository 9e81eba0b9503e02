//! A ring buffer of bytes. Each connection has one such buffer for input and one for output. A buffer starts small,
//! grows up to a limit, and releases its memory when it is empty.
//!
//! The buffer stores bytes in order. It doesn't parse them, makes no system call, and never grows past the limit that
//! the caller passes.

/// A ring buffer. All sizes are in bytes.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    head: usize,
    len: usize,
}

impl Buffer {
    /// Returns the number of bytes stored in the buffer.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the buffer stores no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of bytes of memory allocated for the buffer.
    pub fn capacity(&self) -> usize {
        self.bytes.len()
    }

    /// Returns contiguous free space to read into, which is empty when the buffer is full and has reached the size
    /// `limit`. A full buffer first grows: to the size `initial` if nothing is allocated, else to twice its size.
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

    /// Adds the `count` bytes that the caller has written to the start of the slice from [`Buffer::free_space`].
    pub fn commit(&mut self, count: usize) {
        self.len = (self.len + count).min(self.bytes.len());
    }

    /// Appends all of `bytes` and returns true, or appends nothing and returns false if the buffer would then store
    /// more than `limit` bytes.
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

    /// Returns the bytes at the front of the buffer, as far as they are contiguous in memory, for the caller to write
    /// out.
    pub fn first_slice(&self) -> &[u8] {
        let end = (self.head + self.len).min(self.bytes.len());
        self.bytes.get(self.head..end).unwrap_or_default()
    }

    /// Makes all bytes of the buffer contiguous in memory, and returns them for the caller to parse.
    pub fn make_contiguous(&mut self) -> &[u8] {
        if self.head + self.len > self.bytes.len() {
            self.bytes.rotate_left(self.head);
            self.head = 0;
        }
        self.first_slice()
    }

    /// Removes `count` bytes from the front of the buffer.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len);
        self.len -= count;
        self.head = match self.bytes.len() {
            0 => 0,
            _ if self.len == 0 => 0,
            size => (self.head + count) % size,
        };
    }

    /// Releases the buffer's memory if it is empty and has grown beyond `initial`.
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
