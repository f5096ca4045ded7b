//! The thread that calls the cloud: rents and returns machines, and lists the rented ones
//! while this controller leads, within the cloud's rate limit.

use crate::cloud::CloudClient;
use crate::ids::{Epoch, Host};
use crate::node::{Message, spawn};
use crate::sched::Event;
use crate::settings::Settings;
use crate::store::budget::Budget;
use crate::time::{Clock, Span, Time};
use crate::wire::cloud::RentalRequest;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The most sockets that this thread uses.
pub(in crate::node) const SOCKETS: usize = 4;
const LIST_INTERVAL: Span = Span(5_000_000);
const MACHINE_TYPES_INTERVAL: Span = Span(60_000_000);
/// The same after a failed request.
const MACHINE_TYPES_RETRY_INTERVAL: Span = Span(1_000_000);
/// Share of the cloud's rate limit that is used.
const RATE_SHARE: f64 = 0.9;
/// How often an exhausted budget is checked again.
const BUDGET_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How often the thread checks whether this controller leads.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// The value of the shared epoch while this controller does not lead.
const NOT_LEADING: Epoch = Epoch(0);

/// A request of the main loop; those of an earlier leadership are dropped.
pub enum CloudRequest {
    /// Rents a machine.
    Rent(Epoch, RentalRequest),
    /// Returns machines.
    Return(Epoch, Vec<Host>),
    /// Lists the machines and their types at once, for a new leader.
    Refresh,
}

/// Starts the thread; it ends with the sender. `leading` holds the epoch of this
/// controller's leadership, or zero.
pub(in crate::node) fn start(
    settings: &Settings,
    clock: Clock,
    leading: Arc<AtomicU64>,
    inbox: Sender<Message>,
) -> Sender<CloudRequest> {
    let (sender, requests) = unbounded();
    let rate = settings.platform.params.cloud.rps;
    let thread = CloudThread {
        client: CloudClient::new(settings.platform.services.cloud),
        clock,
        leading,
        requests,
        inbox,
        budget: Budget::new(rate * RATE_SHARE, rate),
        list_due: clock.now(),
        machine_types_due: clock.now(),
    };
    spawn("cloud", move || thread.run());
    sender
}

struct CloudThread {
    client: CloudClient,
    clock: Clock,
    leading: Arc<AtomicU64>,
    requests: Receiver<CloudRequest>,
    inbox: Sender<Message>,
    budget: Budget,
    list_due: Time,
    machine_types_due: Time,
}

impl CloudThread {
    fn run(mut self) {
        loop {
            let epoch = Epoch(self.leading.load(Ordering::SeqCst));
            let request = self.requests.recv_timeout(self.max_wait(epoch));
            let now = self.clock.now();
            match request {
                Ok(request) => self.carry_out(now, epoch, request),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // Followers fetch machine types too, so that a new leader has them at once.
            if now >= self.machine_types_due {
                self.fetch_machine_types(now);
            }
            if epoch != NOT_LEADING && now >= self.list_due {
                self.list_due = now + LIST_INTERVAL;
                self.list_machines(epoch);
            }
        }
    }

    fn max_wait(&self, epoch: Epoch) -> Duration {
        if epoch == NOT_LEADING {
            return MAX_WAIT;
        }
        (self.list_due - self.clock.now()).std().min(MAX_WAIT)
    }

    fn carry_out(&mut self, now: Time, epoch: Epoch, request: CloudRequest) {
        match request {
            CloudRequest::Rent(request_epoch, rental) if request_epoch == epoch => {
                self.wait_for_budget();
                let result = self.client.rent(&rental);
                self.send(epoch, Event::RentalResult(rental, result));
            }
            CloudRequest::Return(request_epoch, hosts) if request_epoch == epoch => {
                self.wait_for_budget();
                let returned = self.client.return_machines(&hosts);
                self.send(epoch, Event::Released(hosts, returned));
            }
            CloudRequest::Refresh => {
                self.list_due = now;
                self.machine_types_due = now;
            }
            CloudRequest::Rent(..) | CloudRequest::Return(..) => {}
        }
    }

    fn fetch_machine_types(&mut self, now: Time) {
        self.wait_for_budget();
        let Some(machine_types) = self.client.machine_types() else {
            self.machine_types_due = now + MACHINE_TYPES_RETRY_INTERVAL;
            return;
        };
        self.machine_types_due = now + MACHINE_TYPES_INTERVAL;
        let _ = self.inbox.send(Message::MachineTypes(machine_types));
    }

    /// Reads the list of machines, page by page.
    fn list_machines(&mut self, epoch: Epoch) {
        let mut after: Option<Host> = None;
        loop {
            self.wait_for_budget();
            let Some(page) = self.client.machines(after.as_ref()) else {
                return;
            };
            after = page.hosts.last().map(|machine| machine.host.clone());
            self.send(epoch, Event::Listed(page.hosts));
            if !page.more || after.is_none() {
                return;
            }
        }
    }

    fn wait_for_budget(&mut self) {
        while !self.budget.has(self.clock.now(), 1.0) {
            std::thread::sleep(BUDGET_POLL_INTERVAL);
        }
        self.budget.take(self.clock.now(), 1.0);
    }

    fn send(&self, epoch: Epoch, event: Event) {
        let _ = self.inbox.send(Message::Event(epoch, event));
    }
}
