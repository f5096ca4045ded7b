//! Machines in trouble: one hangs and goes on, one reaches no controller while commands
//! reach it, copies of reports are kept for the next leader, and users call off what
//! runs while its machines hang.

use super::{Ev, World};
use hookworks::ids::*;
use hookworks::sched::{DirectResult, Event};
use hookworks::wire::peer::Request;
use hookworks::wire::user::JobKind;
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};

/// A controller gives up a direct call after so many seconds.
const CALL_GIVES_UP: f64 = 2.5;
/// Users call off what runs within so many seconds.
const AT_ONCE: f64 = 0.2;
/// At most so many machines hang while users call off what runs there.
const MOST_HANG: usize = 8;
/// Copies of kept reports arrive within so many seconds of a leader's beginning.
const COPIES_WITHIN: f64 = 0.5;

/// What waits for machines to go on, and for the next leader.
#[derive(Default)]
pub struct Kept {
    /// Commands and answers that reached a machine while it hung or was cut off.
    messages: BTreeMap<Host, Vec<Ev>>,
    /// Copies of reports, as they were sent.
    reports: Vec<(Host, Vec<u8>)>,
    /// The share of reports of which a copy is kept.
    share: f64,
}

impl World {
    /// The event, unless its machine hangs or is cut off: then it waits until the
    /// machine goes on, and whoever called it gives up meanwhile.
    pub(super) fn machine_takes(&mut self, e: Ev) -> Option<Ev> {
        let (host, answer) = match &e {
            Ev::Orders(_, _, _, h, _) => (h.clone(), false),
            Ev::ToWorker(h, ..) => (h.clone(), true),
            _ => return Some(e),
        };
        let Some(w) = self.workers.get(&host).filter(|w| w.up) else {
            return Some(e);
        };
        // What was sent to a machine that is cut off comes late as well; answers are
        // dropped there, as the worker tries another controller.
        let waits = w.hangs || w.cut && !answer;
        if !waits || w.deaf || w.no_calls && !answer {
            return Some(e);
        }
        if let Ev::Orders(i, epoch, call, h, _) = &e {
            let gave_up = Ev::Direct(*i, *epoch, *call, h.clone(), DirectResult::Unclear);
            self.at(CALL_GIVES_UP, gave_up);
        }
        self.kept.messages.entry(host).or_default().push(e);
        None
    }

    /// The machine hangs, or goes on: with what had reached it first, in order, then
    /// with its next report.
    pub(super) fn hang(&mut self, host: Host, on: bool) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(&host) else {
            return;
        };
        if on {
            w.stops(now);
        } else if w.goes_on(now) {
            self.deliver_kept(&host);
            self.at(0.001, Ev::Beat(host));
        }
    }

    pub(super) fn cut(&mut self, host: &Host, cut: bool) {
        if let Some(w) = self.workers.get_mut(host) {
            w.cut = cut;
        }
        if !cut {
            self.deliver_kept(host);
        }
    }

    /// What waited for the machine reaches it, or waits on.
    fn deliver_kept(&mut self, host: &Host) {
        let waiting = self.kept.messages.remove(host).unwrap_or_default();
        for (n, e) in waiting.into_iter().enumerate() {
            self.at(1e-6 * (n + 1) as f64, e);
        }
    }

    /// From now on this share of reports is kept for the next leaders.
    pub(super) fn keep_reports(&mut self, share: f64) {
        self.kept.share = share;
    }

    pub(super) fn keep_copy(&mut self, host: &Host, body: &[u8]) {
        // Drawn only where it may happen: other stories go on as they were.
        if self.kept.share > 0.0 && self.rng.random_bool(self.kept.share) {
            self.kept.reports.push((host.clone(), body.to_vec()));
        }
    }

    /// A controller begins to lead: each one gets all copies kept so far, those of a
    /// machine in the order in which they were sent.
    pub(super) fn hand_over_copies(&mut self) {
        let copies = self.kept.reports.clone();
        for i in 0..self.ctls.len() {
            let mut at: BTreeMap<&Host, f64> = BTreeMap::new();
            for (host, body) in &copies {
                let after = at.entry(host).or_default();
                *after += self
                    .rng
                    .random_range(0.0..COPIES_WITHIN / copies.len() as f64);
                let in_s = *after;
                self.at(in_s, Ev::Copy(i, body.clone()));
            }
        }
    }

    /// A copy of a report reaches a controller: it takes it as the leader, or passes it
    /// on to whoever leads. Nobody waits for an answer.
    pub(super) fn copy_arrives(&mut self, i: usize, body: Vec<u8>) {
        let req = RequestId(self.next_req);
        self.next_req += 1;
        if !self.ctls[i].up {
            return;
        }
        if self.ctls[i].term.is_some() {
            return self.event(i, Event::Ask(req, Request::Report(body)));
        }
        let by = ControllerId::from(format!("c{i}").as_str());
        if let Some(leader) = self.leader() {
            self.event(leader, Event::Relayed(req, by, body));
        }
    }

    /// Users call off so many jobs that run; with `hang_s`, machines of theirs hang for
    /// that long from about the same moment.
    pub(super) fn cancel_now(&mut self, count: usize, hang_s: Option<f64>) {
        let (jobs, hosts) = self.long_to_go(count);
        for id in jobs {
            let at = self.rng.random_range(0.0..AT_ONCE);
            for k in 0..8 {
                let ask = Request::Cancel(id.to_string());
                self.at(at + 1.3 * k as f64, Ev::User(ask));
            }
        }
        let Some(hang_s) = hang_s else { return };
        for host in hosts.into_iter().take(MOST_HANG) {
            let at = self.rng.random_range(0.0..AT_ONCE);
            self.at(at, Ev::Hang(host.clone(), true));
            self.at(at + hang_s, Ev::Hang(host, false));
        }
    }

    /// Jobs that run and that nobody has called off, and their machines.
    fn long_to_go(&self, count: usize) -> (BTreeSet<JobId>, BTreeSet<Host>) {
        let (mut jobs, mut hosts) = (BTreeSet::new(), BTreeSet::new());
        for (task, on) in &self.on {
            let over = |t: &super::Told| t.over.is_some() || t.cancel_asked;
            if self.told.get(&task.job).is_some_and(over) {
                continue;
            }
            if jobs.len() < count || jobs.contains(&task.job) {
                jobs.insert(task.job.clone());
                hosts.extend(on.iter().cloned());
            }
        }
        (jobs, hosts)
    }

    /// The team's tasks on machines by now, in CPUs.
    pub fn cpus_of(&self, team: &str) -> f64 {
        let tasks = self.on.keys().map(|t| &self.specs[&t.job]);
        tasks
            .filter(|s| s.team.as_str() == team)
            .map(|s| s.cpus)
            .sum()
    }

    /// Machines on which a task of this job is.
    pub fn hosts_of(&self, job: &JobId) -> BTreeSet<Host> {
        let of = self.on.iter().filter(|(t, _)| t.job == *job);
        of.flat_map(|(_, hosts)| hosts.iter().cloned()).collect()
    }

    /// How often a task of this job was told to run on the machine.
    pub fn runs_on(&self, job: &JobId, host: &Host) -> usize {
        let runs = self.workers.get(host).map(|w| &w.runs);
        runs.map_or(0, |r| r.iter().filter(|(t, _)| t.job == *job).count())
    }

    /// A service, or a batch job, of a team, submitted again until it is accepted.
    pub fn submit_of(&mut self, n: u64, tasks: u32, team: &str, kind: JobKind) -> JobId {
        let mut j = super::job(n, tasks);
        (j.team, j.kind, j.estimate_s) = (team.into(), kind, self.run_s);
        let body = serde_json::to_vec(&j).unwrap();
        self.specs.insert(j.id.clone(), j.clone());
        for k in 0..6 {
            self.at(3.0 * k as f64, Ev::User(Request::Submit(body.clone())));
        }
        j.id
    }
}
