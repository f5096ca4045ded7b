//! What became of a transaction, and what follows from it.

use super::super::client::ReadError;
use super::super::pieces::piece_key;
use super::super::{LEADER, final_key, part_key};
use super::draft::{What, Work};
use super::{Committer, Sent, Step};
use crate::ids::{JobId, Stamp, TxnId};
use crate::sched::job::Final;
use crate::sched::{Event, Key, Scheduler};
use crate::store::Outcome;
use crate::time::{Span, Time};
use crate::wire::state::Item;

/// After a refusal, and after one of the rate.
const REST: Span = Span(250_000);
const REST_OF_RATE: Span = Span(100_000);
/// Who waits for a write is told to come again once changes were refused for so long.
const REFUSED_FOR: Span = Span(1_000_000);
impl Committer {
    fn requeue(&mut self, sched: &mut Scheduler, works: Vec<Work>) {
        for w in works.into_iter().rev() {
            self.busy.remove(&w.job);
            Self::queue_again(sched, w);
        }
    }

    /// A transaction with these has certainly not been carried out.
    fn not_carried_out(sched: &mut Scheduler, works: &[Work]) {
        for w in works.iter().filter(|w| matches!(w.what, What::End)) {
            sched.final_write_failed(&w.job);
        }
    }

    fn queue_again(sched: &mut Scheduler, w: Work) {
        let part = match w.what {
            What::Part(p, _) => p,
            What::End => 0,
            What::Fences(_) => return sched.fence_write_failed(),
        };
        if let Some(j) = sched.jobs.get_mut(&w.job) {
            j.enqueue_write(part, &mut sched.write_queue, w.purpose);
        }
    }

    /// What became of a transaction.
    pub fn finished(
        &mut self,
        now: Time,
        id: TxnId,
        outcome: Outcome,
        sched: &mut Scheduler,
    ) -> (Vec<Event>, Vec<Step>) {
        let Some(sent) = self.under_way.remove(&id) else {
            return (vec![], vec![]);
        };
        if outcome != Outcome::TooMany {
            self.refused_since = None;
        }
        let events = match outcome {
            Outcome::Ok(stamp) => self.carried_out(sent.works, stamp, sched),
            Outcome::Conflict(failed) if failed.iter().any(|k| k == LEADER) => {
                return (vec![], vec![Step::Deposed]);
            }
            Outcome::Conflict(failed) => {
                return (vec![], self.conflict(sent.works, &failed, sched));
            }
            Outcome::NotDone | Outcome::NoLease => self.refused(now, sent.works, sched),
            Outcome::TooLarge => self.too_large(now, sent, sched),
            Outcome::TooMany => self.too_many(now, sent.works, sched),
            Outcome::Unclear => {
                self.rest_until = now + REST_OF_RATE;
                self.requeue(sched, sent.works);
                vec![]
            }
        };
        (events, vec![])
    }

    fn carried_out(&mut self, works: Vec<Work>, stamp: Stamp, sched: &Scheduler) -> Vec<Event> {
        let mut events = vec![];
        for w in works {
            self.busy.remove(&w.job);
            for k in w.keys {
                if k.put && !matches!(w.what, What::End) {
                    self.stamps.insert(k.key, stamp);
                } else {
                    self.stamps.remove(&k.key);
                }
            }
            events.push(match w.what {
                What::Part(p, ver) => Event::Stored(Key::Part(w.job, p), ver),
                What::Fences(ver) => Event::Stored(Key::Fences, ver),
                What::End => {
                    self.sweep(sched, &w.job);
                    Event::Stored(Key::Final(w.job), 0)
                }
            });
        }
        events
    }

    /// Ours alone may write here, so these are earlier writes of our own whose
    /// answers were lost: read back, then go on from there.
    fn conflict(
        &mut self,
        works: Vec<Work>,
        failed: &[String],
        sched: &mut Scheduler,
    ) -> Vec<Step> {
        Self::not_carried_out(sched, &works);
        let mut steps = vec![];
        let (hit, fine): (Vec<Work>, Vec<Work>) = works.into_iter().partition(|w| {
            let end = final_key(&w.job);
            let of_job = |k: &String| *k == end || w.keys.iter().any(|x| x.key == *k);
            failed.iter().any(of_job)
        });
        self.requeue(sched, fine);
        for w in hit {
            let mut keys: Vec<String> = w.keys.iter().map(|k| k.key.clone()).collect();
            keys.push(final_key(&w.job));
            keys.dedup();
            for k in keys.into_iter().filter(|k| failed.contains(k)) {
                self.reading.insert(k.clone(), w.job.clone());
                steps.push(Step::Read(k));
            }
            Self::queue_again(sched, w);
        }
        steps
    }

    /// Nothing is carried out at the moment.
    fn refused(&mut self, now: Time, works: Vec<Work>, sched: &mut Scheduler) -> Vec<Event> {
        self.rest_until = now + REST;
        Self::not_carried_out(sched, &works);
        // Whoever waits for these is told at once to come again.
        let events = works.iter().map(|w| Event::NotStored(w.job.clone()));
        let events = events.collect();
        self.requeue(sched, works);
        events
    }

    /// It is sent again in smaller transactions and values, if that may help.
    fn too_large(&mut self, now: Time, sent: Sent, sched: &mut Scheduler) -> Vec<Event> {
        if self.limits.refused_size(sent.size) {
            self.set_budgets(now);
            Self::not_carried_out(sched, &sent.works);
            self.requeue(sched, sent.works);
            return vec![];
        }
        if sent.works.len() > 1 {
            // One of them is at fault.
            self.singly = sent.works.len();
            Self::not_carried_out(sched, &sent.works);
            self.requeue(sched, sent.works);
            return vec![];
        }
        Self::not_carried_out(sched, &sent.works);
        for w in sent.works {
            self.busy.remove(&w.job);
            match w.what {
                What::Part(part, _) => self.put_aside(now, sched, (w.job, part), w.purpose),
                What::End => self.put_aside(now, sched, (w.job, 0), w.purpose),
                What::Fences(_) => {
                    self.rest_until = now + REST;
                    sched.fence_write_failed();
                }
            }
        }
        vec![]
    }

    /// Who waits for these need not ask again: they are sent in a moment.
    fn too_many(&mut self, now: Time, works: Vec<Work>, sched: &mut Scheduler) -> Vec<Event> {
        let since = *self.refused_since.get_or_insert(now);
        if self.limits.refused_rate(now) {
            self.set_budgets(now);
        }
        self.writes.empty(now);
        if now - since > REFUSED_FOR {
            return self.refused(now, works, sched);
        }
        self.rest_until = now + REST_OF_RATE;
        Self::not_carried_out(sched, &works);
        self.requeue(sched, works);
        vec![]
    }

    /// Parts of a finished job that did not fit into its last transaction.
    fn sweep(&mut self, sched: &Scheduler, job: &JobId) {
        let parts = sched.jobs.get(job).map_or(0, |j| j.parts.len());
        for part in 0..parts {
            let pieces = (1..).map(|n| piece_key(job, part, n));
            let stored = pieces.take_while(|k| self.stamps.contains_key(k));
            let keys: Vec<String> = stored.chain([part_key(job, part)]).collect();
            for key in keys {
                if let Some(stamp) = self.stamps.remove(&key) {
                    self.litter.push((key, stamp));
                }
            }
        }
    }

    /// A key that was read back; `Err` makes it be read again.
    pub fn read_back(
        &mut self,
        key: String,
        r: Result<Option<Item>, ReadError>,
        sched: &mut Scheduler,
    ) -> (Vec<Event>, Vec<Step>) {
        let Ok(item) = r else {
            return (vec![], vec![Step::Read(key)]);
        };
        let Some(job) = self.reading.remove(&key) else {
            return (vec![], vec![]);
        };
        let mut events = vec![];
        let is_final = key == final_key(&job);
        match item {
            Some(i) if is_final => {
                if let Ok(f) = serde_json::from_value::<Final>(i.value) {
                    self.sweep(sched, &job);
                    events.push(Event::AlreadyFinal(job.clone(), f));
                }
            }
            Some(i) => {
                self.stamps.insert(key, i.stamp);
            }
            None => {
                self.stamps.remove(&key);
            }
        }
        if !self.reading.values().any(|j| *j == job) {
            self.busy.remove(&job);
        }
        (events, vec![])
    }
}
