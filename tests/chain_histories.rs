//! Many random histories of pipelines: jobs that need others, submitted one after
//! another, cancelled now and then, while leaders change, the state service lowers its
//! limits without notice, and controllers are replaced by a new version; the rules
//! hold in all.

mod troubles;
mod world;

use hookworks::ids::*;
use hookworks::versions::OWN_VERSION;
use hookworks::wire::peer::Request;
use hookworks::wire::state::{Change, Txn};
use hookworks::wire::user::{JobSpec, JobState, Priority};
use rand::RngExt;
use troubles::{TROUBLES, Trouble, near, strike};
use world::handover::Conditions;
use world::pipelines::{Shape, submission};
use world::store::{Limits, Why};
use world::versions::OLD;
use world::{Chaos, Ev, World, job};

/// What the state service takes at first, as the settings say.
const AT_FIRST: Limits = Limits {
    value_bytes: 8 * 1024,
    changes: 8,
    changes_per_s: 40.0,
};
/// What it takes later, without notice.
const LATER: Limits = Limits {
    value_bytes: 2 * 1024,
    changes: 4,
    changes_per_s: 18.0,
};
/// Troubles come for so long.
const STORM_S: f64 = 200.0;
/// Enough for all that is left to end.
const REST_S: f64 = 400.0;

#[derive(Clone, Copy, PartialEq)]
enum Story {
    /// All controllers are current, and the switch is on record.
    Switched,
    /// Controllers of the production version are replaced one after another.
    Rolled,
}

fn pick<T: Copy>(w: &mut World, some: &[T]) -> T {
    some[w.rng.random_range(0..some.len())]
}

/// One history with its troubles, until all is quiet and everything should be over.
fn history(seed: u64, story: Story) -> World {
    let mut w = World::new(seed, 3);
    (w.wealth, w.capacity) = (4.0, 5);
    w.run_s = w.rng.random_range(2.0..12.0);
    match story {
        Story::Switched => w.begin_compact(),
        Story::Rolled => w.run_versions(&[OLD; 3]),
    }
    w.store.set_limits(AT_FIRST);
    if w.rng.random_bool(0.7) {
        w.announced_limits = Some(LATER);
    }
    w.pipelines.cancelled = pick(&mut w, &[0.1, 0.5, 0.9]);
    w.chaos = Chaos {
        lose_answer: 0.02,
        late: 0.01,
        lose_txn_answer: 0.03,
        refuse_txn: 0.02,
        copy: 0.03,
        late_txn: 0.01,
        lost_answer: 0.01,
        repeat_call: 0.3,
        repeat_txn: 0.1,
    };
    w.questions.held = 0.02;
    w.run(2.0);
    submit_arrays(&mut w);
    if story == Story::Rolled {
        roll(&mut w);
    }
    submit_pipelines(&mut w, story);
    strike_often(&mut w);
    let falls = w.rng.random_range(15.0..STORM_S);
    w.at(falls, Ev::StateLimits(LATER));
    w.run(STORM_S);
    end_in_quiet(&mut w);
    w
}

/// Arrays with large records, which run before and besides.
fn submit_arrays(w: &mut World) {
    for n in 0..4 {
        let mut j = job(900 + n, w.rng.random_range(1..120));
        (j.team, j.estimate_s) = (pick(w, &["red", "blue"]).into(), w.run_s);
        let at = w.rng.random_range(0.0..100.0);
        let body = serde_json::to_vec(&j).unwrap();
        w.specs.insert(j.id.clone(), j.clone());
        for k in 0..8 {
            w.at(at + 6.0 * k as f64, Ev::User(Request::Submit(body.clone())));
        }
        for k in 1..40 {
            let at = at + 5.0 * k as f64;
            w.at(at, Ev::UserVia(k % 3, Request::Poll(j.id.to_string())));
        }
        if w.rng.random_bool(0.2) {
            let at = at + w.rng.random_range(0.0..60.0);
            w.insists(at, Request::Cancel(j.id.to_string()));
        }
    }
}

fn submit_pipelines(w: &mut World, story: Story) {
    let earliest = if story == Story::Rolled { 0.0 } else { 1.0 };
    for n in 0..8 {
        let shape = match n {
            0 => Shape::Chain(10),
            1 => Shape::Fan(w.rng.random_range(5..30)),
            2 => Shape::Layers(w.rng.random_range(2..5), w.rng.random_range(2..4)),
            _ => Shape::Chain(w.rng.random_range(2..6)),
        };
        let at = w.rng.random_range(earliest..0.7 * STORM_S);
        let (teams, tasks) = (["red", "blue"], w.rng.random_range(1..6));
        let run_s = w.run_s;
        let like = move |stage: usize, j: &mut JobSpec| {
            j.team = teams[(stage + n) % 2].into();
            (j.tasks, j.estimate_s) = (1 + (tasks + stage as u32) % 5, run_s);
            j.priority = [Priority::Low, Priority::Normal, Priority::High][stage % 3];
        };
        w.pipeline_of(at, 100 * n as u64, shape, like);
    }
}

/// Controllers are replaced one after another; a process that ends before its turn comes
/// back as it was, and some turns follow within a second.
fn roll(w: &mut World) {
    let mut at = w.rng.random_range(3.0..30.0);
    let first = w.rng.random_range(0..3);
    for turn in 0..3 {
        let i = (first + turn) % 3;
        if w.rng.random_bool(0.3) {
            let early = at * w.rng.random_range(0.2..0.9);
            w.at(early, Ev::Kill(i));
            w.at(early + 0.5, Ev::Restart(i));
        }
        let back = pick(w, &[0.3, 1.0, 6.0]);
        w.replace(i, at, back, OWN_VERSION);
        at += pick(w, &[0.2, 1.5, 8.0, 20.0]);
    }
}

/// Leaders change, the state service is down or refuses one, a zone is cut off.
fn strike_often(w: &mut World) {
    for _ in 0..4 {
        let (at, i) = (w.rng.random_range(5.0..STORM_S), w.rng.random_range(0..3));
        let back = pick(w, &[0.3, 0.9, 6.0]);
        let all = w.rng.random_bool(0.25);
        for i in (0..3).filter(|j| all || i == *j) {
            w.at(at, Ev::Kill(i));
            w.at(at + back, Ev::Restart(i));
        }
    }
    w.change_leaders(20.0, 3, STORM_S - 40.0);
    let (at, long) = (
        w.rng.random_range(10.0..STORM_S - 30.0),
        w.rng.random_range(2.0..25.0),
    );
    w.at(at, Ev::StoreDown(true));
    w.at(at + long, Ev::StoreDown(false));
    let (at, i) = (
        w.rng.random_range(10.0..STORM_S - 30.0),
        w.rng.random_range(0..3),
    );
    let long = w.rng.random_range(2.0..30.0);
    w.at(at, Ev::Refuse(i, true));
    w.at(at + long, Ev::Refuse(i, false));
    let (at, long) = (
        w.rng.random_range(10.0..STORM_S - 30.0),
        w.rng.random_range(2.0..30.0),
    );
    w.at(at, Ev::CutZone("b".into(), true));
    w.at(at + long, Ev::CutZone("b".into(), false));
}

/// The storm is over; users go on until all they have submitted has ended.
fn end_in_quiet(w: &mut World) {
    w.chaos = Chaos::default();
    w.set(Conditions::default());
    w.questions.held = 0.0;
    w.all_quiet();
    for i in 0..3 {
        if !w.ctls[i].up {
            w.at(0.1, Ev::Restart(i));
        }
        if !w.is_new(i) {
            w.replace(i, 2.0 + 3.0 * i as f64, 0.5, OWN_VERSION);
        }
    }
    let ids: Vec<JobId> = w.specs.keys().cloned().collect();
    for id in &ids {
        for k in 0..(REST_S / 8.0) as usize {
            let at = 8.0 * k as f64 + w.rng.random_range(0.0..4.0);
            w.at(at, Ev::UserVia(k % 3, Request::Poll(id.to_string())));
        }
    }
    w.run(REST_S);
}

/// What is wrong once everything should be over.
fn faults(w: &World) -> Vec<String> {
    let mut faults: Vec<String> = w.broken.iter().take(4).cloned().collect();
    let Some(i) = w.leader() else {
        faults.push("no leader".into());
        return faults;
    };
    let left: Vec<&JobId> = w.sched(i).jobs.keys().take(5).collect();
    if !left.is_empty() {
        faults.push(format!("never finished: {left:?}"));
    }
    if !w.is_switched() {
        faults.push("the switch was never stored".into());
    }
    let unsent = w
        .pipelines
        .jobs()
        .into_iter()
        .filter(|id| !w.is_told_accepted(id));
    let unsent: Vec<JobId> = unsent.take(5).collect();
    if !unsent.is_empty() {
        faults.push(format!("never accepted: {unsent:?}"));
    }
    let orphans = w.not_told_cancelled();
    if !orphans.is_empty() {
        faults.push(format!("never told as cancelled: {orphans:?}"));
    }
    faults.extend(endless_refusals(w));
    faults
}

/// Limits that have fallen are learnt: what they refuse is not sent over and over.
fn endless_refusals(w: &World) -> Option<String> {
    let last_minutes = w.now - 300_000_000;
    let all = w.store.refusals();
    let late: Vec<_> = all.iter().filter(|r| r.at > last_minutes).collect();
    let large = late.iter().filter(|r| r.why == Why::TooLarge).count();
    let many = late.len() - large;
    (large > 3 || many > 20).then(|| {
        let last = late.last().map(|r| &r.what);
        format!("refused in the last five minutes: {large} too large, {many} too many, {last:?}")
    })
}

/// The check of that can fail: what is too large is sent again and again, past the
/// controllers, at the end of a history that is well.
#[test]
fn a_transaction_that_is_refused_over_and_over_is_noticed() {
    let w = history(0, Story::Switched);
    assert_eq!(endless_refusals(&w), None);
    w.store.set_limits(LATER);
    let too_large = Txn {
        conditions: vec![],
        changes: vec![Change::Put {
            key: "some/record".into(),
            value: "x".repeat(LATER.value_bytes).into(),
            lease: None,
        }],
    };
    for _ in 0..4 {
        w.store.apply(&too_large);
    }
    let told = endless_refusals(&w).expect("noticed");
    assert!(told.contains("4 too large"), "{told}");
}

fn seeds(usual: u64) -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|n| n.parse().ok());
    let from = number("CHAIN_HISTORIES_FROM").unwrap_or(0);
    from..from + number("CHAIN_HISTORIES").unwrap_or(usual)
}

/// Plays these seeds and returns how many jobs were done and told as cancelled.
fn rules_hold(usual: u64, story: Story) -> (usize, usize) {
    let (mut done, mut cancelled, mut repeated, mut wrong) = (0, 0, 0, vec![]);
    for seed in seeds(usual) {
        let w = history(seed, story);
        let faults = faults(&w);
        if !faults.is_empty() {
            let text = format!("seed {seed}: {faults:#?}");
            eprintln!("{text}");
            wrong.push(text);
        }
        let ended = |state| {
            let all = w.pipelines.jobs().into_iter();
            all.filter(|id| w.told_over(id) == Some(state)).count()
        };
        repeated += w.repeated_calls.carried_out;
        done += ended(JobState::Done);
        cancelled += ended(JobState::Cancelled);
    }
    assert!(wrong.is_empty(), "{} seeds are wrong", wrong.len());
    assert!(
        repeated > 20,
        "hardly any repeated call was carried out: {repeated}"
    );
    (done, cancelled)
}

/// `CHAIN_HISTORIES` asks for more than the usual number of them, and
/// `CHAIN_HISTORIES_FROM` for others.
#[test]
fn rules_hold_in_many_histories_of_pipelines() {
    let (done, cancelled) = rules_hold(12, Story::Switched);
    assert!(done > 200, "hardly any job of a pipeline was done: {done}");
    assert!(cancelled > 40, "hardly any was cancelled: {cancelled}");
}

#[test]
fn rules_hold_in_many_histories_of_a_roll() {
    let (done, cancelled) = rules_hold(12, Story::Rolled);
    assert!(done > 200, "hardly any job of a pipeline was done: {done}");
    assert!(cancelled > 40, "hardly any was cancelled: {cancelled}");
}

/// Fault put in: the leader is of the version in production, which ignores what a job
/// needs, while users already submit pipelines.
#[test]
fn a_leader_that_ignores_needs_is_noticed() {
    let noticed = |seed| {
        let mut w = World::new(seed, 3);
        (w.wealth, w.run_s) = (4.0, 6.0);
        w.run_versions(&[OLD; 3]);
        w.pipelines.before_all_new = true;
        w.run(2.0);
        w.pipeline_of(1.0, 0, Shape::Chain(4), |_, _| {});
        w.run(60.0);
        w.broken.iter().any(|b| b.starts_with("too_early"))
    };
    assert!((0..3).all(noticed));
}

/// A fan of two hundred jobs, or a chain of ten, is cancelled at its first job, with the
/// limits of later in force; the leader ends, or the state service goes down for twenty
/// seconds, right after the confirmation.
#[test]
fn all_that_needs_a_cancelled_job_is_cancelled_in_time() {
    let mut cases = vec![];
    for shape in [Shape::Fan(200), Shape::Chain(10)] {
        for after in [Spell::None, Spell::LeaderEnds, Spell::Outage] {
            cases.push((shape, after));
        }
    }
    for (seed, (shape, after)) in cases.into_iter().enumerate() {
        let w = cancelled_at_its_first(seed as u64, shape, after);
        let faults = faults(&w);
        assert!(faults.is_empty(), "{shape:?} {after:?} {faults:#?}");
        let jobs = w.pipelines.jobs();
        let cancelled = |id: &&JobId| w.told_over(id) == Some(JobState::Cancelled);
        assert_eq!(jobs.iter().filter(cancelled).count(), jobs.len());
        assert!(w.needs.longest_orphan < 25_000_000, "{shape:?} {after:?}");
    }
}

/// What follows a confirmation.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Spell {
    None,
    LeaderEnds,
    Outage,
}

fn cancelled_at_its_first(seed: u64, shape: Shape, after: Spell) -> World {
    let mut w = World::new(seed, 3);
    (w.wealth, w.run_s) = (4.0, 300.0);
    w.begin_compact();
    w.announced_limits = Some(LATER);
    w.store.set_limits(LATER);
    (w.pipelines.cancelled, w.pipelines.last_after_end) = (0.0, 0.0);
    w.run(2.0);
    let ids = w.pipeline_of(1.0, 0, shape, |_, _| {});
    w.run(120.0);
    let accepted = ids.iter().filter(|id| w.is_told_accepted(id)).count();
    assert_eq!(
        accepted,
        ids.len(),
        "not all are accepted after two minutes"
    );
    w.insists(0.0, Request::Cancel(ids[0].to_string()));
    while w.told_over(&ids[0]).is_none() {
        w.run(0.005);
    }
    let leader = w.leader().expect("a leader");
    match after {
        Spell::None => {}
        Spell::LeaderEnds => {
            w.at(0.0, Ev::Kill(leader));
            w.at(0.5, Ev::Restart(leader));
        }
        Spell::Outage => {
            w.at(0.0, Ev::StoreDown(true));
            w.at(20.0, Ev::StoreDown(false));
        }
    }
    for k in 0..1200 {
        let id = &ids[k % ids.len()];
        w.at(
            0.05 * k as f64,
            Ev::UserVia(k % 3, Request::Poll(id.to_string())),
        );
    }
    w.run(60.0);
    end_in_quiet(&mut w);
    w
}

/// What happens to jobs that need others, to the state service or to a controller, at
/// the moment of a trouble.
#[derive(Clone, Copy, Debug, PartialEq)]
enum News {
    NeededEnds,
    NeededCancelled,
    /// A job is submitted about when one that it needs ends.
    SubmittedLate,
    /// The same, and that one is cancelled then.
    SubmittedAfterCancel,
    LimitsFall,
    /// The last controller of the version in production is replaced.
    LastReplaced,
}

const NEWS: [News; 6] = [
    News::NeededEnds,
    News::NeededCancelled,
    News::SubmittedLate,
    News::SubmittedAfterCancel,
    News::LimitsFall,
    News::LastReplaced,
];

/// A small fleet with a chain, a fan and an array, one piece of news and one trouble
/// that begins near it, and then quiet.
fn meeting(seed: u64, news: News, trouble: Trouble) -> World {
    let mut w = World::new(seed, 3);
    (w.wealth, w.capacity) = (4.0, 2);
    w.run_s = pick(&mut w, &[2.0, 9.0, 25.0]);
    match news {
        News::LastReplaced => w.run_versions(&[OLD; 3]),
        _ => w.begin_compact(),
    }
    w.store.set_limits(AT_FIRST);
    if w.rng.random_bool(0.5) {
        w.announced_limits = Some(LATER);
    }
    (w.pipelines.cancelled, w.pipelines.linked) = (0.0, 0.0);
    w.run(2.0);
    w.submit(job(900, 20));
    w.run(16.0);
    let tasks = w.rng.random_range(1..4);
    let like = move |stage: usize, j: &mut JobSpec| {
        j.tasks = 1 + (tasks + stage as u32) % 3;
        j.team = ["red", "blue"][stage % 2].into();
    };
    let chain = w.pipeline_of(0.0, 0, Shape::Chain(4), like);
    w.pipeline_of(0.5, 100, Shape::Fan(3), like);
    let at = announce(&mut w, news, &chain);
    let at = match w.rng.random_bool(0.5) {
        true => at + w.rng.random_range(-0.6..0.6),
        false => at - near(&mut w),
    };
    strike(&mut w, trouble, at.max(0.0));
    let many = trouble == Trouble::TenLeaders;
    w.run(at.max(0.0) + if many { 130.0 } else { 95.0 });
    end_in_quiet(&mut w);
    w
}

/// Prepares the news, and returns in how many seconds it comes.
fn announce(w: &mut World, news: News, chain: &[JobId]) -> f64 {
    let needed = chain[w.rng.random_range(0..3)].clone();
    if news == News::LastReplaced {
        let last = w.leader().filter(|_| w.rng.random_bool(0.6)).unwrap_or(0);
        for turn in 1..3 {
            w.replace((last + turn) % 3, 2.0 * turn as f64, 0.5, OWN_VERSION);
        }
        let back_s = pick(w, &[0.3, 1.0, 6.0]);
        w.replace(last, 12.0, back_s, OWN_VERSION);
        return 12.0 + back_s;
    }
    for _ in 0..600 {
        if !w.hosts_of(&needed).is_empty() {
            break;
        }
        w.run(0.1);
    }
    // What runs ends then, or about then.
    let ends = w.run_s + 0.5;
    let any = w.rng.random_range(0.0..ends);
    match news {
        News::NeededEnds => ends,
        News::NeededCancelled => {
            w.insists(any, Request::Cancel(needed.to_string()));
            any
        }
        News::SubmittedLate => {
            let at = ends + w.rng.random_range(-1.0..4.0);
            submit_needing(w, at, needed);
            at
        }
        News::SubmittedAfterCancel => {
            w.insists(any, Request::Cancel(needed.to_string()));
            let at = any + w.rng.random_range(-0.1..3.0);
            submit_needing(w, at.max(0.0), needed);
            at
        }
        News::LimitsFall => {
            w.at(any, Ev::StateLimits(LATER));
            any
        }
        News::LastReplaced => unreachable!("above"),
    }
}

/// A user submits a job that needs this one, by way of any controller.
fn submit_needing(w: &mut World, in_s: f64, needed: JobId) {
    let spec = job(500, 2);
    let body = submission(&spec, &[needed].into());
    w.specs
        .insert(spec.id.clone(), JobSpec::parse(&body).unwrap());
    for k in 0..8 {
        w.at(
            in_s + 2.0 * k as f64,
            Ev::UserVia(k % 3, Request::Submit(body.clone())),
        );
    }
}

/// Each piece of news meets each trouble; `CHAIN_MEETINGS` asks for more rounds.
#[test]
fn rules_hold_where_news_of_chains_meets_a_trouble() {
    let rounds = std::env::var("CHAIN_MEETINGS").ok();
    let rounds = rounds.and_then(|n| n.parse().ok()).unwrap_or(1);
    let from = seeds(0).start;
    let mut wrong = vec![];
    let (mut done, mut cancelled) = (0, 0);
    for round in from..from + rounds {
        let pairs = NEWS
            .iter()
            .flat_map(|n| TROUBLES.iter().map(move |t| (*n, *t)));
        for (k, (news, trouble)) in pairs.enumerate() {
            let seed = 1000 * round + k as u64;
            let w = meeting(seed, news, trouble);
            let faults = faults(&w);
            if !faults.is_empty() {
                let text = format!("seed {seed} {news:?} {trouble:?}: {faults:#?}");
                eprintln!("{text}");
                wrong.push(text);
            }
            let jobs = w.pipelines.jobs();
            let ended = |state| {
                jobs.iter()
                    .filter(|id| w.told_over(id) == Some(state))
                    .count()
            };
            done += ended(JobState::Done);
            cancelled += ended(JobState::Cancelled);
        }
    }
    assert!(wrong.is_empty(), "{} meetings are wrong", wrong.len());
    assert!(done > 700, "hardly any job of a pipeline was done: {done}");
    assert!(cancelled > 60, "hardly any was cancelled: {cancelled}");
}
