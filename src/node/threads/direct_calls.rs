//! Direct calls to workers, several at a time.

use crate::ids::{CallId, Epoch, Host};
use crate::node::{Msg, spawn};
use crate::sched::{DirectResult, Event};
use crate::time::{Clock, Span, Time};
use crate::wire::worker::Commands;
use crate::worker_client::WorkerClient;
use crossbeam_channel::{Receiver, Sender, unbounded};
use std::sync::Arc;

/// Calls that are made at a time.
const THREADS: usize = 16;
/// The most sockets that these threads use.
pub(in crate::node) const SOCKETS: usize = 2 * THREADS;
/// A call that has waited for longer is given up unsent: behind calls that hang, its
/// worker would get no commands for too long.
const MAX_QUEUE_TIME: Span = Span(1_000_000);

/// Commands for a worker.
pub struct DirectCall {
    /// When the scheduler gave them out.
    pub since: Time,
    /// The leadership that they come from.
    pub epoch: Epoch,
    /// Its number, by which the scheduler knows the result.
    pub call: CallId,
    /// The worker's machine.
    pub host: Host,
    /// Where the worker listens.
    pub addr: String,
    /// What it is to do.
    pub orders: Commands,
}

/// Starts the threads; they end with the sender.
pub(in crate::node) fn start(clock: Clock, inbox: &Sender<Msg>) -> Sender<DirectCall> {
    let (sender, calls) = unbounded();
    let client = Arc::new(WorkerClient::new());
    for _ in 0..THREADS {
        let (calls, inbox, client) = (calls.clone(), inbox.clone(), client.clone());
        spawn("agent", move || serve(&calls, &inbox, &client, clock));
    }
    sender
}

fn serve(calls: &Receiver<DirectCall>, inbox: &Sender<Msg>, client: &WorkerClient, clock: Clock) {
    for call in calls {
        let result = if clock.now() - call.since > MAX_QUEUE_TIME {
            DirectResult::Unsent
        } else {
            client.send_orders(&call.addr, &call.orders)
        };
        let event = Event::Direct(call.call, call.host, result);
        if inbox.send(Msg::Event(call.epoch, event)).is_err() {
            return;
        }
    }
}
