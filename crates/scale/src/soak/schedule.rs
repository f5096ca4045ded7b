//! Which troubles a soak has, and when: drawn from the seed alone, so that a seed
//! always gives the same schedule.

use crate::interference::TroubleKind;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// The first trouble begins so long after the first arrival.
const FIRST_AT_S: f64 = 2.0;
/// Time between the beginnings of two troubles, so that two or three overlap.
const GAP_S: std::ops::Range<f64> = 0.5..3.5;
/// How long a trouble lasts.
const LASTS_S: std::ops::Range<f64> = 2.0..7.0;
/// A controller that ended is started again after so long.
const BACK_AFTER_S: std::ops::Range<f64> = 0.05..0.9;
/// All controllers are away for less than a leader's lease, or for longer than a worker's.
const AWAY_S: std::ops::Range<f64> = 0.3..14.0;
/// A pause is longer than a leader's lease, or shorter.
const PAUSE_S: std::ops::Range<f64> = 0.3..4.0;
/// Machines that end at a time.
const MACHINES: std::ops::RangeInclusive<usize> = 1..=5;
/// Leaders that end one after the other, when they do so in series.
const SERIES: std::ops::RangeInclusive<usize> = 2..=4;
/// Time between two leaders of a series.
const SERIES_GAP_S: f64 = 1.2;

/// Which controllers a trouble strikes; carried out when it is due.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The one that leads then, and so many of the others.
    LeaderAnd(usize),
    /// The controller of this number.
    Controller(usize),
    /// What the first sends to the second.
    Link(usize, usize),
    /// The zone of this number.
    Zone(usize),
    /// So many machines.
    Machines(usize),
    /// Everything of its kind.
    All,
}

/// A trouble of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Trouble {
    /// Its kind.
    pub kind: TroubleKind,
    /// What it strikes.
    pub target: Target,
    /// When it begins, in seconds after the first arrival.
    pub at_s: f64,
    /// How long it lasts.
    pub for_s: f64,
}

impl Trouble {
    /// When it begins, after the first arrival.
    pub fn at(&self) -> Duration {
        Duration::from_secs_f64(self.at_s)
    }

    /// When it ends.
    pub fn until(&self) -> Duration {
        Duration::from_secs_f64(self.at_s + self.for_s)
    }
}

impl Display for Trouble {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Trouble {
            kind,
            target,
            at_s,
            for_s,
        } = self;
        write!(f, "{at_s:7.2} s for {for_s:5.2} s  {kind:?} {target:?}")
    }
}

/// What a schedule is drawn for.
#[derive(Clone, Debug)]
pub struct Frame {
    /// Controllers.
    pub controllers: usize,
    /// Zones.
    pub zones: usize,
    /// All troubles have ended by then, in seconds after the first arrival.
    pub length_s: f64,
    /// The kinds that are drawn.
    pub kinds: Vec<TroubleKind>,
}

/// The troubles of a seed, in the order in which they begin.
pub fn draw(seed: u64, frame: &Frame) -> Vec<Trouble> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut troubles = vec![];
    let mut at_s = FIRST_AT_S;
    while let Some(kind) = frame.kinds.choose(&mut rng) {
        let lasts = for_how_long(*kind, &mut rng);
        if at_s + lasts > frame.length_s {
            break;
        }
        for trouble in begin(*kind, at_s, lasts, frame, &mut rng) {
            if trouble.at_s + trouble.for_s <= frame.length_s {
                troubles.push(trouble);
            }
        }
        at_s += rng.random_range(GAP_S);
    }
    troubles.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    troubles
}

fn for_how_long(kind: TroubleKind, rng: &mut StdRng) -> f64 {
    match kind {
        TroubleKind::Restart => rng.random_range(BACK_AFTER_S),
        TroubleKind::AllAway => rng.random_range(AWAY_S),
        TroubleKind::Pause => rng.random_range(PAUSE_S),
        TroubleKind::MachinesEnd => 0.0,
        _ => rng.random_range(LASTS_S),
    }
}

/// A trouble, or the troubles of a series.
fn begin(
    kind: TroubleKind,
    at_s: f64,
    for_s: f64,
    frame: &Frame,
    rng: &mut StdRng,
) -> Vec<Trouble> {
    let target = target_of(kind, frame, rng);
    let in_series = kind == TroubleKind::Restart && rng.random_bool(0.3);
    let times = match in_series {
        true => rng.random_range(SERIES),
        false => 1,
    };
    let one = |n: usize| Trouble {
        kind,
        target,
        at_s: at_s + n as f64 * SERIES_GAP_S,
        for_s,
    };
    (0..times).map(one).collect()
}

fn target_of(kind: TroubleKind, frame: &Frame, rng: &mut StdRng) -> Target {
    let any = |rng: &mut StdRng| rng.random_range(0..frame.controllers);
    match kind {
        TroubleKind::Restart => Target::LeaderAnd(any(rng)),
        TroubleKind::Pause | TroubleKind::StateRefusesOne if rng.random_bool(0.6) => {
            Target::LeaderAnd(0)
        }
        TroubleKind::Pause | TroubleKind::StateRefusesOne => Target::Controller(any(rng)),
        TroubleKind::LinkHeld => {
            let from = any(rng);
            let to = (from + 1 + rng.random_range(0..frame.controllers - 1)) % frame.controllers;
            Target::Link(from, to)
        }
        TroubleKind::ZoneCut => Target::Zone(rng.random_range(0..frame.zones)),
        TroubleKind::MachinesEnd => Target::Machines(rng.random_range(MACHINES)),
        _ => Target::All,
    }
}
