//! Records that exceed the size limit of a value.
//!
//! The text of such a record is split into pieces: the first is stored under the
//! record's own key with the number of pieces, the others under keys of their own. All are
//! written in one transaction, and each carries the checksum of the whole text, so
//! that pieces of different writes are never joined.

use super::limits::{MAX_SINGLE_RECORD_TXN_BYTES, MAX_TXN_BYTES, VALUE_OVERHEAD_BYTES};
use super::{PIECES_PREFIX, part_key};
use crate::ids::{JobId, Revision};
use crate::wire::state::Item;
use crate::wire::user::JobState;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use thiserror::Error;

/// Bytes of a piece besides its part of the text.
const PIECE_OVERHEAD_BYTES: usize = 72;
/// Records that claim more pieces are rejected as corrupt.
const MAX_PIECES: usize = 64;

/// Maximum bytes of a value, and maximum values of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLimits {
    pub max_value_bytes: usize,
    pub max_values: usize,
}

impl RecordLimits {
    /// The minimum of each limit.
    pub fn min(self, other: RecordLimits) -> RecordLimits {
        RecordLimits {
            max_value_bytes: self.max_value_bytes.min(other.max_value_bytes),
            max_values: self.max_values.min(other.max_values),
        }
    }

    /// Whether a transaction can hold the record, split if necessary.
    pub fn fits(&self, record: &Value) -> bool {
        self.fits_within(record, MAX_SINGLE_RECORD_TXN_BYTES)
    }

    /// Whether a new job may have a record that grows up to this one.
    pub fn admits(&self, largest: &Value) -> bool {
        self.fits_within(largest, MAX_TXN_BYTES)
    }

    fn fits_within(&self, record: &Value, max_txn_bytes: usize) -> bool {
        let size = RecordSize::of(&record.to_string(), self.max_value_bytes);
        size.values <= self.max_values && size.txn_bytes <= max_txn_bytes
    }

    /// Bytes by which the record may grow without taking more values than now, or more
    /// than a transaction.
    pub fn growth_bytes(&self, record: &Value) -> usize {
        let text = record.to_string();
        let size = RecordSize::of(&text, self.max_value_bytes);
        let left = MAX_TXN_BYTES.saturating_sub(size.txn_bytes);
        if size.values == 1 {
            return left.min(self.max_value_bytes - text.len());
        }
        let room = text_bytes_per_value(self.max_value_bytes) * size.values;
        // Half, as what is added may have to be escaped.
        left.min(room.saturating_sub(escaped_len(&text))) / 2
    }
}

/// What a record takes in a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RecordSize {
    values: usize,
    /// Upper bound of its bytes, with keys and conditions.
    txn_bytes: usize,
}

impl RecordSize {
    fn of(text: &str, value_bytes: usize) -> RecordSize {
        if text.len() <= value_bytes {
            return RecordSize {
                values: 1,
                txn_bytes: text.len() + VALUE_OVERHEAD_BYTES,
            };
        }
        let values = split_text(text, value_bytes).len();
        let overhead = PIECE_OVERHEAD_BYTES + VALUE_OVERHEAD_BYTES;
        RecordSize {
            values,
            txn_bytes: escaped_len(text) + values * overhead,
        }
    }
}

/// Key of a further piece of a record.
pub fn piece_key(id: &JobId, part: usize, piece: usize) -> String {
    format!("{PIECES_PREFIX}{id}/{part:06}/{piece}")
}

/// The piece stored under the record's own key.
#[derive(Serialize, Deserialize)]
struct FirstPiece {
    pieces: usize,
    sum: u32,
    /// Kept outside the text, so that a cancellation is known even if the rest can't be
    /// read.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    cancelled: bool,
    #[serde(rename = "t")]
    text: String,
}

#[derive(Serialize, Deserialize)]
struct Piece {
    sum: u32,
    #[serde(rename = "t")]
    text: String,
}

/// Why the pieces of a record can't be joined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum JoinError {
    #[error("piece {0} is missing")]
    Missing(usize),
    #[error("piece {0} can't be read, or is of another write")]
    Stale(usize),
    #[error("the text is not that of the record")]
    Text,
}

fn text_bytes_per_value(value_bytes: usize) -> usize {
    value_bytes.saturating_sub(PIECE_OVERHEAD_BYTES).max(1)
}

fn escaped_char_len(c: char) -> usize {
    match c {
        '"' | '\\' => 2,
        '\u{0}'..='\u{1f}' => 6,
        _ => c.len_utf8(),
    }
}

fn escaped_len(text: &str) -> usize {
    text.chars().map(escaped_char_len).sum()
}

/// Splits a text so that each part fits a value.
fn split_text(text: &str, value_bytes: usize) -> Vec<&str> {
    let most = text_bytes_per_value(value_bytes);
    let mut shares = vec![];
    let (mut from, mut used) = (0, 0);
    for (at, c) in text.char_indices() {
        let more = escaped_char_len(c);
        if used + more > most && at > from {
            shares.push(&text[from..at]);
            (from, used) = (at, 0);
        }
        used += more;
    }
    shares.push(&text[from..]);
    shares
}

/// Number of values that a record's text takes.
pub fn values_needed(text: &str, value_bytes: usize) -> usize {
    RecordSize::of(text, value_bytes).values
}

/// Splits a record into values, the first for its own key.
pub fn split_record(record: Value, value_bytes: usize) -> Vec<Value> {
    let text = record.to_string();
    if text.len() <= value_bytes {
        return vec![record];
    }
    let sum = crc32fast::hash(text.as_bytes());
    let shares = split_text(&text, value_bytes);
    let head = FirstPiece {
        pieces: shares.len(),
        sum,
        cancelled: record.get("cancelled").and_then(Value::as_bool) == Some(true),
        text: shares[0].into(),
    };
    let further = shares[1..].iter().map(|share| Piece {
        sum,
        text: (*share).into(),
    });
    let mut values = vec![serde_json::to_value(head).unwrap_or_default()];
    values.extend(further.map(|p| serde_json::to_value(p).unwrap_or_default()));
    values
}

/// Joins the value under the record's own key with its further pieces, given by key.
///
/// # Errors
/// If a piece is missing or of another write.
pub fn join_record(
    id: &JobId,
    part: usize,
    value: &Value,
    pieces: &BTreeMap<String, Value>,
) -> Result<Value, JoinError> {
    let Ok(head) = FirstPiece::deserialize(value) else {
        return Ok(value.clone());
    };
    if head.pieces > MAX_PIECES {
        return Err(JoinError::Text);
    }
    let mut text = head.text;
    for n in 1..head.pieces {
        let found = pieces.get(&piece_key(id, part, n));
        let found = found.ok_or(JoinError::Missing(n))?;
        match Piece::deserialize(found) {
            Ok(piece) if piece.sum == head.sum => text.push_str(&piece.text),
            _ => return Err(JoinError::Stale(n)),
        }
    }
    if crc32fast::hash(text.as_bytes()) != head.sum {
        return Err(JoinError::Text);
    }
    serde_json::from_str(&text).map_err(|_| JoinError::Text)
}

/// The job that a piece belongs to.
pub fn job_of_piece(key: &str) -> Option<JobId> {
    let mut names = key.strip_prefix(PIECES_PREFIX)?.rsplitn(3, '/');
    let _piece: usize = names.next()?.parse().ok()?;
    let _part: usize = names.next()?.parse().ok()?;
    names.next().map(JobId::from)
}

/// Keys with their revisions.
type KeyRevisions = Vec<(String, Revision)>;

/// The further pieces that a new leader has loaded.
pub struct Pieces {
    values: BTreeMap<String, Value>,
    revisions: KeyRevisions,
}

impl Pieces {
    pub fn new(items: Vec<Item>) -> Pieces {
        let stamps = items.iter().map(|i| (i.key.clone(), i.revision)).collect();
        let values = items.into_iter().map(|i| (i.key, i.value)).collect();
        Pieces {
            values,
            revisions: stamps,
        }
    }

    /// The whole record of a part, or none if it can't be read.
    pub fn join(&self, id: &JobId, part: usize, first: &Item) -> Option<Value> {
        let joined = join_record(id, part, &first.value, &self.values);
        let told = joined.inspect_err(
            |e| tracing::error!(key = %first.key, error = %e, "record pieces can't be joined"),
        );
        told.ok()
    }

    /// Splits into pieces of known jobs and garbage of others. Pieces of unreadable records
    /// are in neither list, so that they are kept.
    pub fn partition(
        self,
        known: impl Fn(&JobId) -> bool,
        alone: &UnreadableJobs,
    ) -> (KeyRevisions, KeyRevisions) {
        let mut of_jobs = vec![];
        let mut left_over = vec![];
        for (key, stamp) in self.revisions {
            match job_of_piece(&key) {
                Some(id) if known(&id) => of_jobs.push((key, stamp)),
                Some(id) if alone.contains_key(&id) => {}
                _ => left_over.push((key, stamp)),
            }
        }
        (of_jobs, left_over)
    }
}

/// Jobs whose records can't be read, with the state that is reported for them.
type UnreadableJobs = BTreeMap<JobId, JobState>;

/// The keys of a record that takes `values` values.
pub fn record_keys(id: &JobId, part: usize, values: usize) -> impl Iterator<Item = String> {
    let first = part_key(id, part);
    std::iter::once(first).chain((1..values).map(move |n| piece_key(id, part, n)))
}
