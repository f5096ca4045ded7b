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

#[cfg(test)]
mod tests {
    use crate::{Board, Line, Page, Query};

    /// A page was once one line of 80 KiB.
    #[test]
    fn no_line_of_the_longest_page_is_long() {
        let mut b = Board::default();
        for n in 0..300 {
            let line = Line {
                id: format!("job-{n:060}"),
                class: "c".repeat(200),
                team: "t".repeat(200),
                held: vec!["h".repeat(230); 3],
                ..Line::default()
            };
            b.put(line, 0);
        }
        let page = b.publish().page(&Query::parse("page=200").unwrap(), 0);
        let text = super::rows(&page);
        assert!(text.len() > 64 * 1024);
        assert!(text.lines().all(|l| l.len() < 4096));
        assert_eq!(serde_json::from_str::<Page>(&text).unwrap(), page);
    }
}
