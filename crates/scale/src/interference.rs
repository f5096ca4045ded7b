//! What stands between the controllers and the stand-ins: messages are held back,
//! refused, lost or repeated here, and each time is counted.

use crate::http::{Request, Response};
use rand::RngExt;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What a held message waits between two looks whether it may go on.
pub(crate) const HELD_LOOK: Duration = Duration::from_millis(10);
/// A late write is carried out between these two times after it was sent.
const LATE_WRITE_S: std::ops::Range<f64> = 2.0..8.0;
/// A late command is carried out between these two times after it was sent.
const LATE_COMMAND_S: std::ops::Range<f64> = 2.0..8.0;
/// A command arrives once more between these two times after it was carried out.
const REPEATED_COMMAND_S: std::ops::Range<f64> = 0.3..20.0;
/// A copy of a report is delivered between these two times after it was sent.
const LATE_COPY_S: std::ops::Range<f64> = 2.0..20.0;
/// Reports that are kept for the next leader at the most.
const MAX_KEPT_REPORTS: usize = 200;

/// A way in which something goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TroubleKind {
    /// Controllers end, and are started again within a second.
    Restart,
    /// All controllers end, and are started again later, also after longer than a lease.
    AllAway,
    /// A controller stands still while its clocks run on.
    Pause,
    /// What one controller sends to another is held, and delivered afterwards.
    LinkHeld,
    /// Controllers refuse each other's connections; those that are open break.
    LinksRefused,
    /// The workers of a zone reach no controller.
    ZoneCut,
    /// Machines end with all that is on them.
    MachinesEnd,
    /// The state service answers slowly.
    StateSlow,
    /// The state service refuses one controller.
    StateRefusesOne,
    /// The state service refuses everybody.
    StateOut,
    /// Transactions are carried out, and their answers are lost.
    AnswersLost,
    /// Transactions get no answer and are carried out seconds later.
    LateWrites,
    /// Copies of workers' reports arrive seconds later.
    LateReports,
    /// Copies of workers' reports reach every controller once the next one leads.
    KeptReports,
    /// Direct commands get no answer and are carried out seconds later.
    LateCommands,
    /// Direct commands that were carried out and answered arrive once more, seconds later.
    RepeatedCommands,
    /// The cloud refuses everybody.
    CloudOut,
}

impl TroubleKind {
    /// All kinds.
    pub const ALL: [TroubleKind; 17] = [
        TroubleKind::Restart,
        TroubleKind::AllAway,
        TroubleKind::Pause,
        TroubleKind::LinkHeld,
        TroubleKind::LinksRefused,
        TroubleKind::ZoneCut,
        TroubleKind::MachinesEnd,
        TroubleKind::StateSlow,
        TroubleKind::StateRefusesOne,
        TroubleKind::StateOut,
        TroubleKind::AnswersLost,
        TroubleKind::LateWrites,
        TroubleKind::LateReports,
        TroubleKind::KeptReports,
        TroubleKind::LateCommands,
        TroubleKind::RepeatedCommands,
        TroubleKind::CloudOut,
    ];

    /// Its name in options and figures.
    pub const fn name(self) -> &'static str {
        match self {
            TroubleKind::Restart => "restart",
            TroubleKind::AllAway => "all_away",
            TroubleKind::Pause => "pause",
            TroubleKind::LinkHeld => "link_held",
            TroubleKind::LinksRefused => "links_refused",
            TroubleKind::ZoneCut => "zone_cut",
            TroubleKind::MachinesEnd => "machines_end",
            TroubleKind::StateSlow => "state_slow",
            TroubleKind::StateRefusesOne => "state_refuses_one",
            TroubleKind::StateOut => "state_out",
            TroubleKind::AnswersLost => "answers_lost",
            TroubleKind::LateWrites => "late_writes",
            TroubleKind::LateReports => "late_reports",
            TroubleKind::KeptReports => "kept_reports",
            TroubleKind::LateCommands => "late_commands",
            TroubleKind::RepeatedCommands => "repeated_commands",
            TroubleKind::CloudOut => "cloud_out",
        }
    }
}

/// What the state service does to one controller's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StateTrouble {
    /// Requests take so much longer.
    Slow(Duration),
    /// Requests are refused with 503; which trouble that is counted as.
    Refusing(TroubleKind),
    /// This share of the transactions is carried out without an answer.
    AnswersLost(f64),
    /// This share gets no answer and is carried out later.
    LateWrites(f64),
}

/// A copy of a report, to be delivered later.
#[derive(Debug)]
pub struct LateCopy {
    /// When it is delivered.
    pub due: Instant,
    /// To which controller.
    pub to: SocketAddr,
    /// The request as it was sent.
    pub bytes: Vec<u8>,
    /// The trouble that it is part of.
    pub trouble: TroubleKind,
}

#[derive(Default)]
struct Present {
    held_links: HashSet<(usize, usize)>,
    links_refused: bool,
    state: HashMap<usize, StateTrouble>,
    /// Share of the reports that are copied.
    copied_reports: f64,
    copies: Vec<LateCopy>,
    /// Share of the reports that are kept for the next leader.
    kept_reports: f64,
    /// These reports, the oldest first.
    kept: VecDeque<Vec<u8>>,
    /// Share of the direct commands that are held up.
    late_commands: f64,
    /// Share of the direct commands that arrive once more.
    repeated_commands: f64,
    cloud_out: bool,
    effects: BTreeMap<TroubleKind, u64>,
}

impl Present {
    /// Keeps a copy of a report, in place of the oldest one if there are many.
    fn keep(&mut self, bytes: &[u8]) {
        if self.kept.len() >= MAX_KEPT_REPORTS {
            self.kept.pop_front();
        }
        self.kept.push_back(bytes.to_vec());
    }
}

/// The troubles that are present, and how often each has taken effect.
#[derive(Default)]
pub struct Interference {
    present: Mutex<Present>,
}

impl Interference {
    fn present(&self) -> MutexGuard<'_, Present> {
        self.present.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A trouble has taken effect once more.
    pub fn count(&self, kind: TroubleKind) {
        *self.present().effects.entry(kind).or_default() += 1;
    }

    /// How often each kind has taken effect.
    pub fn effects(&self) -> BTreeMap<TroubleKind, u64> {
        self.present().effects.clone()
    }

    /// Begins or ends to hold what `from` sends to `to`.
    pub fn hold_link(&self, from: usize, to: usize, held: bool) {
        let links = &mut self.present().held_links;
        match held {
            true => links.insert((from, to)),
            false => links.remove(&(from, to)),
        };
    }

    /// What `from` sends to `to` is held at present.
    pub fn is_held(&self, from: usize, to: usize) -> bool {
        self.present().held_links.contains(&(from, to))
    }

    /// Begins or ends to refuse connections between controllers.
    pub fn refuse_links(&self, refused: bool) {
        self.present().links_refused = refused;
    }

    /// Connections between controllers are refused at present.
    pub fn refuses_links(&self) -> bool {
        self.present().links_refused
    }

    /// Sets what the state service does to a controller; none: it serves it.
    pub fn set_state(&self, controller: usize, trouble: Option<StateTrouble>) {
        let state = &mut self.present().state;
        match trouble {
            Some(trouble) => state.insert(controller, trouble),
            None => state.remove(&controller),
        };
    }

    /// Sets the share of reports of which a copy arrives later.
    pub fn copy_reports(&self, share: f64) {
        self.present().copied_reports = share;
    }

    /// A report is sent to that address; a copy of it may arrive later.
    pub fn report_sent(&self, to: SocketAddr, bytes: &[u8]) {
        let mut present = self.present();
        if is_drawn(present.kept_reports) {
            present.keep(bytes);
        }
        let Some(delay) = draw_delay(present.copied_reports, LATE_COPY_S) else {
            return;
        };
        let copy = LateCopy {
            due: Instant::now() + delay,
            to,
            bytes: bytes.to_vec(),
            trouble: TroubleKind::LateReports,
        };
        present.copies.push(copy);
    }

    /// Sets the share of reports of which a copy is kept for the next leader.
    pub fn keep_reports(&self, share: f64) {
        self.present().kept_reports = share;
    }

    /// Another controller leads: the copies kept for it are due at each of these addresses.
    pub fn leader_changed(&self, controllers: &[SocketAddr]) {
        let mut present = self.present();
        let due = Instant::now();
        for bytes in std::mem::take(&mut present.kept) {
            let copies = controllers.iter().map(|to| LateCopy {
                due,
                to: *to,
                bytes: bytes.clone(),
                trouble: TroubleKind::KeptReports,
            });
            present.copies.extend(copies);
        }
    }

    /// Sets the share of direct commands that are held up.
    pub fn delay_commands(&self, share: f64) {
        self.present().late_commands = share;
    }

    /// How long a command that has just come is held up, if it is.
    pub fn command_delay(&self) -> Option<Duration> {
        let share = self.present().late_commands;
        let delay = draw_delay(share, LATE_COMMAND_S)?;
        self.count(TroubleKind::LateCommands);
        Some(delay)
    }

    /// Sets the share of direct commands that arrive once more after they were carried out.
    pub fn repeat_commands(&self, share: f64) {
        self.present().repeated_commands = share;
    }

    /// After how long a command that was just carried out arrives once more, if it does.
    pub fn repetition_delay(&self) -> Option<Duration> {
        let share = self.present().repeated_commands;
        draw_delay(share, REPEATED_COMMAND_S)
    }

    /// Begins or ends an outage of the cloud.
    pub fn set_cloud_out(&self, out: bool) {
        self.present().cloud_out = out;
    }

    /// The cloud's answer, or a refusal during an outage.
    pub fn cloud_answer(&self, answer: impl FnOnce() -> Response) -> Response {
        let is_out = self.present().cloud_out;
        if is_out {
            self.count(TroubleKind::CloudOut);
            return Response::error(503, "trouble");
        }
        answer()
    }

    /// Copies that are due by now.
    pub fn due_copies(&self, now: Instant) -> Vec<LateCopy> {
        let copies = &mut self.present().copies;
        let (due, later) = std::mem::take(copies)
            .into_iter()
            .partition(|c| c.due <= now);
        *copies = later;
        due
    }

    /// The state service's answer to a controller's request, or none if it is lost.
    pub fn state_answer(
        self: &Arc<Self>,
        controller: usize,
        request: &Request,
        answer: Arc<dyn Fn(&Request) -> Response + Send + Sync>,
    ) -> Option<Response> {
        let trouble = self.present().state.get(&controller).copied();
        let is_txn = request.path.ends_with("/txn");
        let happens = |share: f64| is_txn && rand::rng().random_bool(share);
        match trouble {
            Some(StateTrouble::Slow(delay)) => {
                self.count(TroubleKind::StateSlow);
                std::thread::sleep(delay);
                Some(answer(request))
            }
            Some(StateTrouble::Refusing(kind)) => {
                self.count(kind);
                Some(Response::error(503, "trouble"))
            }
            Some(StateTrouble::AnswersLost(share)) if happens(share) => {
                self.count(TroubleKind::AnswersLost);
                answer(request);
                None
            }
            Some(StateTrouble::LateWrites(share)) if happens(share) => {
                self.count(TroubleKind::LateWrites);
                carry_out_later(request.clone(), answer);
                None
            }
            _ => Some(answer(request)),
        }
    }
}

/// A delay between these two times, in seconds, for this share of the messages.
fn draw_delay(share: f64, range_s: std::ops::Range<f64>) -> Option<Duration> {
    is_drawn(share).then(|| Duration::from_secs_f64(rand::rng().random_range(range_s)))
}

/// Whether a message is one of this share.
fn is_drawn(share: f64) -> bool {
    share > 0.0 && rand::rng().random_bool(share)
}

fn carry_out_later(request: Request, answer: Arc<dyn Fn(&Request) -> Response + Send + Sync>) {
    let late = Duration::from_secs_f64(rand::rng().random_range(LATE_WRITE_S));
    let thread = std::thread::Builder::new().name("late-write".into());
    let _ = thread.spawn(move || {
        std::thread::sleep(late);
        answer(&request);
    });
}
