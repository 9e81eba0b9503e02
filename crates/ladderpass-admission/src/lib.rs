//! Overload answered by the fleet as one, without I/O or clock: what this router measured and what others told in, words
//! for the others, a floor by group and this router's part of each member's room out.
//!
//! `word` is the form of what is told. `concert` reckons: from what all asked and what members served, which ranks all
//! refuse, and how much may be in flight at each member. Each router reckons alone, by the same rule on the same words.
//!
//! It owns the floor and the parts. It must never refuse an RPC (the core does), nor ask anything of a member.

mod concert;
mod word;

pub use concert::{Concert, Facts, Faulty, Figures, lot};
#[doc(hidden)]
pub use word::FORM;
pub use word::{Told, Word, read, write};
