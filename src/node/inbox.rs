//! The order in which the main loop takes messages. Most messages are heartbeats. They
//! have a queue of their own, so that they never delay users' requests or the results of
//! this controller's calls when they arrive faster than they are handled.

use crossbeam_channel::{Receiver, Sender, bounded};

/// The sending side of the two queues.
pub struct InboxSenders<M> {
    /// Workers' heartbeats, received here or forwarded by another controller.
    pub heartbeats: Sender<M>,
    /// Everything else.
    pub others: Sender<M>,
}

/// The receiving side. While both queues have messages they alternate, so that neither
/// can starve the other.
pub struct Inbox<M> {
    /// Workers' heartbeats.
    pub heartbeats: Receiver<M>,
    /// Everything else.
    pub others: Receiver<M>,
    heartbeat_is_next: bool,
}

/// Creates both sides of an inbox. Each queue holds `capacity` messages; senders block
/// while it is full.
pub fn inbox<M>(capacity: usize) -> (InboxSenders<M>, Inbox<M>) {
    let (heartbeats, heartbeat_receiver) = bounded(capacity);
    let (others, other_receiver) = bounded(capacity);
    let receiver = Inbox {
        heartbeats: heartbeat_receiver,
        others: other_receiver,
        heartbeat_is_next: false,
    };
    (InboxSenders { heartbeats, others }, receiver)
}

impl<M> Inbox<M> {
    /// The next message, if any has arrived.
    pub fn try_next(&mut self) -> Option<M> {
        let (first, second) = match self.heartbeat_is_next {
            true => (&self.heartbeats, &self.others),
            false => (&self.others, &self.heartbeats),
        };
        self.heartbeat_is_next = !self.heartbeat_is_next;
        first.try_recv().or_else(|_| second.try_recv()).ok()
    }

    /// Number of queued messages, including heartbeats.
    pub fn waiting(&self) -> usize {
        self.heartbeats.len() + self.others.len()
    }
}
