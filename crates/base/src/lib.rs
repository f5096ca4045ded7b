//! The types that every other package uses: names, versions and counters as types of
//! their own ([`ids`]), and points and lengths of time ([`time`]).
//!
//! The package promises that values of two types can't be confused, and that their
//! stored and wire forms stay the same. It must never do I/O, read a clock, start a
//! thread or depend on another package of the workspace.

pub mod ids;
pub mod time;
