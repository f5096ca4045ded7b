//! What every other package stands on: names, versions and counters as types of
//! their own ([`ids`]), and times that are told, not read ([`time`]). No I/O, no
//! clock, no threads; nothing here knows what any of it is for.

pub mod ids;
pub mod time;
