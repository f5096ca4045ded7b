//! Threads that make reads and transactions of the state service.

use crate::ids::{Epoch, JobId, RequestId, TxnId};
use crate::node::{Message, final_of, key_of_final, spawn};
use crate::sched::Event;
use crate::sched::job::Final;
use crate::settings::Settings;
use crate::store::StateClient;
use crate::store::client::StateStore;
use crate::wire::state::{Item, Txn};
use crossbeam_channel::{Receiver, Sender, unbounded};
use std::time::Duration;

/// The number of concurrent requests.
const THREADS: usize = 8;
/// The most sockets that these threads use.
pub(in crate::node) const SOCKETS: usize = THREADS;
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Delay before the failed read of a key is reported to the main loop, which retries it.
const PAUSE_AFTER_FAILED_READ_BACK: Duration = Duration::from_millis(200);

/// A request of the main loop.
pub enum StateRequest {
    /// Commits a transaction of the leadership with that epoch.
    Commit(Epoch, TxnId, Txn),
    /// Reads a key whose write had an unclear outcome.
    ReadBack(Epoch, String),
    /// Reads the final state of a job that the leader does not hold in memory.
    ReadFinal(Epoch, JobId),
    /// Reads the whole record of a finished job, for the leader's answer.
    ReadRecord(Epoch, RequestId, JobId),
    /// Reads a final state for a poll while no leader is reachable.
    LookUpFinal(RequestId, JobId),
}

/// Starts the threads; they end with the sender.
pub(in crate::node) fn start(settings: &Settings, inbox: &Sender<Message>) -> Sender<StateRequest> {
    let (sender, requests) = unbounded();
    let client = StateClient::new(settings.platform.services.state, REQUEST_TIMEOUT);
    for _ in 0..THREADS {
        let (requests, inbox, client) = (requests.clone(), inbox.clone(), client.clone());
        spawn("store", move || serve(&requests, &inbox, &client));
    }
    sender
}

fn serve(requests: &Receiver<StateRequest>, inbox: &Sender<Message>, client: &StateClient) {
    for request in requests {
        if inbox.send(carry_out(request, client)).is_err() {
            return;
        }
    }
}

fn carry_out(request: StateRequest, client: &StateClient) -> Message {
    match request {
        StateRequest::Commit(epoch, id, txn) => Message::Txn(epoch, id, client.txn(&txn)),
        StateRequest::ReadBack(epoch, key) => {
            let item = client.get(&key);
            if item.is_err() {
                std::thread::sleep(PAUSE_AFTER_FAILED_READ_BACK);
            }
            Message::ReadBack(epoch, key, item)
        }
        StateRequest::ReadFinal(epoch, id) => {
            let state = read_final(client, &id);
            Message::Event(epoch, Event::FinalRead(id, state))
        }
        StateRequest::ReadRecord(epoch, req, id) => {
            let record = read_final_item(client, &id).map(|item| item.map(|i| i.value));
            Message::Event(epoch, Event::RecordRead(req, id, record))
        }
        StateRequest::LookUpFinal(req, id) => {
            let state = read_final(client, &id);
            Message::FinalRead(req, id, state)
        }
    }
}

fn read_final(client: &StateClient, id: &JobId) -> Result<Option<Final>, ()> {
    read_final_item(client, id).and_then(final_of)
}

fn read_final_item(client: &StateClient, id: &JobId) -> Result<Option<Item>, ()> {
    client.get(&key_of_final(id)).map_err(|_| ())
}
