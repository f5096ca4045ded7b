//! Threads that make direct calls to workers.

use crate::ids::{CallId, Epoch, Host};
use crate::node::{Message, spawn};
use crate::sched::{DirectResult, Event};
use crate::time::{Clock, Span, Time};
use crate::wire::worker::Commands;
use crate::worker_client::WorkerClient;
use crossbeam_channel::{Receiver, Sender, unbounded};
use std::sync::Arc;

/// The number of concurrent calls.
const THREADS: usize = 16;
/// The most sockets that these threads use.
pub(in crate::node) const SOCKETS: usize = 2 * THREADS;
/// A call queued for longer fails unsent: behind calls that hang, its worker would get no
/// commands for too long.
const MAX_QUEUE_TIME: Span = Span(1_000_000);

/// A call that sends commands to a worker.
pub struct DirectCall {
    /// When the scheduler issued the commands.
    pub since: Time,
    /// The epoch of the leadership that issued them.
    pub epoch: Epoch,
    /// The id by which the scheduler matches the result.
    pub call: CallId,
    /// The worker's machine.
    pub host: Host,
    /// Where the worker listens.
    pub addr: String,
    /// The commands.
    pub orders: Commands,
}

/// Starts the threads; they end with the sender.
pub(in crate::node) fn start(clock: Clock, inbox: &Sender<Message>) -> Sender<DirectCall> {
    let (sender, calls) = unbounded();
    let client = Arc::new(WorkerClient::new());
    for _ in 0..THREADS {
        let (calls, inbox, client) = (calls.clone(), inbox.clone(), client.clone());
        spawn("agent", move || serve(&calls, &inbox, &client, clock));
    }
    sender
}

fn serve(
    calls: &Receiver<DirectCall>,
    inbox: &Sender<Message>,
    client: &WorkerClient,
    clock: Clock,
) {
    for call in calls {
        let result = if clock.now() - call.since > MAX_QUEUE_TIME {
            DirectResult::Unsent
        } else {
            client.send_orders(&call.addr, &call.orders)
        };
        let event = Event::Direct(call.call, call.host, result);
        if inbox.send(Message::Event(call.epoch, event)).is_err() {
            return;
        }
    }
}
