//! Where live attempts are, as it rides along in a job's records: without it a
//! leader elected while a zone is lost does not know what was lost with it until
//! the cloud has told.
//!
//! An earlier release leaves this field alone as it rewrites the attempts beside
//! it, so it carries a checksum of those that it speaks of; where that doesn't
//! fit any more, nothing is known.

use super::job::ActiveAttempt;
use crate::ids::{Build, Host, Zone};
use serde::{Deserialize, Serialize};

/// A machine's place and kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptPlace {
    /// The zone.
    pub zone: Zone,
    /// The machine type.
    pub build: Build,
    /// Whether it is a spot instance.
    pub spot: bool,
}

/// The places of a record's attempts, in their order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptPlaces {
    /// The different ones.
    #[serde(rename = "k")]
    kinds: Vec<(Zone, Build, bool)>,
    /// Which of them each attempt has: a digit each.
    #[serde(rename = "i")]
    kind_indexes: String,
    #[serde(rename = "c")]
    checksum: u32,
}

/// As many as digits.
const MAX_KINDS: usize = 36;

/// An attempt as its record has it: task, attempt, machine, time.
type Entry = (u32, u64, Host, u64);

fn checksum<'a>(entries: impl Iterator<Item = (u64, &'a Host)>) -> u32 {
    let mut h = crc32fast::Hasher::new();
    for (attempt, host) in entries {
        h.update(&attempt.to_le_bytes());
        h.update(host.as_str().as_bytes());
    }
    h.finalize()
}

impl AttemptPlaces {
    /// None if not all are known, or if they don't fit into so many bytes.
    pub fn of<'a>(
        live: impl Iterator<Item = &'a ActiveAttempt> + Clone,
        room: usize,
    ) -> Option<AttemptPlaces> {
        let mut kinds: Vec<&AttemptPlace> = vec![];
        let mut each = String::new();
        for l in live.clone() {
            let place = l.place.as_ref()?;
            let known = kinds.iter().position(|k| *k == place);
            let ix = known.unwrap_or_else(|| {
                kinds.push(place);
                kinds.len() - 1
            });
            if ix >= MAX_KINDS {
                return None;
            }
            each.push(char::from_digit(ix as u32, 36)?);
        }
        let kind = |p: &AttemptPlace| (p.zone.clone(), p.build.clone(), p.spot);
        let p = AttemptPlaces {
            kinds: kinds.into_iter().map(kind).collect(),
            kind_indexes: each,
            checksum: checksum(live.map(|l| (l.attempt.0, &l.host))),
        };
        (!p.kind_indexes.is_empty() && p.max_encoded_bytes() <= room).then_some(p)
    }

    /// Bytes that it takes in a record, at the most.
    pub fn max_encoded_bytes(&self) -> usize {
        let names = self.kinds.iter();
        let names: usize = names
            .map(|k| k.0.as_str().len() + k.1.as_str().len() + 14)
            .sum();
        names + self.kind_indexes.len() + 50
    }

    /// The place of each entry; nothing if these are others.
    pub fn for_entries(&self, entries: &[Entry]) -> Vec<AttemptPlace> {
        let fits = self.kind_indexes.len() == entries.len()
            && self.checksum == checksum(entries.iter().map(|e| (e.1, &e.2)));
        let place = |c: char| {
            let (zone, build, spot) = self.kinds.get(c.to_digit(36)? as usize)?.clone();
            Some(AttemptPlace { zone, build, spot })
        };
        let all: Option<Vec<AttemptPlace>> = self.kind_indexes.chars().map(place).collect();
        all.filter(|_| fits).unwrap_or_default()
    }
}
