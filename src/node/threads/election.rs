//! The thread that takes part in the election and renews the leader's lease.

use crate::election::{Candidate, ElectionOutcome, Elector};
use crate::node::spawn;
use crate::settings::Settings;
use crate::store::StateClient;
use crate::time::{Clock, Span};
use crossbeam_channel::{Receiver, Sender, bounded};
use std::time::Duration;

/// The most sockets that this thread uses.
pub(in crate::node) const SOCKETS: usize = 4;
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1200);
const COMMAND_QUEUE: usize = 8;
/// Length of the queue of outcomes to the main loop, about ten seconds of them.
const OUTCOME_QUEUE: usize = 32;
/// Random delay added to each step, so that controllers don't campaign at the same
/// moment.
const MAX_JITTER_MS: u64 = 60;

/// A command to the thread.
pub enum ElectionCommand {
    /// The leader is suspected to have failed.
    SuspectLeader,
    /// Resign and end the thread; the sender is notified when that is done.
    Stop(Sender<()>),
}

/// The main loop's ends of the thread's channels.
pub(in crate::node) struct ElectionThread {
    pub commands: Sender<ElectionCommand>,
    /// A channel of its own, as outcomes take precedence over all other messages.
    pub outcomes: Receiver<ElectionOutcome>,
}

/// Starts the thread; it resigns and ends when the receiver of its outcomes is dropped.
pub(in crate::node) fn start(
    settings: &Settings,
    clock: Clock,
    candidate: Candidate,
) -> ElectionThread {
    let (commands, command_receiver) = bounded(COMMAND_QUEUE);
    let (outcome_sender, outcomes) = bounded(OUTCOME_QUEUE);
    let state = StateClient::new(settings.platform.services.state, REQUEST_TIMEOUT);
    let lease_duration = Span::secs(settings.tuning.leader_lease_s);
    let elector = Elector::new(state, candidate, lease_duration);
    spawn("election", move || {
        run(elector, clock, &command_receiver, &outcome_sender);
    });
    ElectionThread { commands, outcomes }
}

fn run(
    mut elector: Elector<StateClient>,
    clock: Clock,
    commands: &Receiver<ElectionCommand>,
    outcomes: &Sender<ElectionOutcome>,
) {
    loop {
        let outcome = elector.step(|| clock.now());
        if outcomes.send(outcome).is_err() {
            elector.resign();
            return;
        }
        let jitter = Duration::from_millis(rand::random_range(0..MAX_JITTER_MS));
        match commands.recv_timeout(elector.step_interval().std() + jitter) {
            Ok(ElectionCommand::SuspectLeader) => elector.suspect_leader(),
            Ok(ElectionCommand::Stop(done)) => {
                elector.resign();
                let _ = done.send(());
                return;
            }
            Err(_) => {}
        }
    }
}
