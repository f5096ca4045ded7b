//! The order in which the main loop takes what has arrived. Heartbeats are by far the
//! most messages. In a line of their own they never hold up users' requests, nor the
//! results of this controller's calls, when they come faster than they are handled.

use crossbeam_channel::{Receiver, Sender, bounded};

/// The sending side of the two lines.
pub struct InboxSenders<M> {
    /// Workers' heartbeats, from here or passed on by another controller.
    pub heartbeats: Sender<M>,
    /// Everything else.
    pub others: Sender<M>,
}

/// The receiving side. While both lines have messages, each gets every other turn, so
/// that neither can keep the other waiting.
pub struct Inbox<M> {
    /// Workers' heartbeats.
    pub heartbeats: Receiver<M>,
    /// Everything else.
    pub others: Receiver<M>,
    heartbeat_is_next: bool,
}

/// Both sides of an inbox; each line holds `capacity` messages, then senders wait.
pub fn inbox<M>(capacity: usize) -> (InboxSenders<M>, Inbox<M>) {
    let (heartbeats, heartbeat_receiver) = bounded(capacity);
    let (others, other_receiver) = bounded(capacity);
    let receiving = Inbox {
        heartbeats: heartbeat_receiver,
        others: other_receiver,
        heartbeat_is_next: false,
    };
    (InboxSenders { heartbeats, others }, receiving)
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

    /// Messages that wait, heartbeats among them.
    pub fn waiting(&self) -> usize {
        self.heartbeats.len() + self.others.len()
    }
}
