//! JSON with a line for each element of a list: no line of an answer may be
//! longer than 64 KiB, and two hundred jobs are.

use serde::Serialize;
use serde_json::ser::{Formatter, Serializer};
use std::io::{Result, Write};

struct Rows;

impl Formatter for Rows {
    fn begin_array_value<W: ?Sized + Write>(&mut self, w: &mut W, first: bool) -> Result<()> {
        w.write_all(if first { b"\n" } else { b",\n" })
    }
}

/// The value as JSON, each element of its lists on a line of its own.
pub fn rows(value: &impl Serialize) -> String {
    let mut out = vec![];
    let mut to = Serializer::with_formatter(&mut out, Rows);
    match value.serialize(&mut to) {
        Ok(()) => String::from_utf8(out).unwrap_or_default(),
        Err(_) => String::new(),
    }
}
