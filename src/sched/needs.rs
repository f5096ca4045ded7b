//! The jobs that a job needs (DAG dependency), in memory and on record.
//!
//! On record they are one string. Ids are `job-` and digits; those of one number of
//! digits stand together, sorted, each as the difference from the one before, in
//! groups of five bits:
//!
//! ```text
//! 6:yMgBk,7:gC    ids of six digits, then one of seven
//! =000…001        one whose number is too large for the arithmetic, as it is
//! ```
//!
//! Two hundred names of six digits take some six hundred bytes.

use crate::ids::JobId;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::collections::{BTreeMap, BTreeSet};

/// Five bits a character; the second half says that more follow.
const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
const BITS: u32 = 5;
const MORE: usize = 1 << BITS;
/// The most digits that any number of so many fits into `u128`.
const MAX_DIGITS: usize = 38;
const PREFIX: &str = "job-";

/// Names of the jobs that are not known to be done yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Needs(BTreeSet<JobId>);

impl Needs {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    pub fn len(&self) -> usize {
        self.0.len()
    }
    pub fn contains(&self, id: &JobId) -> bool {
        self.0.contains(id)
    }
    /// The job is done; true if it was needed.
    pub fn remove(&mut self, id: &JobId) -> bool {
        self.0.remove(id)
    }
    pub fn iter(&self) -> impl Iterator<Item = &JobId> {
        self.0.iter()
    }

    /// As it is stored.
    pub fn encode(&self) -> String {
        let mut numbers: BTreeMap<usize, Vec<u128>> = BTreeMap::new();
        let mut segments = vec![];
        for id in &self.0 {
            let digits = id.as_str().strip_prefix(PREFIX).unwrap_or_default();
            match digits.parse::<u128>() {
                Ok(n) if digits.len() <= MAX_DIGITS => {
                    numbers.entry(digits.len()).or_default().push(n);
                }
                _ => segments.push(format!("={digits}")),
            }
        }
        for (width, sorted) in numbers {
            let mut text = format!("{width}:");
            let mut previous = 0;
            for n in sorted {
                push_number(&mut text, n - previous);
                previous = n;
            }
            segments.push(text);
        }
        segments.join(",")
    }

    /// Reads what [`Needs::encode`] wrote.
    pub fn decode(text: &str) -> Option<Needs> {
        let mut ids = BTreeSet::new();
        for segment in text.split(',').filter(|s| !s.is_empty()) {
            if let Some(digits) = segment.strip_prefix('=') {
                ids.insert(well_formed(format!("{PREFIX}{digits}"))?);
                continue;
            }
            let (width, numbers) = segment.split_once(':')?;
            let width: usize = width.parse().ok().filter(|w| *w <= MAX_DIGITS)?;
            let mut previous = 0u128;
            for difference in read_numbers(numbers)? {
                previous = previous.checked_add(difference)?;
                let id = well_formed(format!("{PREFIX}{previous:0width$}"))?;
                if id.as_str().len() != PREFIX.len() + width {
                    return None;
                }
                ids.insert(id);
            }
        }
        Some(Needs(ids))
    }
}

impl FromIterator<JobId> for Needs {
    fn from_iter<I: IntoIterator<Item = JobId>>(ids: I) -> Needs {
        Needs(ids.into_iter().collect())
    }
}

impl Serialize for Needs {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(&self.encode())
    }
}

impl<'de> Deserialize<'de> for Needs {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Needs, D::Error> {
        let text = String::deserialize(d)?;
        Needs::decode(&text).ok_or_else(|| de::Error::custom("not a list of jobs"))
    }
}

fn well_formed(id: String) -> Option<JobId> {
    JobId::is_well_formed(&id).then(|| JobId::from(id.as_str()))
}

/// The lowest bits first.
fn push_number(text: &mut String, mut n: u128) {
    loop {
        let group = n as usize % MORE;
        n >>= BITS;
        let more = if n > 0 { MORE } else { 0 };
        text.push(DIGITS[group + more] as char);
        if n == 0 {
            return;
        }
    }
}

fn read_numbers(text: &str) -> Option<Vec<u128>> {
    let mut numbers = vec![];
    let (mut n, mut shift) = (0u128, 0u32);
    for c in text.bytes() {
        let group = DIGITS.iter().position(|d| *d == c)?;
        let bits = (group % MORE) as u128;
        if shift >= u128::BITS || bits << shift >> shift != bits {
            return None;
        }
        n |= bits << shift;
        if group >= MORE {
            shift += BITS;
        } else {
            numbers.push(n);
            (n, shift) = (0, 0);
        }
    }
    (shift == 0).then_some(numbers)
}
