//! The state of each zone, derived from timed evidence.

use crate::Limits;
use hookworks_base::ids::Zone;
use hookworks_base::time::{Span, Time};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// The state of a zone as seen by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Its machines are heard.
    Well,
    /// Silent, but too briefly to act on: it gets no new tasks.
    Doubt,
    /// Silent for so long that its tasks may have to restart elsewhere.
    Lost,
    /// Heard again; reopened gradually.
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

    /// Whether the zone is in doubt or lost.
    pub fn silent(self) -> bool {
        matches!(self, State::Doubt | State::Lost)
    }
}

/// What is known about a zone at one time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Machines that were up when last heard.
    pub machines: u32,
    /// Of these, those that have reported to this leader.
    pub reported: u32,
    /// Of these, those that have certainly missed a heartbeat.
    pub overdue: u32,
    /// The earliest and the latest time that an overdue machine was last heard.
    pub overdue_last_heard: Option<(Time, Time)>,
    /// Machines heard since the current outage began
    /// ([`Zones::last_heard_before_outage`]).
    pub returned: u32,
    /// When any machine there last reported to this leader.
    pub last_heard: Option<Time>,
    /// Controllers in the zone, except the leader.
    pub controllers: u32,
    /// Of these, those unreachable for the leader.
    pub unreachable_controllers: u32,
    /// Direct calls to its machines that failed since the last update.
    pub failed_calls: u32,
    /// Machines rented there that have exceeded their boot timeout.
    pub overdue_boots: u32,
}

/// A change of a zone's state.
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

/// The state of a zone for operators.
#[derive(Clone, Debug, Serialize)]
pub struct View {
    /// The zone.
    pub zone: Zone,
    /// Its state.
    pub state: State,
    /// Time in this state, in seconds.
    pub since_s: f64,
    /// Time since it was last heard, in seconds; none unless it is in doubt or lost.
    pub silent_s: Option<f64>,
    /// The share of its machines that may take new tasks.
    pub open: f64,
    /// Outages that are remembered.
    pub troubles: usize,
    /// Machines that were up when last heard.
    pub machines: u32,
    /// Of these, those that have missed a heartbeat.
    pub overdue: u32,
    /// Controllers in the zone, except the leader.
    pub controllers: u32,
    /// Of these, those unreachable for the leader.
    pub controllers_away: u32,
    /// Direct calls to its machines that failed recently.
    pub calls_unanswered: u32,
    /// Machines rented there that have exceeded their boot timeout.
    pub rentals_overdue: u32,
}

/// What is kept of a zone between updates.
struct ZoneRecord {
    state: State,
    since: Time,
    /// When it was last heard before the current or latest outage.
    last_heard_before_outage: Time,
    returned_at: Time,
    /// None of its machines has reported to this leader, while most of another zone
    /// have.
    unheard_since_start: bool,
    /// The time over which it is reopened.
    recovery_ramp: Span,
    recent_outages: VecDeque<Time>,
    evidence: Evidence,
}

/// The states of all zones with evidence.
pub struct Zones {
    limits: Limits,
    began: Time,
    all: BTreeMap<Zone, ZoneRecord>,
    /// Zones examined by all updates so far, for tests.
    steps: u64,
}

/// A lost zone without any machines left is tried again after this time.
const EMPTY_ZONE_RETRY: Span = Span(30_000_000);
/// Margin on the share of machines that must be heard again to end an outage.
const HEARD_MARGIN_SHARE: f64 = 0.05;
/// The share of a returning zone that is open at once.
const MIN_OPEN_SHARE: f64 = 0.02;

impl Zones {
    /// Creates an empty set of zones. State is never taken over from an earlier leader,
    /// only rebuilt from evidence since `began`.
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

    /// Applies new evidence for all zones and returns the state changes. Must be called
    /// only while the leadership is proven: a partitioned leader hears nothing either.
    pub fn update(&mut self, now: Time, evidence_by_zone: BTreeMap<Zone, Evidence>) -> Vec<Change> {
        let limits = self.limits;
        for (zone, evidence) in evidence_by_zone {
            self.steps += 1;
            let record = self.all.entry(zone).or_insert_with(|| ZoneRecord {
                state: State::Well,
                since: self.began,
                last_heard_before_outage: self.began,
                returned_at: self.began,
                unheard_since_start: false,
                recovery_ramp: Span::ZERO,
                recent_outages: VecDeque::new(),
                evidence: Evidence::default(),
            });
            record.evidence = evidence;
        }
        // If no zone is heard, the fault is the leader's own.
        let began = self.began;
        let heard = |record: &ZoneRecord| {
            record
                .evidence
                .last_heard
                .is_some_and(|t| now - t < limits.quiet_after)
        };
        let heard_zones = self.all.values().filter(|record| heard(record)).count();
        // Detects that a new leader has heard most machines of another zone but none of
        // this one.
        let mostly_reported =
            |record: &ZoneRecord| 2 * record.evidence.reported >= record.evidence.machines.max(1);
        let reported_zones = self
            .all
            .values()
            .filter(|record| mostly_reported(record))
            .count();
        let mut changes = vec![];
        for (zone, record) in &mut self.all {
            self.steps += 1;
            let others_heard = heard_zones > heard(record) as usize;
            while record
                .recent_outages
                .front()
                .is_some_and(|t| now - *t > limits.outage_memory)
            {
                record.recent_outages.pop_front();
            }
            record.unheard_since_start = record.evidence.last_heard.is_none() && reported_zones > 0;
            let Some(to) = record.next_state(now, began, others_heard, &limits) else {
                continue;
            };
            changes.push(Change {
                zone: zone.clone(),
                from: record.state,
                to,
                previous_duration: now - record.since,
                evidence: record.evidence.clone(),
            });
            record.change_state(to, now, began, &limits);
        }
        changes
    }

    /// The state of a zone; a zone without evidence counts as well.
    pub fn state(&self, zone: &Zone) -> State {
        self.all
            .get(zone)
            .map_or(State::Well, |record| record.state)
    }

    /// The share of the zone's machines that may take new tasks.
    pub fn usable_share(&self, now: Time, zone: &Zone) -> f64 {
        self.all.get(zone).map_or(1.0, |record| record.open(now))
    }

    /// When the zone was last heard before its current outage; none if it is well.
    /// Machines heard since then have returned.
    pub fn last_heard_before_outage(&self, zone: &Zone) -> Option<Time> {
        let record = self.all.get(zone)?;
        (record.state != State::Well).then_some(record.last_heard_before_outage)
    }

    /// How long nothing has been heard from the zone; zero unless it is in doubt or
    /// lost.
    pub fn silent_for(&self, now: Time, zone: &Zone) -> Span {
        let record = self.all.get(zone).filter(|record| record.state.silent());
        record.map_or(Span::ZERO, |record| now - record.last_heard_before_outage)
    }

    /// When the zone last returned from an outage; its machines get time to report from
    /// then on.
    pub fn returned_at(&self, zone: &Zone) -> Time {
        self.all
            .get(zone)
            .map_or(self.began, |record| record.returned_at)
    }

    /// Whether any zone is not well.
    pub fn any_unhealthy(&self) -> bool {
        self.all.values().any(|record| record.state != State::Well)
    }

    /// The states of all zones for operators.
    pub fn views(&self, now: Time) -> Vec<View> {
        let view_of = |(name, record): (&Zone, &ZoneRecord)| View {
            zone: name.clone(),
            state: record.state,
            since_s: (now - record.since).as_secs(),
            silent_s: (record.state.silent())
                .then(|| (now - record.last_heard_before_outage).as_secs()),
            open: record.open(now),
            troubles: record.recent_outages.len(),
            machines: record.evidence.machines,
            overdue: record.evidence.overdue,
            controllers: record.evidence.controllers,
            controllers_away: record.evidence.unreachable_controllers,
            calls_unanswered: record.evidence.failed_calls,
            rentals_overdue: record.evidence.overdue_boots,
        };
        self.all.iter().map(view_of).collect()
    }

    /// The cost of all updates so far, in zones examined.
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

    /// Whether the zone is as silent as one that is cut off.
    fn all_silent(&self, now: Time, began: Time, limits: &Limits) -> bool {
        let evidence = &self.evidence;
        // Unreachable controllers or failed direct calls confirm an outage sooner.
        let confirmed = evidence.controllers > 0
            && evidence.unreachable_controllers == evidence.controllers
            || evidence.failed_calls >= limits.min_machines;
        let required_share = limits.overdue_share / if confirmed { 4.0 } else { 1.0 };
        let quiet = now - self.last_heard_or(began) >= limits.quiet_after;
        let enough_overdue =
            evidence.machines >= limits.min_machines && evidence.overdue >= limits.min_machines;
        if enough_overdue && quiet && self.overdue_at_least(required_share) {
            return true;
        }
        if self.unheard_since_start
            && quiet
            && confirmed
            && evidence.machines >= limits.min_machines
        {
            return true;
        }
        // No rented machine there finishes booting, and there are too few others.
        let nothing_else = evidence.machines < limits.min_machines
            && now - self.last_heard_or(began) > limits.retain_for;
        nothing_else && evidence.overdue_boots >= limits.min_machines
    }

    /// Whether nearly all machines fell silent at about the same time, unlike single
    /// machines that hang. Machines of a zone that has just returned get time to
    /// report.
    fn mostly_silent(&self, now: Time, limits: &Limits) -> bool {
        let window = limits.overdue_after() + limits.quiet_after;
        let together = |(first, last): (Time, Time)| last - first <= window;
        let evidence = &self.evidence;
        let settled = now - self.returned_at > window + self.recovery_ramp;
        let enough_overdue =
            evidence.machines >= limits.min_machines && evidence.overdue >= limits.min_machines;
        settled
            && enough_overdue
            && self.overdue_at_least(limits.partial_outage_share)
            && evidence.overdue_last_heard.is_some_and(together)
    }

    fn next_state(
        &self,
        now: Time,
        began: Time,
        others_heard: bool,
        limits: &Limits,
    ) -> Option<State> {
        let evidence = &self.evidence;
        // More machines than stay heard in a zone that is in doubt because most of it
        // is silent.
        let min_heard =
            (1.0 - limits.partial_outage_share + HEARD_MARGIN_SHARE) * evidence.machines as f64;
        let heard_again = evidence.machines > 0 && evidence.returned as f64 >= min_heard;
        let falls_silent =
            || self.all_silent(now, began, limits) || self.mostly_silent(now, limits);
        match self.state {
            State::Well => (others_heard && falls_silent()).then_some(State::Doubt),
            // A first doubt that proves wrong is not followed by a gradual reopening.
            State::Doubt if heard_again && self.recent_outages.is_empty() => Some(State::Well),
            State::Doubt | State::Lost if heard_again => Some(State::Returning),
            State::Doubt => {
                (others_heard && now - self.since >= limits.lost_after).then_some(State::Lost)
            }
            State::Lost => {
                // All its machines were released: only its controllers or a new machine
                // can show that it is back.
                let reached = evidence.controllers > 0
                    && evidence.unreachable_controllers == 0
                    && now - self.since >= limits.recovery_ramp;
                let retry_due = now - self.since >= EMPTY_ZONE_RETRY;
                (evidence.machines == 0 && (reached || retry_due)).then_some(State::Returning)
            }
            // Machines that have not returned yet are no new outage; silence of those
            // that had returned is.
            State::Returning
                if others_heard && evidence.machines > 0 && self.all_silent(now, began, limits) =>
            {
                Some(State::Doubt)
            }
            State::Returning => (now - self.since >= self.recovery_ramp).then_some(State::Well),
        }
    }

    fn change_state(&mut self, to: State, now: Time, began: Time, limits: &Limits) {
        // An outage is counted when a doubt ends or a loss begins.
        let counts = to == State::Lost || self.state == State::Doubt;
        let outages_before = self.recent_outages.len() as u32;
        match to {
            State::Doubt => {
                self.last_heard_before_outage = self.last_heard_or(began);
            }
            State::Lost => {}
            State::Well | State::Returning if self.state == State::Returning => {}
            State::Well | State::Returning => {
                self.returned_at = now;
                let doublings = outages_before.saturating_sub(1).min(16);
                self.recovery_ramp =
                    Span(limits.recovery_ramp.0 << doublings).min(limits.max_recovery_ramp);
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
