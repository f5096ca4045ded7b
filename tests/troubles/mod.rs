//! Troubles that strike a small world, each for a time near one of the moments that
//! matter.

use super::world::close_looks::CloseLooks;
use super::world::handover::{Act, Change};
use super::world::{Chaos, Ev, World};
use hookworks::ids::*;
use rand::RngExt;

/// Seconds: at once, a renewal, the proof, the key's lease, an election after it, an
/// answer that a worker takes, its lease, the grace after a last proof, both, and
/// what a cancellation has.
const EDGES: [f64; 11] = [0.0, 0.4, 1.55, 1.6, 2.1, 4.0, 20.0, 21.6, 40.0, 42.0, 44.0];

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// The leader ends, or all do, and are back within a second.
    HandOver,
    /// All controllers are away, for less than a leader's lease or longer than a worker's.
    AllAway,
    /// A machine can't be reached, hangs, or hears nothing.
    Machine,
    /// It begins anew, or is taken.
    Loss,
    /// Transactions get no answer and are carried out late, elections among them.
    LateWrites,
    /// Commands and answers are held for seconds.
    LateOrders,
    /// The leader loses the state service and the other controllers.
    Alone,
    /// The state service refuses the leader alone.
    Refused,
    /// It is down for all.
    Outage,
    /// Reports come again, late.
    Copies,
    /// The leader stands still, its clocks running on.
    Freeze,
    /// Leaders change ten times in two minutes.
    TenLeaders,
    /// Machines are up within two seconds of being rented, and writes lag.
    NewMachines,
    /// Each message takes 0.2 to 2 s, each way.
    SlowLinks,
    /// The leader gives up the key in order, and is back within a second.
    InOrder,
    /// Transactions are carried out at once and their answers lost, and an election's.
    LostAnswers,
    /// Users ask at all controllers after each piece of news, and some cancel.
    CloseLooks,
    /// Only direct calls reach a machine.
    Mute,
    /// Copies of reports reach every controller each time one begins to lead.
    KeptReports,
    /// Users call off several jobs at once, and their machines hang.
    CancelMany,
    /// Jobs are called off as their last task ends.
    CancelAtEnd,
    /// Submissions sent again, cancellations of what is done, bad input.
    OddRequests,
}

pub const TROUBLES: [Trouble; 22] = [
    Trouble::HandOver,
    Trouble::AllAway,
    Trouble::Machine,
    Trouble::Loss,
    Trouble::LateWrites,
    Trouble::LateOrders,
    Trouble::Alone,
    Trouble::Refused,
    Trouble::Outage,
    Trouble::Copies,
    Trouble::Freeze,
    Trouble::TenLeaders,
    Trouble::NewMachines,
    Trouble::SlowLinks,
    Trouble::InOrder,
    Trouble::LostAnswers,
    Trouble::CloseLooks,
    Trouble::Mute,
    Trouble::KeptReports,
    Trouble::CancelMany,
    Trouble::CancelAtEnd,
    Trouble::OddRequests,
];

/// A moment near one of the edges.
pub fn near(w: &mut World) -> f64 {
    let n = w.rng.random_range(0..EDGES.len());
    (EDGES[n] + w.rng.random_range(-0.15..0.3)).max(0.0)
}

/// The trouble begins in `at` seconds and lasts until near an edge.
pub fn strike(w: &mut World, t: Trouble, at: f64) {
    let leader = w.leader().unwrap_or(0);
    let (long, n) = (near(w), w.rng.random_range(0..3));
    let hosts: Vec<Host> = w.workers.keys().cloned().collect();
    let host = hosts[w.rng.random_range(0..hosts.len())].clone();
    let chances = |w: &mut World, c: Chaos| {
        w.at(at, Ev::Chances(c));
        w.at(at + 12.0, Ev::Chances(Chaos::default()));
    };
    match t {
        Trouble::HandOver => {
            let all = w.rng.random_bool(0.4);
            for i in (0..3).filter(|i| all || *i == leader) {
                let at = at + w.rng.random_range(0.0..0.6);
                w.at(at, Ev::Kill(i));
                let back = w.rng.random_range(0.02..1.0);
                w.at(at + back, Ev::Restart(i));
            }
        }
        Trouble::AllAway => {
            let away = w.rng.random_range(0.3..30.0);
            for i in 0..3 {
                w.at(at, Ev::Kill(i));
                w.at(at + away, Ev::Restart(i));
            }
        }
        Trouble::Machine => {
            let e = |h: Host, on| match n {
                0 => Ev::Cut(h, on),
                1 => Ev::Hang(h, on),
                _ => Ev::Deaf(h, on),
            };
            w.at(at, e(host.clone(), true));
            w.at(at + long, e(host, false));
        }
        Trouble::Loss if n == 0 => w.at(at, Ev::Preempt(host)),
        Trouble::Loss => w.at(at, Ev::Reborn(host)),
        Trouble::LateWrites => {
            let late_txn = 0.4;
            chances(
                w,
                Chaos {
                    late_txn,
                    ..Chaos::default()
                },
            );
            for i in 0..3 {
                w.at(at, Ev::LateElection(i, 2.0 + long.min(10.0)));
            }
        }
        Trouble::LateOrders => {
            let (late, lose_answer) = (0.4, 0.2);
            chances(
                w,
                Chaos {
                    late,
                    lose_answer,
                    ..Chaos::default()
                },
            );
        }
        Trouble::Alone => {
            w.at(at, Ev::Lonely(leader, true));
            w.at(at + long, Ev::Lonely(leader, false));
        }
        Trouble::Refused => {
            w.at(at, Ev::Refuse(leader, true));
            w.at(at + long, Ev::Refuse(leader, false));
        }
        Trouble::Outage => {
            w.at(at, Ev::StoreDown(true));
            w.at(at + long, Ev::StoreDown(false));
        }
        Trouble::Copies => {
            let copy = 0.6;
            chances(
                w,
                Chaos {
                    copy,
                    ..Chaos::default()
                },
            );
        }
        Trouble::Freeze => w.at(at, Ev::Freeze(leader, long)),
        Trouble::TenLeaders => w.change_leaders(at, 10, 120.0),
        Trouble::NewMachines => {
            w.at(at + 0.5, Ev::Preempt(host));
            w.conditions(at, long.max(20.0), |c| {
                (c.boot, c.cloud) = (Some((0.02, 2.0)), Some((0.05, 1.5)));
                (c.list_lag_s, c.writes) = (3.0, Some((0.3, 4.0)));
            })
        }
        Trouble::SlowLinks => w.conditions(at, long, |c| c.links = Some((0.2, 2.0))),
        Trouble::InOrder => {
            let back = w.rng.random_range(0.02..1.0);
            w.at(at, Ev::HandOver(Act::Change(Change::InOrder, back)));
        }
        Trouble::LostAnswers => {
            let lost_answer = 0.4;
            chances(
                w,
                Chaos {
                    lost_answer,
                    ..Chaos::default()
                },
            );
            w.at(at, Ev::LostElection);
        }
        Trouble::CloseLooks => w.close_looks = Some(CloseLooks::new(n, 0.1)),
        Trouble::Mute => {
            w.at(at, Ev::Mute(host.clone(), true));
            w.at(at + long, Ev::Mute(host, false));
        }
        Trouble::KeptReports => {
            w.at(at, Ev::KeepReports(0.5));
            w.at(at + long + 12.0, Ev::KeepReports(0.0));
        }
        Trouble::CancelMany => w.at(at, Ev::CancelNow(3, Some(long))),
        Trouble::CancelAtEnd => w.submissions.cancel_at_end = 0.4,
        Trouble::OddRequests => {
            let until = w.now + ((at + 20.0) * 1e6) as u64;
            w.at(at, Ev::OddRequests(until));
        }
    }
}
