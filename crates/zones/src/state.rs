//! The state of each zone, from evidence with its time.

use crate::Limits;
use hookworks_base::ids::Zone;
use hookworks_base::time::{Span, Time};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// How a zone is, as far as the leader can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Heard.
    Well,
    /// Silent, for too short a time to act on: it gets nothing new.
    Doubt,
    /// Silent for long enough that what it holds may have to go elsewhere.
    Lost,
    /// Heard again; used by degrees.
    Returning,
}

impl State {
    /// Its name in the log and the overview.
    pub fn as_str(self) -> &'static str {
        match self {
            State::Well => "well",
            State::Doubt => "doubt",
            State::Lost => "lost",
            State::Returning => "returning",
        }
    }

    /// Nothing is heard from there.
    pub fn silent(self) -> bool {
        matches!(self, State::Doubt | State::Lost)
    }
}

/// What is known of a zone at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Machines that were up when last heard of.
    pub machines: u32,
    /// Of these, those that were heard in this term.
    pub reported: u32,
    /// And those that have missed a report for certain.
    pub overdue: u32,
    /// The first and the last that the overdue ones were heard.
    pub overdue_last_heard: Option<(Time, Time)>,
    /// Those heard since the zone's present trouble began ([`Zones::gone_since`]).
    pub returned: u32,
    /// When anything there was heard last, in this term.
    pub last_heard: Option<Time>,
    /// Controllers there, besides the leader.
    pub controllers: u32,
    /// Of these, those that the leader can't reach.
    pub unreachable_controllers: u32,
    /// Direct calls to machines there that failed since the last look.
    pub failed_calls: u32,
    /// Rentals there that should have come up long ago.
    pub overdue_boots: u32,
}

/// A zone has another state.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The zone.
    pub zone: Zone,
    /// Its state before.
    pub from: State,
    /// Its state now.
    pub to: State,
    /// How long the state before had lasted.
    pub previous_duration: Span,
    /// The evidence that led to it.
    pub evidence: Evidence,
}

/// A zone as operators see it.
#[derive(Clone, Debug, Serialize)]
pub struct View {
    /// The zone.
    pub zone: Zone,
    /// Its state.
    pub state: State,
    /// For how long it has had that state, in seconds.
    pub since_s: f64,
    /// Not heard for so long; none while it is heard.
    pub silent_s: Option<f64>,
    /// The share of its machines that may take new work.
    pub open: f64,
    /// Troubles that are remembered.
    pub troubles: usize,
    /// Machines that were up when last heard.
    pub machines: u32,
    /// Of these, those that have missed a report.
    pub overdue: u32,
    /// Controllers there, besides the leader.
    pub controllers: u32,
    /// Of these, those that the leader can't reach.
    pub controllers_away: u32,
    /// Direct calls to machines there that failed lately.
    pub calls_unanswered: u32,
    /// Rentals there that should have come up long ago.
    pub rentals_overdue: u32,
}

struct ZoneRecord {
    state: State,
    since: Time,
    /// The last that was heard before the trouble.
    last_heard_before_outage: Time,
    returned_at: Time,
    /// Not one of it has been heard in this term, and most of another zone has.
    unheard_since_start: bool,
    /// It takes so long to come back in full.
    recovery_ramp: Span,
    recent_outages: VecDeque<Time>,
    evidence: Evidence,
}

/// All zones that there is evidence of.
pub struct Zones {
    limits: Limits,
    began: Time,
    all: BTreeMap<Zone, ZoneRecord>,
    /// Steps of all looks so far, for tests.
    steps: u64,
}

/// With none left to be heard, a lost zone is tried again after so long.
const EMPTY_ZONE_RETRY: Span = Span(30_000_000);
/// What must be heard of a zone beyond the share that may be silent.
const HEARD_MARGIN_SHARE: f64 = 0.05;
/// The share of a returning zone that is used at once.
const MIN_OPEN_SHARE: f64 = 0.02;

impl Zones {
    /// Nothing is known before this moment: the state is never taken over from
    /// the past, only rebuilt from evidence.
    pub fn new(limits: Limits, began: Time) -> Zones {
        Zones {
            limits,
            began,
            all: BTreeMap::new(),
            steps: 0,
        }
    }

    /// The limits in force.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Takes new evidence of all zones; answers what has changed by it. To be
    /// called only while the leadership is proven: a leader that is cut off
    /// itself hears nothing either.
    pub fn update(&mut self, now: Time, seen: BTreeMap<Zone, Evidence>) -> Vec<Change> {
        let l = self.limits;
        for (z, e) in seen {
            self.steps += 1;
            let one = self.all.entry(z).or_insert_with(|| ZoneRecord {
                state: State::Well,
                since: self.began,
                last_heard_before_outage: self.began,
                returned_at: self.began,
                unheard_since_start: false,
                recovery_ramp: Span::ZERO,
                recent_outages: VecDeque::new(),
                evidence: Evidence::default(),
            });
            one.evidence = e;
        }
        // A leader that hears nobody has itself to blame, not all zones.
        let began = self.began;
        let heard = |o: &ZoneRecord| {
            o.evidence
                .last_heard
                .is_some_and(|t| now - t < l.quiet_after)
        };
        let heard_zones = self.all.values().filter(|o| heard(o)).count();
        // A new leader has heard most machines of the others, and none of one.
        let met = |o: &ZoneRecord| 2 * o.evidence.reported >= o.evidence.machines.max(1);
        let met_zones = self.all.values().filter(|o| met(o)).count();
        let mut changes = vec![];
        for (z, o) in &mut self.all {
            self.steps += 1;
            let others = heard_zones > heard(o) as usize;
            while o
                .recent_outages
                .front()
                .is_some_and(|t| now - *t > l.outage_memory)
            {
                o.recent_outages.pop_front();
            }
            o.unheard_since_start = o.evidence.last_heard.is_none() && met_zones > 0;
            let Some(to) = o.next_state(now, began, others, &l) else {
                continue;
            };
            changes.push(Change {
                zone: z.clone(),
                from: o.state,
                to,
                previous_duration: now - o.since,
                evidence: o.evidence.clone(),
            });
            o.change_state(to, now, began, &l);
        }
        changes
    }

    /// The state of a zone; one without evidence is well.
    pub fn state(&self, z: &Zone) -> State {
        self.all.get(z).map_or(State::Well, |o| o.state)
    }

    /// What of the zone may take new work: machines up to this share of it.
    pub fn usable_share(&self, now: Time, z: &Zone) -> f64 {
        self.all.get(z).map_or(1.0, |o| o.open(now))
    }

    /// When the zone was last heard before its present trouble; none if it has
    /// none. Whatever has been heard since is back.
    pub fn last_heard_before_outage(&self, z: &Zone) -> Option<Time> {
        let o = self.all.get(z)?;
        (o.state != State::Well).then_some(o.last_heard_before_outage)
    }

    /// For how long nothing has been heard from there; zero if it is heard.
    pub fn silent_for(&self, now: Time, z: &Zone) -> Span {
        let o = self.all.get(z).filter(|o| o.state.silent());
        o.map_or(Span::ZERO, |o| now - o.last_heard_before_outage)
    }

    /// When the zone last came back: its machines are given time from then on.
    pub fn returned_at(&self, z: &Zone) -> Time {
        self.all.get(z).map_or(self.began, |o| o.returned_at)
    }

    /// Some zone is not well.
    pub fn any_unhealthy(&self) -> bool {
        self.all.values().any(|o| o.state != State::Well)
    }

    /// All zones as operators see them.
    pub fn views(&self, now: Time) -> Vec<View> {
        let one = |(z, o): (&Zone, &ZoneRecord)| View {
            zone: z.clone(),
            state: o.state,
            since_s: (now - o.since).as_secs(),
            silent_s: (o.state.silent()).then(|| (now - o.last_heard_before_outage).as_secs()),
            open: o.open(now),
            troubles: o.recent_outages.len(),
            machines: o.evidence.machines,
            overdue: o.evidence.overdue,
            controllers: o.evidence.controllers,
            controllers_away: o.evidence.unreachable_controllers,
            calls_unanswered: o.evidence.failed_calls,
            rentals_overdue: o.evidence.overdue_boots,
        };
        self.all.iter().map(one).collect()
    }

    /// Steps taken so far: zones looked at, not machines or tasks.
    pub fn steps(&self) -> u64 {
        self.steps
    }
}

impl ZoneRecord {
    fn last_heard_or(&self, began: Time) -> Time {
        self.evidence.last_heard.unwrap_or(began)
    }

    fn overdue_at_least(&self, of: f64) -> bool {
        self.evidence.overdue as f64 >= of * self.evidence.machines as f64
    }

    /// As silent as a zone that is cut off.
    fn all_silent(&self, now: Time, began: Time, l: &Limits) -> bool {
        let e = &self.evidence;
        // What its own controllers and direct calls say makes it sure sooner.
        let told = e.controllers > 0 && e.unreachable_controllers == e.controllers
            || e.failed_calls >= l.min_machines;
        let asked = l.overdue_share / if told { 4.0 } else { 1.0 };
        let quiet = now - self.last_heard_or(began) >= l.quiet_after;
        let several = e.machines >= l.min_machines && e.overdue >= l.min_machines;
        if several && quiet && self.overdue_at_least(asked) {
            return true;
        }
        if self.unheard_since_start && quiet && told && e.machines >= l.min_machines {
            return true;
        }
        // Nothing that was rented there comes up, and nothing else is there.
        let nothing_else =
            e.machines < l.min_machines && now - self.last_heard_or(began) > l.retain_for;
        nothing_else && e.overdue_boots >= l.min_machines
    }

    /// Nearly all of it, and at about the same time: not machines that hang
    /// here and there. Those that have just come back get time to report.
    fn mostly_silent(&self, now: Time, l: &Limits) -> bool {
        let window = l.overdue_after() + l.quiet_after;
        let together = |(a, b): (Time, Time)| b - a <= window;
        let e = &self.evidence;
        let settled = now - self.returned_at > window + self.recovery_ramp;
        let several = e.machines >= l.min_machines && e.overdue >= l.min_machines;
        settled
            && several
            && self.overdue_at_least(l.partial_outage_share)
            && e.overdue_last_heard.is_some_and(together)
    }

    fn next_state(&self, now: Time, began: Time, others: bool, l: &Limits) -> Option<State> {
        let e = &self.evidence;
        // More than what goes on being heard of a zone that is doubted for the
        // silence of most of it.
        let rest = (1.0 - l.partial_outage_share + HEARD_MARGIN_SHARE) * e.machines as f64;
        let heard_again = e.machines > 0 && e.returned as f64 >= rest;
        let falls = || self.all_silent(now, began, l) || self.mostly_silent(now, l);
        match self.state {
            State::Well => (others && falls()).then_some(State::Doubt),
            // The first doubt that proves wrong costs nothing.
            State::Doubt if heard_again && self.recent_outages.is_empty() => Some(State::Well),
            State::Doubt | State::Lost if heard_again => Some(State::Returning),
            State::Doubt => (others && now - self.since >= l.lost_after).then_some(State::Lost),
            State::Lost => {
                // Its machines were given back: only its controllers, or a new
                // machine, can tell that it is there again.
                let reached = e.controllers > 0
                    && e.unreachable_controllers == 0
                    && now - self.since >= l.recovery_ramp;
                let try_it = now - self.since >= EMPTY_ZONE_RETRY;
                (e.machines == 0 && (reached || try_it)).then_some(State::Returning)
            }
            // Those that have not come back yet are no new trouble; silence of
            // those that had is.
            State::Returning if others && e.machines > 0 && self.all_silent(now, began, l) => {
                Some(State::Doubt)
            }
            State::Returning => (now - self.since >= self.recovery_ramp).then_some(State::Well),
        }
    }

    fn change_state(&mut self, to: State, now: Time, began: Time, l: &Limits) {
        // A doubt that ends counts once, and a loss when it begins.
        let counts = to == State::Lost || self.state == State::Doubt;
        let before = self.recent_outages.len() as u32;
        match to {
            State::Doubt => {
                self.last_heard_before_outage = self.last_heard_or(began);
            }
            State::Lost => {}
            State::Well | State::Returning if self.state == State::Returning => {}
            State::Well | State::Returning => {
                self.returned_at = now;
                let doublings = before.saturating_sub(1).min(16);
                self.recovery_ramp = Span(l.recovery_ramp.0 << doublings).min(l.max_recovery_ramp);
                if to == State::Well {
                    self.recovery_ramp = Span::ZERO;
                }
            }
        }
        if counts {
            self.recent_outages.push_back(now);
        }
        (self.state, self.since) = (to, now);
    }

    fn open(&self, now: Time) -> f64 {
        match self.state {
            State::Well => 1.0,
            State::Doubt | State::Lost => 0.0,
            State::Returning => {
                let ramp = self.recovery_ramp.as_secs().max(1e-3);
                ((now - self.since).as_secs() / ramp).clamp(MIN_OPEN_SHARE, 1.0)
            }
        }
    }
}
