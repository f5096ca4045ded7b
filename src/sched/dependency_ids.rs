//! The jobs that a job depends on, in memory and as stored.
//!
//! They are stored as one string. Ids are `job-` and digits. Those with the same number
//! of digits form a segment: sorted, each as the difference from the one before,
//! written as variable-length integers in groups of five bits:
//!
//! ```text
//!
//! 6:yMgBk,7:gC    ids of six digits, then one of seven
//!
//! =000…001        an id whose number exceeds 38 digits, stored literally
//!
//! ```
//!
//! Two hundred ids of six digits take about six hundred bytes.

use crate::ids::JobId;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::collections::{BTreeMap, BTreeSet};

/// The alphabet: five bits for each character; characters of the second half have the
/// continuation bit.
const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
const BITS_PER_DIGIT: u32 = 5;
const CONTINUATION_BIT: usize = 1 << BITS_PER_DIGIT;
/// The number of digits up to which every number fits into `u128`.
const MAX_DIGITS: usize = 38;
const PREFIX: &str = "job-";

/// Ids of the jobs that a job depends on and that are not known to be done yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DependencyIds(BTreeSet<JobId>);

impl DependencyIds {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    pub fn len(&self) -> usize {
        self.0.len()
    }
    pub fn contains(&self, id: &JobId) -> bool {
        self.0.contains(id)
    }
    /// Removes a job that is done; true if it was among the dependencies.
    pub fn remove(&mut self, id: &JobId) -> bool {
        self.0.remove(id)
    }
    pub fn iter(&self) -> impl Iterator<Item = &JobId> {
        self.0.iter()
    }

    /// The stored form.
    pub fn encode(&self) -> String {
        let mut numbers: BTreeMap<usize, Vec<u128>> = BTreeMap::new();
        let mut segments = vec![];
        for id in &self.0 {
            let digits = id.as_str().strip_prefix(PREFIX).unwrap_or_default();
            match digits.parse::<u128>() {
                Ok(number) if digits.len() <= MAX_DIGITS => {
                    numbers.entry(digits.len()).or_default().push(number);
                }
                _ => segments.push(format!("={digits}")),
            }
        }
        for (width, sorted) in numbers {
            let mut text = format!("{width}:");
            let mut previous = 0;
            for number in sorted {
                push_number(&mut text, number - previous);
                previous = number;
            }
            segments.push(text);
        }
        segments.join(",")
    }

    /// Reads the stored form that [`DependencyIds::encode`] writes; none if it is
    /// malformed.
    pub fn decode(text: &str) -> Option<DependencyIds> {
        let mut ids = BTreeSet::new();
        for segment in text.split(',').filter(|s| !s.is_empty()) {
            if let Some(digits) = segment.strip_prefix('=') {
                ids.insert(parse_job_id(format!("{PREFIX}{digits}"))?);
                continue;
            }
            let (width, numbers) = segment.split_once(':')?;
            let width: usize = width.parse().ok().filter(|w| *w <= MAX_DIGITS)?;
            let mut previous = 0u128;
            for difference in read_numbers(numbers)? {
                previous = previous.checked_add(difference)?;
                let id = parse_job_id(format!("{PREFIX}{previous:0width$}"))?;
                if id.as_str().len() != PREFIX.len() + width {
                    return None;
                }
                ids.insert(id);
            }
        }
        Some(DependencyIds(ids))
    }
}

impl FromIterator<JobId> for DependencyIds {
    fn from_iter<I: IntoIterator<Item = JobId>>(ids: I) -> DependencyIds {
        DependencyIds(ids.into_iter().collect())
    }
}

impl Serialize for DependencyIds {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(&self.encode())
    }
}

impl<'de> Deserialize<'de> for DependencyIds {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<DependencyIds, D::Error> {
        let text = String::deserialize(d)?;
        DependencyIds::decode(&text).ok_or_else(|| de::Error::custom("malformed list of job ids"))
    }
}

fn parse_job_id(id: String) -> Option<JobId> {
    JobId::is_well_formed(&id).then(|| JobId::from(id.as_str()))
}

/// Appends a variable-length integer, the lowest bits first.
fn push_number(text: &mut String, mut number: u128) {
    loop {
        let group = number as usize % CONTINUATION_BIT;
        number >>= BITS_PER_DIGIT;
        let more = if number > 0 { CONTINUATION_BIT } else { 0 };
        text.push(DIGITS[group + more] as char);
        if number == 0 {
            return;
        }
    }
}

fn read_numbers(text: &str) -> Option<Vec<u128>> {
    let mut numbers = vec![];
    let (mut number, mut shift) = (0u128, 0u32);
    for character in text.bytes() {
        let group = DIGITS.iter().position(|d| *d == character)?;
        let bits = (group % CONTINUATION_BIT) as u128;
        if shift >= u128::BITS || bits << shift >> shift != bits {
            return None;
        }
        number |= bits << shift;
        if group >= CONTINUATION_BIT {
            shift += BITS_PER_DIGIT;
        } else {
            numbers.push(number);
            (number, shift) = (0, 0);
        }
    }
    (shift == 0).then_some(numbers)
}
