//! Pages of jobs, made by a thread of their own.

use super::{Msg, spawn};
use crate::api::Notice;
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

/// What somebody wants to read.
pub enum Wanted {
    Page(Query),
    Changes(Option<Mark>),
}

/// Lists that wait to be made.
const MAX_LISTS: usize = 64;
/// Share of the state service's requests that lists may take, and pages of
/// records read for one list at the most.
const LIST_SHARE: f64 = 0.05;
const LIST_READS: usize = 3;

/// Makes pages of jobs: of unfinished ones from what the main loop publishes,
/// of finished ones from the state service, within a budget of its own.
pub fn start(
    settings: &Settings,
    clock: Clock,
    notice: Arc<Notice>,
    inbox: Sender<Msg>,
) -> Sender<(RequestId, Wanted)> {
    let (tx, rx) = bounded::<(RequestId, Wanted)>(MAX_LISTS);
    let state = StateClient::new(
        settings.platform.services.state,
        Duration::from_millis(1200),
    );
    let rps = settings.platform.params.state.rps * LIST_SHARE;
    let mut budget = Budget::new(rps, (2.0 * rps).max(LIST_READS as f64));
    spawn("lists", move || {
        for (req, wanted) in rx {
            let later = || Answer::later("leadership is not proven at the moment", 1);
            let answer = match wanted {
                Wanted::Changes(mark) => notice.changes(mark).unwrap_or_else(later),
                Wanted::Page(q) if q.wants_unfinished() => notice.page(&q).unwrap_or_else(later),
                Wanted::Page(q) => finished(&state, &mut budget, clock, &q),
            };
            if inbox.send(Msg::Listed(req, answer)).is_err() {
                return;
            }
        }
    });
    tx
}

/// A page of finished jobs. It may hold few or none though more follow: one
/// list reads so much at a time and no more.
pub fn finished(state: &impl StateStore, budget: &mut Budget, clock: Clock, q: &Query) -> Answer {
    let mut page = Page::default();
    let mut after = match &q.after {
        Some(Position::Finished(id)) if !id.is_empty() => Some(final_key(&id.as_str().into())),
        _ => None,
    };
    for _ in 0..LIST_READS {
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
        for i in read.items {
            if page.jobs.len() == q.page {
                break;
            }
            let id = JobId::from(i.key.trim_start_matches(FINALS_PREFIX));
            after = Some(i.key);
            let line = detail_of_record(&id, i.value).map(|d| d.into_line());
            page.jobs.extend(line.filter(|l| l.matches(q)));
        }
        if end && page.jobs.len() < q.page {
            after = None;
            break;
        }
        if page.jobs.len() == q.page {
            break;
        }
    }
    let id = |key: String| Position::Finished(key.trim_start_matches(FINALS_PREFIX).to_string());
    page.next = after.map(id);
    Answer::new(200, rows(&page))
}
