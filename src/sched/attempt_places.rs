//! The zone and machine type of each active attempt, stored along with a job's records.
//! Without them a leader elected while a zone is lost does not know which attempts were
//! lost with it until the cloud has listed its machines.
//!
//! An earlier release keeps this field as it is while it rewrites the attempts beside
//! it. It therefore carries a checksum of the attempts that it describes; if that
//! doesn't match, the places are ignored.

use super::job::ActiveAttempt;
use crate::ids::{Host, MachineTypeId, Zone};
use serde::{Deserialize, Serialize};

/// The zone and the kind of a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptPlace {
    /// The zone.
    pub zone: Zone,
    /// The machine type.
    pub build: MachineTypeId,
    /// Whether it is a spot instance.
    pub spot: bool,
}

/// The places of a record's attempts, in the order of the attempts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptPlaces {
    /// The distinct places.
    #[serde(rename = "k")]
    kinds: Vec<(Zone, MachineTypeId, bool)>,
    /// The index in `kinds` for each attempt, as one base-36 digit.
    #[serde(rename = "i")]
    kind_indexes: String,
    #[serde(rename = "c")]
    checksum: u32,
}

/// As many as there are base-36 digits.
const MAX_KINDS: usize = 36;

/// An attempt as stored: task, attempt, machine, time.
type Entry = (u32, u64, Host, u64);

fn checksum<'a>(entries: impl Iterator<Item = (u64, &'a Host)>) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for (attempt, host) in entries {
        hasher.update(&attempt.to_le_bytes());
        hasher.update(host.as_str().as_bytes());
    }
    hasher.finalize()
}

impl AttemptPlaces {
    /// The places of these attempts; none if some place is unknown, or if the encoded
    /// form may take more than `max_bytes`.
    pub fn of<'a>(
        live: impl Iterator<Item = &'a ActiveAttempt> + Clone,
        max_bytes: usize,
    ) -> Option<AttemptPlaces> {
        let mut kinds: Vec<&AttemptPlace> = vec![];
        let mut each = String::new();
        for attempt in live.clone() {
            let place = attempt.place.as_ref()?;
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
        let places = AttemptPlaces {
            kinds: kinds.into_iter().map(kind).collect(),
            kind_indexes: each,
            checksum: checksum(live.map(|l| (l.attempt.0, &l.host))),
        };
        (!places.kind_indexes.is_empty() && places.max_encoded_bytes() <= max_bytes)
            .then_some(places)
    }

    /// An upper bound on the bytes that it takes in a record.
    pub fn max_encoded_bytes(&self) -> usize {
        let names = self.kinds.iter();
        let names: usize = names
            .map(|k| k.0.as_str().len() + k.1.as_str().len() + 14)
            .sum();
        names + self.kind_indexes.len() + 50
    }

    /// The place of each entry; empty if the checksum doesn't match these entries.
    pub fn for_entries(&self, entries: &[Entry]) -> Vec<AttemptPlace> {
        let matches = self.kind_indexes.len() == entries.len()
            && self.checksum == checksum(entries.iter().map(|e| (e.1, &e.2)));
        let place = |c: char| {
            let (zone, build, spot) = self.kinds.get(c.to_digit(36)? as usize)?.clone();
            Some(AttemptPlace { zone, build, spot })
        };
        let all: Option<Vec<AttemptPlace>> = self.kind_indexes.chars().map(place).collect();
        all.filter(|_| matches).unwrap_or_default()
    }
}
