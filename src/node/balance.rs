//! Which controller a worker reports to. Any of them takes reports and passes
//! them on to the leader, so that none needs a connection and a thread for
//! every worker, and a change of leaders moves no worker at all. A controller
//! that has too many sends some of them to another; nobody is counted on to hold
//! more than its bound.

use super::{Node, Role};
use crate::api::Elsewhere;
use crate::ids::{Host, Label};
use crate::peer::Load;
use crate::time::{Span, Time};
use serde::Deserialize;
use std::collections::HashMap;
use std::sync::Arc;

/// A worker that has been silent for longer reports elsewhere.
const LATELY: Span = Span(8_000_000);
/// One that was sent away comes back for a reason.
const AGAIN: Span = Span(30_000_000);
/// Sent away between two ticks, at most.
const MOVES: u32 = 8;
/// Workers at the leader count so many times: it has all the rest to do, too.
const LEADER_WEIGHT: f64 = 8.0;
/// So far above its share a controller may be.
const SLACK: f64 = 1.2;
const FEW: f64 = 8.0;

#[derive(Default)]
pub struct Balance {
    reporting: HashMap<Host, Time>,
    sent_away: HashMap<Host, Time>,
    moves: u32,
    /// Ourselves and the others, as of the last tick.
    me: Part,
    others: Vec<(Label, u32, Part)>,
}

/// What a controller takes of all workers.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    /// A worker counts so many times there.
    weight: f64,
    /// No more can be held there; unknown of earlier versions.
    most: Option<u32>,
}

/// Splits so many workers by weight among controllers, none above its bound as
/// long as others have room. Answers the share of each.
fn shares(all: f64, parts: &[Part]) -> Vec<f64> {
    let mut share = vec![0.0; parts.len()];
    let mut open: Vec<usize> = (0..parts.len()).collect();
    let mut left = all;
    loop {
        let sum: f64 = open.iter().map(|i| 1.0 / parts[*i].weight).sum();
        let fair = |i: usize| left / parts[i].weight / sum;
        let full = |i: &usize| parts[*i].most.is_some_and(|m| fair(*i) > m as f64);
        let Some(at) = open.iter().position(full) else {
            for i in &open {
                share[*i] = fair(*i);
            }
            return share;
        };
        let i = open.swap_remove(at);
        share[i] = parts[i].most.unwrap_or(0) as f64;
        left = (left - share[i]).max(0.0);
    }
}

/// Who reports; the rest of a report is not needed here.
#[derive(Deserialize)]
struct Sender {
    #[serde(rename = "Host")]
    host: Host,
}

impl Balance {
    /// Takes stock; answers how many workers report here.
    fn tick(&mut self, now: Time, me: Part, others: Vec<(Label, u32, Part)>) -> u32 {
        (self.me, self.others) = (me, others);
        self.moves = MOVES;
        self.reporting.retain(|_, t| now - *t < LATELY);
        self.sent_away.retain(|_, t| now - *t < AGAIN);
        self.reporting.len() as u32
    }

    pub fn len(&self) -> usize {
        self.reporting.len()
    }

    /// Notes that this worker is sent away, unless it has just come back.
    pub fn sent(&mut self, now: Time, report: &[u8]) -> bool {
        let Ok(Sender { host }) = serde_json::from_slice(report) else {
            return false;
        };
        let again = self.sent_away.get(&host).is_some_and(|t| now - *t < AGAIN);
        if !again {
            self.sent_away.insert(host, now);
        }
        !again
    }

    /// Where this worker had better report, if not here.
    fn judge(&mut self, now: Time, host: &Host) -> Option<Label> {
        let others = &self.others;
        self.reporting.insert(host.clone(), now);
        let mine = self.reporting.len() as f64;
        let all: f64 = mine + others.iter().map(|o| o.1 as f64).sum::<f64>();
        let parts: Vec<Part> = std::iter::once(self.me)
            .chain(others.iter().map(|o| o.2))
            .collect();
        let share = shares(all, &parts);
        if self.moves == 0 || mine <= share[0] * SLACK + FEW {
            return None;
        }
        // Where most of the share is still free.
        let free = |i: usize| 1.0 - others[i].1 as f64 / share[i + 1].max(1.0);
        let least = (0..others.len()).max_by(|a, b| free(*a).total_cmp(&free(*b)))?;
        if free(least) <= 0.0 || self.sent_away.contains_key(host) {
            return None;
        }
        let to = others[least].0.clone();
        self.moves -= 1;
        self.reporting.remove(host);
        self.sent_away.insert(host.clone(), now);
        Some(to)
    }
}

/// The controller with most room for workers, if any has some.
fn roomiest(near: &[Load]) -> Option<Elsewhere> {
    let room = |l: &Load| l.most.map_or(0, |m| m.saturating_sub(l.workers));
    let best = near.iter().max_by_key(|l| room(l))?;
    let n = room(best);
    (n > 0).then(|| Elsewhere::new(best.label.clone(), n as usize))
}

impl Node {
    pub(super) fn better_for(&mut self, now: Time, report: &[u8]) -> Option<Label> {
        if matches!(self.role, Role::Loading(_)) {
            return None;
        }
        let sender: Sender = serde_json::from_slice(report).ok()?;
        self.balance.judge(now, &sender.host)
    }

    pub(super) fn balance(&mut self, now: Time) {
        let me = self.settings.platform.label.clone();
        let leader = match &self.role {
            Role::Leader(_) => Some(me.clone()),
            _ => self.peers.best_leader().map(|l| l.0),
        };
        let weight = |l: &Label| {
            if leader.as_ref() == Some(l) {
                LEADER_WEIGHT
            } else {
                1.0
            }
        };
        let part = |l: &Label, most| Part {
            weight: weight(l),
            most,
        };
        let near = self.peers.workers();
        self.notice.elsewhere.store(roomiest(&near).map(Arc::new));
        let other = |l: Load| {
            let part = part(&l.label, l.most);
            (l.label, l.workers, part)
        };
        let others = near.into_iter().map(other).collect();
        let mine = part(&me, Some(self.peers.most()));
        let n = self.balance.tick(now, mine, others);
        self.peers.set_workers(n);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn part(weight: f64, most: Option<u32>) -> Part {
        Part { weight, most }
    }

    /// A small controller once got as many workers as a large one.
    #[test]
    fn nobody_is_counted_on_to_hold_more_than_its_bound() {
        let split = |all, parts: &[Part]| -> Vec<u32> {
            shares(all, parts)
                .iter()
                .map(|s| s.round() as u32)
                .collect()
        };
        let even = [part(1.0, None), part(1.0, Some(900)), part(8.0, Some(900))];
        assert_eq!(split(850.0, &even), [400, 400, 50]);
        let small = [
            part(1.0, Some(100)),
            part(1.0, Some(900)),
            part(8.0, Some(900)),
        ];
        assert_eq!(split(919.0, &small), [100, 728, 91]);
        // All bounds together are too few: nobody is named for the rest.
        let few = [
            part(1.0, Some(10)),
            part(1.0, Some(20)),
            part(8.0, Some(30)),
        ];
        assert_eq!(split(1000.0, &few), [10, 20, 30]);
    }

    #[test]
    fn a_worker_without_a_seat_goes_where_most_are_free() {
        let load = |l: &str, workers, most| Load {
            label: l.into(),
            workers,
            most,
        };
        let near = [
            load("a", 500, Some(600)),
            load("b", 100, Some(150)),
            load("old", 0, None),
        ];
        let e = roomiest(&near).unwrap();
        assert!(format!("{e:?}").contains("a") && format!("{e:?}").contains("100"));
        assert!(roomiest(&near[2..]).is_none());
        assert!(roomiest(&[load("a", 600, Some(600))]).is_none());
    }

    /// All workers may come to one controller, as after the end of another.
    #[test]
    fn too_many_workers_are_sent_on_a_few_at_a_time_and_no_one_twice() {
        let mut b = Balance::default();
        let host = |n: u32| Host::from(format!("m{n}").as_str());
        let now = Time(100_000_000);
        let others = vec![
            (Label::from("x"), 0, part(1.0, None)),
            (Label::from("y"), 5, part(1.0, Some(900))),
        ];
        b.tick(now, part(2.0, Some(900)), others.clone());
        let mut sent = vec![];
        for n in 0..60 {
            if b.judge(now, &host(n)).is_some() {
                sent.push(n);
            }
        }
        assert_eq!(sent.len() as u32, MOVES);
        b.tick(now, part(2.0, Some(900)), others);
        assert_eq!(b.judge(now, &host(sent[0])), None);
        // Alone there is nobody to send to.
        b.tick(now, part(2.0, Some(900)), vec![]);
        assert_eq!(b.judge(now, &host(99)), None);
    }
}
