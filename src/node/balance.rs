//! Which controller a worker reports to. Any of them takes reports and passes
//! them on to the leader, so that none needs a connection and a thread for
//! every worker, and a change of leaders moves no worker at all. A controller
//! that has too many sends some of them to another.

use super::{Node, Role};
use crate::ids::{Host, Label};
use crate::time::{Span, Time};
use serde::Deserialize;
use std::collections::HashMap;

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
    /// Our own weight and the others, as of the last tick.
    weight: f64,
    others: Vec<(Label, u32, f64)>,
}

/// Who reports; the rest of a report is not needed here.
#[derive(Deserialize)]
struct Sender {
    #[serde(rename = "Host")]
    host: Host,
}

impl Balance {
    /// Takes stock; answers how many workers report here.
    pub fn tick(&mut self, now: Time, weight: f64, others: Vec<(Label, u32, f64)>) -> u32 {
        (self.weight, self.others) = (weight, others);
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
        let (weight, others) = (self.weight, &self.others);
        self.reporting.insert(host.clone(), now);
        let mine = self.reporting.len() as f64;
        let all: f64 = mine + others.iter().map(|o| o.1 as f64).sum::<f64>();
        let parts = 1.0 / weight + others.iter().map(|o| 1.0 / o.2).sum::<f64>();
        let share = |w: f64| all / w / parts;
        if self.moves == 0 || mine <= share(weight) * SLACK + FEW {
            return None;
        }
        let least = others
            .iter()
            .min_by(|a, b| (a.1 as f64 * a.2).total_cmp(&(b.1 as f64 * b.2)))?;
        if least.1 as f64 >= share(least.2) || self.sent_away.contains_key(host) {
            return None;
        }
        self.moves -= 1;
        self.reporting.remove(host);
        self.sent_away.insert(host.clone(), now);
        Some(least.0.clone())
    }
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
        let near = self.peers.workers().into_iter();
        let others = near.map(|(l, n)| (l.clone(), n, weight(&l))).collect();
        let n = self.balance.tick(now, weight(&me), others);
        self.peers.set_workers(n);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// All workers may come to one controller, as after the end of another.
    #[test]
    fn too_many_workers_are_sent_on_a_few_at_a_time_and_no_one_twice() {
        let mut b = Balance::default();
        let host = |n: u32| Host::from(format!("m{n}").as_str());
        let now = Time(100_000_000);
        let others = vec![(Label::from("x"), 0, 1.0), (Label::from("y"), 5, 1.0)];
        b.tick(now, 2.0, others.clone());
        let mut sent = vec![];
        for n in 0..60 {
            if b.judge(now, &host(n)).is_some() {
                sent.push(n);
            }
        }
        assert_eq!(sent.len() as u32, MOVES);
        b.tick(now, 2.0, others);
        assert_eq!(b.judge(now, &host(sent[0])), None);
        // Alone there is nobody to send to.
        b.tick(now, 2.0, vec![]);
        assert_eq!(b.judge(now, &host(99)), None);
    }
}
