//! A user's connection to a controller, and what its answers say of a job.

use crate::counters::Counterpart;
use crate::http::{Client, Exchange};
use crate::judge::Answer;
use crate::standin::Shared;
use hookworks::wire::user::JobView;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Connections that are tried for a request.
const TRIES: usize = 3;

/// A thread's connection to a controller.
pub(super) struct Caller {
    controller: usize,
    client: Option<Client>,
}

impl Caller {
    pub fn new(controller: usize) -> Caller {
        Caller {
            controller,
            client: None,
        }
    }

    /// Sends a request to a controller that accepts connections; none if there was
    /// no whole response in time.
    pub fn call(
        &mut self,
        shared: &Shared,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Option<Exchange> {
        for _ in 0..TRIES {
            self.connect(shared);
            let Some(client) = self.client.as_mut() else {
                self.next_controller(shared);
                continue;
            };
            let exchange = client.call(method, path, body, timeout).ok();
            if let Some(e) = &exchange {
                let counters = &shared.counters;
                counters.add(self.controller, Counterpart::Users, e.sent, e.received);
            }
            if exchange.as_ref().is_none_or(|e| e.response.close) {
                self.next_controller(shared);
            }
            return exchange;
        }
        None
    }

    fn connect(&mut self, shared: &Shared) {
        if self.client.is_none() {
            let address = shared.layout.controller(self.controller);
            self.client = Client::connect(address, CONNECT_TIMEOUT).ok();
        }
    }

    fn next_controller(&mut self, shared: &Shared) {
        self.client = None;
        self.controller = (self.controller + 1) % shared.layout.controllers;
    }
}

/// What an exchange says of a job; `refusals` are statuses that refuse it for good.
pub(super) fn answer_of(exchange: Option<&Exchange>, refusals: &[u16]) -> Answer {
    let Some(e) = exchange else {
        return Answer::Missing;
    };
    match e.response.status {
        200 | 201 => match serde_json::from_slice::<JobView>(&e.response.body) {
            Ok(view) => Answer::State(view.state),
            Err(_) => Answer::Missing,
        },
        404 => Answer::NotFound,
        status if refusals.contains(&status) => Answer::Refused,
        _ => Answer::Missing,
    }
}
