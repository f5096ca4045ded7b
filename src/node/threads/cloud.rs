//! The thread that talks to the cloud: rents and returns machines, and as the leader
//! lists those there are, within the cloud's limit on requests.

use crate::cloud::CloudClient;
use crate::ids::{Epoch, Host};
use crate::node::{Msg, spawn};
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
const FLAVORS_INTERVAL: Span = Span(60_000_000);
/// The same after a request that failed.
const FLAVORS_RETRY_INTERVAL: Span = Span(1_000_000);
/// Share of the cloud's limit on requests that is used.
const RATE_SHARE: f64 = 0.9;
/// How often a full budget is looked at again.
const BUDGET_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How often the thread looks whether this controller leads.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// Stands for no leadership in the shared epoch.
const NOT_LEADING: Epoch = Epoch(0);

/// What the main loop wants done; requests of an earlier leadership are dropped.
pub enum CloudRequest {
    /// Rents a machine.
    Rent(Epoch, RentalRequest),
    /// Returns machines.
    Return(Epoch, Vec<Host>),
    /// A new leader wants to know the machines and their types at once.
    Refresh,
}

/// Starts the thread; it ends with the sender. `leading` holds the epoch of this
/// controller's leadership, or zero.
pub(in crate::node) fn start(
    settings: &Settings,
    clock: Clock,
    leading: Arc<AtomicU64>,
    inbox: Sender<Msg>,
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
        list_at: clock.now(),
        flavors_at: clock.now(),
    };
    spawn("cloud", move || thread.run());
    sender
}

struct CloudThread {
    client: CloudClient,
    clock: Clock,
    leading: Arc<AtomicU64>,
    requests: Receiver<CloudRequest>,
    inbox: Sender<Msg>,
    budget: Budget,
    list_at: Time,
    flavors_at: Time,
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
            // Followers know them too, so that a failover need not ask first.
            if now >= self.flavors_at {
                self.fetch_flavors(now);
            }
            if epoch != NOT_LEADING && now >= self.list_at {
                self.list_at = now + LIST_INTERVAL;
                self.list_machines(epoch);
            }
        }
    }

    fn max_wait(&self, epoch: Epoch) -> Duration {
        if epoch == NOT_LEADING {
            return MAX_WAIT;
        }
        (self.list_at - self.clock.now()).std().min(MAX_WAIT)
    }

    fn carry_out(&mut self, now: Time, epoch: Epoch, request: CloudRequest) {
        match request {
            CloudRequest::Rent(of, hire) if of == epoch => {
                self.wait_for_budget();
                let result = self.client.rent(&hire);
                self.send(epoch, Event::Hired(hire, result));
            }
            CloudRequest::Return(of, hosts) if of == epoch => {
                self.wait_for_budget();
                let returned = self.client.return_machines(&hosts);
                self.send(epoch, Event::Released(hosts, returned));
            }
            CloudRequest::Refresh => {
                self.list_at = now;
                self.flavors_at = now;
            }
            CloudRequest::Rent(..) | CloudRequest::Return(..) => {}
        }
    }

    fn fetch_flavors(&mut self, now: Time) {
        self.wait_for_budget();
        let Some(flavors) = self.client.flavors() else {
            self.flavors_at = now + FLAVORS_RETRY_INTERVAL;
            return;
        };
        self.flavors_at = now + FLAVORS_INTERVAL;
        let _ = self.inbox.send(Msg::Flavors(flavors));
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
        let _ = self.inbox.send(Msg::Event(epoch, event));
    }
}
