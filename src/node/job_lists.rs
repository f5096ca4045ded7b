//! Lists of jobs, answered by a thread of their own.

use super::{Message, spawn};
use crate::api::SharedStatus;
use crate::ids::{JobId, RequestId};
use crate::sched::detail_of_record;
use crate::settings::Settings;
use crate::store::budget::Budget;
use crate::store::client::StateStore;
use crate::store::{FINALS_PREFIX, StateClient, final_key};
use crate::time::Clock;
use crate::wire::peer::Answer;
use crossbeam_channel::{Sender, bounded};
use hookworks_listing::{Mark, Page, Position, Query, rows};
use std::sync::Arc;
use std::time::Duration;

/// A request for a list.
pub enum ListRequest {
    /// A page of jobs.
    Page(Query),
    /// The changes since a mark.
    Changes(Option<Mark>),
}

/// Length of the queue of list requests.
const MAX_QUEUED_LISTS: usize = 64;
/// Share of the state service's request rate that lists may use.
const LIST_RATE_SHARE: f64 = 0.05;
/// The most pages of records read for one list.
const MAX_READS_PER_LIST: usize = 3;

/// Starts the thread that answers lists: unfinished jobs from what the main loop
/// publishes, finished ones from the state service within a request budget of its own.
pub fn start(
    settings: &Settings,
    clock: Clock,
    shared: Arc<SharedStatus>,
    inbox: Sender<Message>,
) -> Sender<(RequestId, ListRequest)> {
    let (sender, requests) = bounded::<(RequestId, ListRequest)>(MAX_QUEUED_LISTS);
    let state = StateClient::new(
        settings.platform.services.state,
        Duration::from_millis(1200),
    );
    let rps = settings.platform.params.state.rps * LIST_RATE_SHARE;
    let mut budget = Budget::new(rps, (2.0 * rps).max(MAX_READS_PER_LIST as f64));
    spawn("lists", move || {
        for (req, list_request) in requests {
            let later = || Answer::later("leadership is not proven at the moment", 1);
            let answer = match list_request {
                ListRequest::Changes(mark) => shared.changes(mark).unwrap_or_else(later),
                ListRequest::Page(query) if query.wants_unfinished() => {
                    shared.page(&query).unwrap_or_else(later)
                }
                ListRequest::Page(query) => finished_page(&state, &mut budget, clock, &query),
            };
            if inbox.send(Message::ListReady(req, answer)).is_err() {
                return;
            }
        }
    });
    sender
}

/// Reads a page of finished jobs. It may hold few or no jobs although more follow, as
/// the number of reads per list is limited.
pub fn finished_page(
    state: &impl StateStore,
    budget: &mut Budget,
    clock: Clock,
    query: &Query,
) -> Answer {
    let mut page = Page::default();
    let mut after = match &query.after {
        Some(Position::Finished(id)) if !id.is_empty() => Some(final_key(&id.as_str().into())),
        _ => None,
    };
    for _ in 0..MAX_READS_PER_LIST {
        if !budget.has(clock.now(), 1.0) {
            if page.jobs.is_empty() {
                return Answer::later("too many lists for the state service", 1);
            }
            break;
        }
        budget.take(clock.now(), 1.0);
        let Ok(read) = state.page(FINALS_PREFIX, after.as_deref(), 200) else {
            return Answer::later("the state service does not answer", 1);
        };
        let end = !read.more;
        for item in read.items {
            if page.jobs.len() == query.page {
                break;
            }
            let id = JobId::from(item.key.trim_start_matches(FINALS_PREFIX));
            after = Some(item.key);
            let line = detail_of_record(&id, item.value).map(|d| d.into_line());
            page.jobs.extend(line.filter(|l| l.matches(query)));
        }
        if end && page.jobs.len() < query.page {
            after = None;
            break;
        }
        if page.jobs.len() == query.page {
            break;
        }
    }
    let id = |key: String| Position::Finished(key.trim_start_matches(FINALS_PREFIX).to_string());
    page.next = after.map(id);
    Answer::new(200, rows(&page))
}
