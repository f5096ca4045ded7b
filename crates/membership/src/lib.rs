//! What a controller knows of the others: whom it hears, whom they hear, which
//! process stands behind each label, and who leads.
//!
//! Evidence goes in with its time: a ping and the link that it came by, the end
//! of a link, what the state service names as the leader. Questions are answered
//! from it. There is no I/O, no clock and no thread here.
//!
//! A label may be taken up by a new process a fraction of a second after the
//! earlier one has ended. Each process therefore says which one it is
//! ([`Instance`]); with a new one all that was known of the label is void: its
//! links, the leader that it spoke of, the term that it led. What still arrives
//! from a process that has been replaced is ignored, in whatever order.
//!
//! Nothing here proves anything: who leads is decided in the state service, and
//! a controller that isn't heard may well be alive.

use hookworks_base::ids::{Epoch, Instance, Label};
use hookworks_base::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// Instances of a label that are remembered as replaced.
const REPLACED: usize = 16;

/// A connection on which pings come in; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// What a controller says of itself in a ping.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// None of versions that don't tell.
    pub instance: Option<Instance>,
    /// Whom it hears.
    pub hears: Vec<Label>,
    /// Whom it takes for the leader.
    pub leader: Option<(Label, Epoch)>,
    /// How many workers report to it, and how many it can hold.
    pub workers: u32,
    pub workers_most: Option<u32>,
    /// What requests it understands.
    pub speaks: u32,
}

/// What a ping has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// Nothing that others would want to know at once.
    Same,
    /// Heard for the first time, or again after a silence.
    Came,
    /// Another process has taken up the label.
    Restarted,
    /// From a process that has been replaced; not taken.
    Late,
}

#[derive(Clone, Debug)]
struct Heard {
    at: Time,
    by: LinkId,
    told: Told,
}

/// All that is known of the other controllers.
#[derive(Clone, Debug)]
pub struct Members {
    me: Label,
    others: Vec<Label>,
    /// Not heard for longer, a controller counts as out of touch.
    down_after: Span,
    heard: BTreeMap<Label, Heard>,
    replaced: BTreeMap<Label, VecDeque<Instance>>,
    /// The latest process of each label; outlives the silence between two.
    latest: BTreeMap<Label, Instance>,
    /// Terms up to this one were led by a process that has been replaced.
    over: BTreeMap<Label, Epoch>,
    /// What this controller itself believes.
    leader: Option<(Label, Epoch)>,
}

impl Members {
    pub fn new(me: Label, others: Vec<Label>, down_after: Span) -> Members {
        Members {
            me,
            others,
            down_after,
            heard: BTreeMap::new(),
            replaced: BTreeMap::new(),
            latest: BTreeMap::new(),
            over: BTreeMap::new(),
            leader: None,
        }
    }

    pub fn others(&self) -> impl Iterator<Item = &Label> {
        self.others.iter()
    }

    fn fresh(&self, now: Time, l: &Label) -> Option<&Told> {
        let h = self.heard.get(l)?;
        (now - h.at < self.down_after).then_some(&h.told)
    }

    /// A ping has come.
    pub fn hear(&mut self, now: Time, from: &Label, by: LinkId, told: Told) -> News {
        let replaced = self.replaced.entry(from.clone()).or_default();
        if told.instance.is_some_and(|i| replaced.contains(&i)) {
            return News::Late;
        }
        let before = self.latest.get(from).copied();
        let restarted = match (before, told.instance) {
            // An earlier version on a link of its own may be the same process
            // as ever: only one that has told its instance is known to differ.
            (Some(b), now) => now != Some(b),
            (None, _) => false,
        };
        if restarted {
            replaced.extend(before);
            while replaced.len() > REPLACED {
                replaced.pop_front();
            }
            self.end_term_of(from);
        }
        match told.instance {
            Some(i) => self.latest.insert(from.clone(), i),
            None => self.latest.remove(from),
        };
        let known = self.fresh(now, from).is_some();
        self.heard.insert(from.clone(), Heard { at: now, by, told });
        match (restarted, known) {
            (true, _) => News::Restarted,
            (false, false) => News::Came,
            (false, true) => News::Same,
        }
    }

    /// Whatever this label led is over: its process has been replaced.
    fn end_term_of(&mut self, label: &Label) {
        let told = self.heard.values().filter_map(|h| h.told.leader.as_ref());
        let led = told
            .chain(&self.leader)
            .filter(|l| l.0 == *label)
            .map(|l| l.1)
            .max();
        if let Some(e) = led {
            let over = self.over.entry(label.clone()).or_default();
            *over = e.max(*over);
        }
    }

    /// A link has ended. Answers who was last heard by it, and is not any more.
    pub fn link_ended(&mut self, by: LinkId) -> Option<Label> {
        let label = self.heard.iter().find(|(_, h)| h.by == by)?.0.clone();
        self.heard.remove(&label);
        Some(label)
    }

    /// What this controller itself believes; true if that is new.
    pub fn set_leader(&mut self, l: Option<(Label, Epoch)>) -> bool {
        let new = self.leader != l;
        self.leader = l;
        new
    }

    /// What to tell the others: who leads, as far as this controller knows.
    pub fn own_leader(&self) -> Option<(Label, Epoch)> {
        self.leader.clone().filter(|l| self.may_lead(l))
    }

    fn may_lead(&self, (label, epoch): &(Label, Epoch)) -> bool {
        self.over.get(label).is_none_or(|e| epoch > e)
    }

    /// The latest leader that any controller in touch speaks of.
    pub fn best_leader(&self, now: Time) -> Option<(Label, Epoch)> {
        let told = self.others.iter().filter_map(|l| self.fresh(now, l));
        told.filter_map(|t| t.leader.clone())
            .chain(self.leader.clone())
            .filter(|l| self.may_lead(l))
            .max_by_key(|(_, e)| *e)
    }

    /// Whom this controller hears.
    pub fn hears(&self, now: Time) -> impl Iterator<Item = &Label> {
        let in_touch = move |l: &&Label| self.fresh(now, l).is_some();
        self.others.iter().filter(in_touch)
    }

    /// Each hears the other.
    pub fn both_ways(&self, now: Time, l: &Label) -> bool {
        let told = self.fresh(now, l);
        told.is_some_and(|t| t.hears.contains(&self.me))
    }

    /// Any other controller can be talked to.
    pub fn any(&self, now: Time) -> bool {
        self.others.iter().any(|l| self.both_ways(now, l))
    }

    /// Controllers that can't be talked to directly.
    pub fn out_of_reach(&self, now: Time) -> Vec<Label> {
        let away = |l: &&Label| !self.both_ways(now, l);
        self.others.iter().filter(away).cloned().collect()
    }

    /// The neighbour by way of which `to` can be reached, if any.
    pub fn route(&self, now: Time, to: &Label) -> Option<&Label> {
        let direct = self.others.iter().find(|l| *l == to);
        if let Some(l) = direct.filter(|l| self.both_ways(now, l)) {
            return Some(l);
        }
        let knows = |l: &Label| self.fresh(now, l).is_some_and(|t| t.hears.contains(to));
        self.others
            .iter()
            .find(|l| *l != to && self.both_ways(now, l) && knows(l))
    }

    /// What a controller in touch last said of itself.
    pub fn told(&self, now: Time, l: &Label) -> Option<&Told> {
        self.fresh(now, l).filter(|_| self.both_ways(now, l))
    }

    /// Whether that controller understands what needs this, as of its last word.
    pub fn speaks(&self, to: &Label, needs: u32) -> bool {
        needs == 0 || self.heard.get(to).is_some_and(|h| h.told.speaks >= needs)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const DOWN: Span = Span(1_700_000);

    fn label(s: &str) -> Label {
        Label::from(s)
    }

    fn members() -> Members {
        Members::new(label("a"), vec![label("b"), label("c")], DOWN)
    }

    fn told(instance: u64, leader: Option<(&str, u64)>, hears: &[&str]) -> Told {
        Told {
            instance: Some(Instance(instance)),
            leader: leader.map(|(l, e)| (label(l), Epoch(e))),
            hears: hears.iter().map(|l| label(l)).collect(),
            ..Told::default()
        }
    }

    fn at(ms: u64) -> Time {
        Time(1_000_000_000 + ms * 1000)
    }

    /// Requests went on to the next process of the leader's label, which leads
    /// nothing, for as long as somebody spoke of the term of the one before.
    #[test]
    fn a_leader_that_was_restarted_leads_no_more_whoever_says_so() {
        let mut m = members();
        m.set_leader(Some((label("b"), Epoch(4))));
        m.hear(
            at(0),
            &label("b"),
            LinkId(1),
            told(1, Some(("b", 4)), &["a"]),
        );
        m.hear(
            at(0),
            &label("c"),
            LinkId(2),
            told(1, Some(("b", 4)), &["a", "b"]),
        );
        assert_eq!(m.best_leader(at(1)), Some((label("b"), Epoch(4))));
        let news = m.hear(at(300), &label("b"), LinkId(3), told(2, None, &[]));
        assert_eq!(news, News::Restarted);
        assert_eq!((m.best_leader(at(301)), m.own_leader()), (None, None));
        // Its next term counts, from whomever it is heard.
        m.hear(
            at(400),
            &label("c"),
            LinkId(2),
            told(1, Some(("b", 5)), &["a", "b"]),
        );
        assert_eq!(m.best_leader(at(401)), Some((label("b"), Epoch(5))));
    }

    /// What was on its way when a process ended arrives after its successor's
    /// first word, on a connection of its own.
    #[test]
    fn a_word_of_a_process_that_was_replaced_is_not_taken() {
        let mut m = members();
        m.hear(
            at(0),
            &label("b"),
            LinkId(1),
            told(1, Some(("b", 4)), &["a"]),
        );
        m.hear(at(300), &label("b"), LinkId(2), told(2, None, &["a"]));
        let late = m.hear(
            at(310),
            &label("b"),
            LinkId(1),
            told(1, Some(("b", 4)), &["a"]),
        );
        assert_eq!((late, m.best_leader(at(311))), (News::Late, None));
        // Nor does the end of its link say anything of its successor.
        assert_eq!(m.link_ended(LinkId(1)), None);
        assert!(m.both_ways(at(312), &label("b")));
    }

    /// A process may end and be back before its silence is noticed.
    #[test]
    fn the_end_of_a_link_is_the_end_of_what_came_by_it() {
        let mut m = members();
        let first = m.hear(
            at(0),
            &label("b"),
            LinkId(1),
            told(1, Some(("b", 4)), &["a"]),
        );
        assert_eq!(first, News::Came);
        assert_eq!(m.link_ended(LinkId(1)), Some(label("b")));
        assert!(!m.any(at(1)) && m.best_leader(at(1)).is_none());
        assert_eq!(m.out_of_reach(at(1)), [label("b"), label("c")]);
        // The same process on a new link, as after a reset, goes on.
        let again = m.hear(
            at(100),
            &label("b"),
            LinkId(2),
            told(1, Some(("b", 4)), &["a"]),
        );
        assert_eq!(again, News::Came);
        assert_eq!(m.best_leader(at(101)), Some((label("b"), Epoch(4))));
        // A restart is one even with a silence in between.
        m.link_ended(LinkId(2));
        let next = m.hear(at(600), &label("b"), LinkId(3), told(2, None, &["a"]));
        assert_eq!(next, News::Restarted);
    }

    /// During a roll one version tells its instance and the other doesn't.
    #[test]
    fn a_version_that_tells_no_instance_is_heard_as_before() {
        let mut m = members();
        let old = Told {
            instance: None,
            ..told(0, Some(("b", 4)), &["a"])
        };
        assert_eq!(
            m.hear(at(0), &label("b"), LinkId(1), old.clone()),
            News::Came
        );
        assert_eq!(
            m.hear(at(500), &label("b"), LinkId(2), old.clone()),
            News::Same
        );
        m.hear(at(900), &label("b"), LinkId(3), told(7, None, &["a"]));
        // Back to the earlier version: a new process as well.
        assert_eq!(
            m.hear(at(1000), &label("b"), LinkId(4), old),
            News::Restarted
        );
    }

    #[test]
    fn where_the_direct_way_is_cut_the_third_is_asked() {
        let mut m = members();
        m.hear(at(0), &label("b"), LinkId(1), told(1, None, &["c"]));
        m.hear(at(0), &label("c"), LinkId(2), told(1, None, &["a", "b"]));
        assert_eq!(m.route(at(1), &label("b")), Some(&label("c")));
        assert_eq!(m.route(at(1), &label("c")), Some(&label("c")));
        assert!(m.told(at(1), &label("b")).is_none());
        // Silent for too long, nobody is a way.
        assert_eq!(m.route(at(1701), &label("b")), None);
    }

    /// Whatever comes in whatever order, no leader is named whose process is
    /// known to have been replaced, and the newest process is the one heard.
    #[test]
    fn no_order_of_words_brings_a_replaced_process_back() {
        arbtest::arbtest(|u| {
            let mut m = members();
            let (mut newest, mut led, mut now) = (1u64, 0u64, 0u64);
            for _ in 0..u.int_in_range(1..=40)? {
                now += u.int_in_range(0..=900)?;
                match u.int_in_range(0..=4)? {
                    0 => newest += 1,
                    // It leads a new term.
                    1 => led = led.max(newest * 10 + 1),
                    2 => {
                        let l = (led / 10 == newest).then_some(("b", led));
                        m.hear(
                            at(now),
                            &label("b"),
                            LinkId(newest),
                            told(newest, l, &["a"]),
                        );
                    }
                    3 if newest > 1 => {
                        let old = u.int_in_range(1..=newest - 1)?;
                        if m.latest.get(&label("b")).is_some_and(|i| i.0 == newest) {
                            let l = Some(("b", old * 10 + 1));
                            m.hear(at(now), &label("b"), LinkId(old), told(old, l, &["a"]));
                            // Only processes that were heard can be told apart.
                            if m.replaced[&label("b")].contains(&Instance(old)) {
                                assert_eq!(m.latest[&label("b")], Instance(newest));
                            } else {
                                return Ok(());
                            }
                        }
                    }
                    _ => {
                        m.link_ended(LinkId(u.int_in_range(1..=newest)?));
                    }
                }
                if m.latest.get(&label("b")).is_some_and(|i| i.0 == newest)
                    && let Some((_, e)) = m.best_leader(at(now))
                {
                    assert_eq!(e.0 / 10, newest, "a term of a process that has ended");
                }
            }
            Ok(())
        });
    }
}
