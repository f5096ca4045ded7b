//! A request that waits for the service's answer. It holds no thread: the answer
//! hands the connection to the pool.

use crate::connection::{AnsweredRequest, Connection, TakenRequest, Work};
use crate::shared::Shared;
use crate::{Answer, Service};
use std::sync::{Arc, Mutex, MutexGuard, Weak};

/// Takes the answer to one request, once.
pub(crate) trait AnswerSink: Send + Sync {
    /// Never blocks; answers after the first are dropped.
    fn deliver(&self, answer: Answer);
}

enum State<R> {
    /// The service has the request, and its thread is not done with it yet.
    Handling,
    /// Answered while the thread was not done yet.
    Answered(Answer),
    Waiting(Box<(Connection<R>, TakenRequest)>),
    Done,
}

pub(crate) struct PendingAnswer<S: Service> {
    server: Weak<Shared<S>>,
    state: Mutex<State<S::Request>>,
}

impl<S: Service> PendingAnswer<S> {
    pub fn new(shared: &Arc<Shared<S>>) -> Arc<PendingAnswer<S>> {
        Arc::new(PendingAnswer {
            server: Arc::downgrade(shared),
            state: Mutex::new(State::Handling),
        })
    }

    fn state(&self) -> MutexGuard<'_, State<S::Request>> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Keeps the connection until the answer is there; gives it back if it already is.
    pub fn park(
        self: &Arc<Self>,
        shared: &Shared<S>,
        connection: Connection<S::Request>,
        request: TakenRequest,
    ) -> Option<AnsweredRequest<S::Request>> {
        let mut state = self.state();
        match std::mem::replace(&mut *state, State::Done) {
            State::Answered(answer) => Some(AnsweredRequest {
                connection,
                request,
                answer,
            }),
            State::Handling | State::Waiting(_) | State::Done => {
                shared.pending(request.asked, connection.id, self.clone());
                *state = State::Waiting(Box::new((connection, request)));
                None
            }
        }
    }
}

impl<S: Service> AnswerSink for PendingAnswer<S> {
    fn deliver(&self, answer: Answer) {
        let mut state = self.state();
        let waiting = match std::mem::replace(&mut *state, State::Done) {
            State::Handling => {
                *state = State::Answered(answer);
                return;
            }
            State::Waiting(waiting) => waiting,
            earlier @ (State::Answered(_) | State::Done) => {
                *state = earlier;
                return;
            }
        };
        drop(state);
        let Some(server) = self.server.upgrade() else {
            return;
        };
        let (connection, request) = *waiting;
        server.submit(Work::Respond(Box::new(AnsweredRequest {
            connection,
            request,
            answer,
        })));
    }
}
