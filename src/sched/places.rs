//! Where live attempts are, as it rides along in a job's records: without it a
//! leader elected while a zone is lost does not know what was lost with it until
//! the cloud has told.
//!
//! An earlier release leaves this field alone as it rewrites the attempts beside
//! it, so it carries a checksum of those that it speaks of; where that doesn't
//! fit any more, nothing is known.

use super::job::Live;
use crate::ids::{Host, MachineTypeId, Zone};
use serde::{Deserialize, Serialize};

/// A machine's place and kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The zone.
    pub zone: Zone,
    /// The machine type.
    pub build: MachineTypeId,
    /// Whether it is a spot instance.
    pub spot: bool,
}

/// The places of a record's attempts, in their order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Places {
    /// The different ones.
    #[serde(rename = "k")]
    kinds: Vec<(Zone, MachineTypeId, bool)>,
    /// Which of them each attempt has: a digit each.
    #[serde(rename = "i")]
    each: String,
    #[serde(rename = "c")]
    checksum: u32,
}

/// As many as digits.
const MOST_KINDS: usize = 36;

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

impl Places {
    /// None if not all are known, or if they don't fit into so many bytes.
    pub fn of<'a>(live: impl Iterator<Item = &'a Live> + Clone, room: usize) -> Option<Places> {
        let mut kinds: Vec<&Place> = vec![];
        let mut each = String::new();
        for l in live.clone() {
            let place = l.place.as_ref()?;
            let known = kinds.iter().position(|k| *k == place);
            let ix = known.unwrap_or_else(|| {
                kinds.push(place);
                kinds.len() - 1
            });
            if ix >= MOST_KINDS {
                return None;
            }
            each.push(char::from_digit(ix as u32, 36)?);
        }
        let kind = |p: &Place| (p.zone.clone(), p.build.clone(), p.spot);
        let p = Places {
            kinds: kinds.into_iter().map(kind).collect(),
            each,
            checksum: checksum(live.map(|l| (l.attempt.0, &l.host))),
        };
        (!p.each.is_empty() && p.size() <= room).then_some(p)
    }

    /// Bytes that it takes in a record, at the most.
    pub fn size(&self) -> usize {
        let names = self.kinds.iter();
        let names: usize = names
            .map(|k| k.0.as_str().len() + k.1.as_str().len() + 14)
            .sum();
        names + self.each.len() + 50
    }

    /// The place of each entry; nothing if these are others.
    pub fn of_each(&self, entries: &[Entry]) -> Vec<Place> {
        let fits = self.each.len() == entries.len()
            && self.checksum == checksum(entries.iter().map(|e| (e.1, &e.2)));
        let place = |c: char| {
            let (zone, build, spot) = self.kinds.get(c.to_digit(36)? as usize)?.clone();
            Some(Place { zone, build, spot })
        };
        let all: Option<Vec<Place>> = self.each.chars().map(place).collect();
        all.filter(|_| fits).unwrap_or_default()
    }
}
