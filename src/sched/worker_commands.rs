//! The commands that a worker gets next, with an answer or a direct call: starts of
//! stored attempts, stops, and clears of attempts whose outcome is stored.

use super::fencing::CommandBatch;
use super::job::Phase;
use super::machine::{Machine, MachineState};
use super::{Scheduler, worker_messages};
use crate::ids::{Attempt, Host, Seq, TaskId};
use crate::time::Time;
use crate::wire::user::JobKind;
use crate::wire::worker::Command;
use std::collections::BTreeSet;

/// The most commands in one message; commands that end something are not limited.
const MAX_ORDERS: usize = 200;

/// How commands are delivered to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// A direct call, which renews no lease.
    DirectCall,
    /// The answer to a heartbeat. If that is not the worker's newest report, it does
    /// not show what the worker has now.
    Answer { newest: bool },
}

impl Scheduler {
    /// The commands for a worker. A worker that misses an answer sends another
    /// heartbeat and gets the same commands again. Commands that end attempts are not
    /// limited in number: a report lists no more attempts than one message can end.
    /// Others wait for the next message once this one is full.
    pub(super) fn commands_for(
        &mut self,
        now: Time,
        host: &Host,
        delivery: Delivery,
    ) -> CommandBatch {
        // Nothing is started while the leadership is not proven.
        let may_run = self.may_start_on(now, host, delivery) && self.may_start(now);
        let Some(machine) = self.machines.get(host) else {
            return CommandBatch::default();
        };
        // A direct call in flight and this message could overtake each other; only
        // commands that end attempts are safe in any order.
        let only_kill =
            machine.direct_call.is_some() || delivery == Delivery::Answer { newest: false };
        let mut commands = self.orders_for_unknown_attempts(machine, only_kill);
        let waiting_for_clear = self.starts_waiting_for_clear(machine);
        let seq = machine.seq;
        let tasks: Vec<TaskId> = machine.allocations.keys().cloned().collect();
        for task in tasks {
            let may_run = may_run && !only_kill && commands.len() < MAX_ORDERS;
            let may_run = may_run && !waiting_for_clear.contains(&task);
            commands.extend(self.order_for_attempt(task, seq, delivery, may_run));
        }
        worker_messages::limit_clears(&mut commands);
        CommandBatch {
            may_reuse_attempts: commands
                .iter()
                .any(|command| self.starts_gang_member(command)),
            start_waits_for_clear: !waiting_for_clear.is_empty(),
            commands,
        }
    }

    /// Tasks that are to start here while the worker still lists an ended attempt with the
    /// same number: it would ignore the start.
    fn starts_waiting_for_clear(&self, machine: &Machine) -> BTreeSet<TaskId> {
        let is_waiting = |(task, attempt): &&(TaskId, Attempt)| {
            let job = self.jobs.get(&task.job);
            let active = job.and_then(|job| job.active.get(&task.index));
            active.is_some_and(|active| active.host == machine.host && active.attempt == *attempt)
        };
        let listed = machine.unknown_attempts.keys().filter(is_waiting);
        listed.map(|(task, _)| task.clone()).collect()
    }

    fn starts_gang_member(&self, command: &Command) -> bool {
        let Command::Run { task, .. } = command else {
            return false;
        };
        let job = self.jobs.get(&task.job);
        job.is_some_and(|job| job.spec.kind == JobKind::Gang)
    }

    /// A direct call starts nothing on a worker whose heartbeats have stopped: its
    /// lease is about to expire.
    fn may_start_on(&self, now: Time, host: &Host, delivery: Delivery) -> bool {
        let fresh = self.max_heartbeat_age();
        let takes = |machine: &Machine| {
            let reports = delivery != Delivery::DirectCall || now - machine.last_heartbeat < fresh;
            machine.state == MachineState::Up && reports
        };
        self.machines.get(host).is_some_and(takes)
    }

    /// Commands to end attempts that are not ours, and to clear them once ended.
    fn orders_for_unknown_attempts(&self, machine: &Machine, only_kill: bool) -> Vec<Command> {
        let may_clear = !only_kill && machine.unconfirmed_token.is_none();
        let order = |((task, attempt), ended): (&(TaskId, Attempt), &bool)| {
            let (task, attempt) = (task.clone(), *attempt);
            if !ended {
                return Some(Command::Kill {
                    task,
                    attempt,
                    leeway_s: 0.0,
                });
            }
            (may_clear && self.can_clear(&task)).then_some(Command::Clear { task, attempt })
        };
        machine.unknown_attempts.iter().filter_map(order).collect()
    }

    /// The command for an attempt of ours, if any; `seq`: the worker's last report.
    fn order_for_attempt(
        &mut self,
        task: TaskId,
        seq: Seq,
        delivery: Delivery,
        may_run: bool,
    ) -> Option<Command> {
        let answers = delivery != Delivery::DirectCall;
        let job = self.jobs.get(&task.job)?;
        // The first record's write alone is conditioned on the absent final state: before it
        // is applied the job may be over already.
        let is_new = !job.first_record_stored();
        let stored = job.parts[job.part_of(task.index)].stored_version;
        let active = self.active_attempt_mut(&task)?;
        let attempt = active.attempt;
        match (active.phase, active.stop) {
            (Phase::Placed, None) => {
                let is_stored = !is_new && stored >= active.required_version;
                if active.inherited || !may_run || !is_stored {
                    return None;
                }
                active.run_sent = true;
                if answers {
                    active.run_sent_in = Some(seq);
                }
                Some(Command::Run { task, attempt })
            }
            // The attempt may start between this report and the answer, so an answer
            // that renews the lease must repeat every stop. A direct call renews no
            // lease.
            (Phase::Placed, Some(_)) if !(answers && active.run_sent) => None,
            (_, Some(stop)) => Some(Command::Kill {
                task,
                attempt,
                leeway_s: stop.leeway_s,
            }),
            (_, None) => None,
        }
    }

    /// An ended attempt may be cleared once its outcome is stored.
    fn can_clear(&self, task: &TaskId) -> bool {
        match self.jobs.get(&task.job) {
            // The record of its outcome can't be read.
            None if self.unreadable.contains_key(&task.job) => false,
            Some(job) if task.index.0 < job.spec.tasks => {
                job.closing_state.is_none() && job.part_stored(task.index)
            }
            _ => true,
        }
    }
}
