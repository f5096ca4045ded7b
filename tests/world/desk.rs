//! A scheduler on its own, with its store written by hand: for stories in
//! which every step counts.

use super::{flavor, settings};
use hookworks::ids::*;
use hookworks::sched::job::Job;
use hookworks::sched::{Config, DirectResult, Effect, Event, FenceRecord, Key, Scheduler};
use hookworks::time::{Span, Time, WallTime};
use hookworks::wire::cloud::ListedHost;
use hookworks::wire::peer::{Answer, Request};
use hookworks::wire::user::JobSpec;
use hookworks::wire::worker::*;
use std::collections::BTreeMap;

pub struct Desk {
    pub s: Scheduler,
    pub now: u64,
    pub fx: Vec<Effect>,
    /// The state service accepts at once.
    pub stores: bool,
    /// Leadership is proven all the time.
    pub proves: bool,
    /// Workers refuse connections, so all goes by reports.
    pub refuses: bool,
    /// The cloud lists whoever reports.
    pub lists: bool,
    /// Workers take the tokens that they are answered with, and tell them again.
    pub hear: bool,
    tokens: BTreeMap<Host, Token>,
    /// Records written so far.
    pub written: usize,
    next_req: u64,
}

impl Desk {
    pub fn new(epoch: u64) -> Desk {
        Desk::with(epoch, vec![])
    }

    pub fn with(epoch: u64, jobs: Vec<Job>) -> Desk {
        Desk::set_up(epoch, jobs, |_| {})
    }

    /// A term that finds zones on record as not answered.
    pub fn fenced(epoch: u64, jobs: Vec<Job>, fences: FenceRecord) -> Desk {
        Desk::begin(epoch, jobs, Some(fences), |_| {})
    }

    /// With other settings than usual.
    pub fn set_up(epoch: u64, jobs: Vec<Job>, change: impl Fn(&mut Config)) -> Desk {
        Desk::begin(epoch, jobs, None, change)
    }

    fn begin(
        epoch: u64,
        jobs: Vec<Job>,
        fences: Option<FenceRecord>,
        change: impl Fn(&mut Config),
    ) -> Desk {
        let now = 4_000_000_000;
        let mut cfg = Config::from(&settings("x"));
        // Each event leads to all that follows from it.
        cfg.pass_interval = Span::ZERO;
        cfg.heartbeat_hold = Span::ZERO;
        change(&mut cfg);
        let mut s = Scheduler::new(cfg, Epoch(epoch), Time(now), Time(now), WallTime(1_000_000));
        if let Some(f) = fences {
            s.load_fences(Time(now), WallTime(1_000_000), f);
        }
        s.load(Time(now), jobs, Default::default());
        let mut d = Desk {
            s,
            now,
            fx: vec![],
            stores: true,
            proves: true,
            refuses: false,
            lists: true,
            hear: true,
            tokens: BTreeMap::new(),
            written: 0,
            next_req: 1,
        };
        d.event(Event::MachineTypes(vec![flavor()]));
        d
    }

    pub fn event(&mut self, e: Event) {
        if self.proves {
            self.s
                .handle(Time(self.now), Event::LeadershipConfirmed(Time(self.now)));
        }
        let fx = self.s.handle(Time(self.now), e);
        self.fx.extend(fx);
        if self.stores {
            self.store();
        }
        if self.refuses {
            for (call, host, _) in self.direct() {
                self.event(Event::Direct(call, host, DirectResult::Refused));
            }
        }
    }

    /// Everything that waits to be written is.
    pub fn store(&mut self) {
        while self.store_one() {}
    }

    /// Only what waits first, not what that leads to.
    pub fn store_one(&mut self) -> bool {
        while let Some(d) = self.s.write_queue.pop() {
            let (id, part) = (d.job, d.part);
            let Some(j) = self.s.jobs.get_mut(&id) else {
                continue;
            };
            if !j.dequeue_write(part, d.purpose) {
                continue;
            }
            self.written += 1;
            let ver = j.parts[part].version;
            let key = match j.closing_state {
                Some(_) => Key::Final(id),
                None => Key::Part(id, part),
            };
            let fx = self.s.handle(Time(self.now), Event::Stored(key, ver));
            self.fx.extend(fx);
            return true;
        }
        false
    }

    pub fn wait(&mut self, seconds: f64) {
        let end = self.now + (seconds * 1e6) as u64;
        while self.now < end {
            self.now = (self.now + 250_000).min(end);
            self.event(Event::Tick(WallTime(self.now / 1000)));
        }
    }

    pub fn ask(&mut self, ask: Request) -> RequestId {
        let req = RequestId(self.next_req);
        self.next_req += 1;
        self.event(Event::Ask(req, ask));
        req
    }

    pub fn submit(&mut self, j: &JobSpec) -> RequestId {
        self.ask(Request::Submit(serde_json::to_vec(j).unwrap()))
    }

    pub fn answer(&self, req: RequestId) -> Option<&Answer> {
        self.fx.iter().find_map(|f| match f {
            Effect::Answer(r, a) if *r == req => Some(a),
            _ => None,
        })
    }

    pub fn status(&self, req: RequestId) -> Option<u16> {
        self.answer(req).map(|a| a.status)
    }

    /// A worker's report; the answer's orders, or none if it was refused.
    pub fn beat(&mut self, r: &Report) -> Option<ReportResponse> {
        if self.lists {
            let listed = ListedHost {
                host: r.host.clone(),
                addr: r.addr.clone(),
                build: r.build.clone(),
                zone: r.zone.clone(),
                spot: r.spot,
                status: "booting".into(),
                age_s: 0.0,
            };
            self.event(Event::Listed(vec![listed]));
        }
        let mut r = r.clone();
        let told = self.tokens.entry(r.host.clone()).or_insert(r.token);
        r.token = r.token.max(*told);
        let req = self.ask(Request::Report(serde_json::to_vec(&r).unwrap()));
        let a = self.answer(req)?;
        let a: ReportResponse =
            (a.status == 200).then(|| serde_json::from_str(&a.body).unwrap())?;
        if self.hear {
            self.tokens.insert(r.host, a.token);
        }
        Some(a)
    }

    /// Direct commands under way, which this takes out.
    pub fn direct(&mut self) -> Vec<(CallId, Host, Commands)> {
        let mut out = vec![];
        self.fx.retain(|f| match f {
            Effect::Orders {
                call, host, orders, ..
            } => {
                out.push((*call, host.clone(), orders.clone()));
                false
            }
            _ => true,
        });
        out
    }

    pub fn released(&self) -> Vec<Host> {
        let gone = |f: &Effect| match f {
            Effect::Release(h) => Some(h.clone()),
            _ => None,
        };
        self.fx.iter().filter_map(gone).flatten().collect()
    }

    pub fn attempt(&self, job: &str, ix: u32) -> Option<Attempt> {
        let j = self.s.jobs.get(&JobId::from(job))?;
        j.active.get(&TaskIndex(ix)).map(|l| l.attempt)
    }
}

/// A report of machine `n` with nothing on it; tests add to it.
pub fn report(n: u32, seq: u64, token: Token) -> Report {
    Report {
        host: Host::from(format!("n-{n:06}").as_str()),
        addr: Some("x:1".into()),
        build: "m8".into(),
        zone: if n % 2 == 1 { "a".into() } else { "b".into() },
        spot: false,
        session: Session(1),
        seq: Seq(seq),
        token,
        notice_s: None,
        tasks: vec![],
    }
}

pub fn task(job: &str, ix: u32, attempt: Attempt, state: TaskState) -> TaskReport {
    TaskReport {
        task: TaskId {
            job: job.into(),
            index: TaskIndex(ix),
        },
        attempt,
        state,
        cause: None,
        kept: false,
    }
}

pub fn ended(job: &str, ix: u32, attempt: Attempt, cause: Cause) -> TaskReport {
    TaskReport {
        cause: Some(cause),
        ..task(job, ix, attempt, TaskState::Ended)
    }
}
