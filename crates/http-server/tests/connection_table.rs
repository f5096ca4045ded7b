//! The decisions, against random histories; with the same seed each time.

mod common;

use arbitrary::{Arbitrary, Unstructured};
use common::bounds;
use hookworks_gate::*;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The same inputs each time; `FUZZ_SEEDS` asks for more of them.
fn for_seeds(bytes: u64, property: impl Fn(&mut Unstructured<'_>) -> arbitrary::Result<()>) {
    let seeds = std::env::var("FUZZ_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok());
    for seed in 0..seeds.unwrap_or(400u64) {
        arbtest::arbtest(&property).seed(seed << 32 | bytes).run();
    }
}

#[derive(Arbitrary, Debug)]
enum Step {
    Arrive,
    Listens(u8),
    Begins(u8),
    Asks(u8, u8, bool),
    Answered(u8),
    Leaves(u8),
    Waits(u16),
}

/// Whatever happens, no lane takes what is another's, none passes its bound,
/// whoever makes room was idle, and those that were told to go are told why.
#[test]
fn shares_hold_through_any_history() {
    for_seeds(4096, |u| {
        let b = bounds(40);
        let mut lanes: Lanes<u64> = Lanes::new(b, Limits::default());
        let mut now = Instant::now();
        let mut open: Vec<ConnId> = vec![];
        let mut phase: HashMap<u64, Phase> = HashMap::new();
        while !u.is_empty() {
            let pick = |open: &Vec<ConnId>, n: u8| {
                (!open.is_empty()).then(|| open[n as usize % open.len()])
            };
            let idle_before = |phase: &HashMap<u64, Phase>, h: u64| {
                assert!(
                    matches!(phase[&h], Phase::Silent | Phase::Idle),
                    "{h} made room"
                );
            };
            match u.arbitrary::<Step>()? {
                Step::Arrive => {
                    let name = open.last().map_or(1, |c| c.0 + 1);
                    let name = phase.keys().copied().max().unwrap_or(0).max(name - 1) + 1;
                    match lanes.arrive(now, name) {
                        Arrival::Admitted(id) => {
                            assert_eq!(id.0, name);
                            open.push(id);
                            phase.insert(name, Phase::Seating);
                        }
                        Arrival::Instead(id, other) => {
                            idle_before(&phase, other);
                            assert_eq!(lanes.told(ConnId(other)), Some(Why::Room));
                            open.push(id);
                            phase.insert(name, Phase::Seating);
                        }
                        Arrival::Refused => {}
                    }
                }
                Step::Listens(n) => {
                    if let Some(id) = pick(&open, n)
                        && phase[&id.0] == Phase::Seating
                        && lanes.enter(id, Phase::Silent, now).is_none()
                    {
                        phase.insert(id.0, Phase::Silent);
                    }
                }
                Step::Begins(n) => {
                    if let Some(id) = pick(&open, n)
                        && phase[&id.0] == Phase::Idle
                        && lanes.began(id, now)
                    {
                        phase.insert(id.0, Phase::Head);
                    }
                }
                Step::Asks(n, lane, make_room) => {
                    let lane = [Lane::Users, Lane::Watch, Lane::Workers][lane as usize % 3];
                    let Some(id) = pick(&open, n) else { continue };
                    let others = lanes.used(lane);
                    match lanes.routed(id, lane, make_room, now) {
                        Verdict::Go => {
                            phase.insert(id.0, Phase::Body);
                        }
                        Verdict::GoInstead(h) => {
                            idle_before(&phase, h);
                            assert!(make_room);
                            phase.insert(id.0, Phase::Body);
                        }
                        Verdict::Full => {
                            // A lane within its share is never full.
                            assert!(others >= b.guaranteed[lane as usize]);
                            phase.insert(id.0, Phase::Body);
                        }
                        Verdict::Gone(why) => assert_eq!(lanes.told(id), Some(why)),
                    }
                }
                Step::Answered(n) => {
                    if let Some(id) = pick(&open, n)
                        && phase[&id.0] == Phase::Body
                        && lanes.enter(id, Phase::Idle, now).is_none()
                    {
                        phase.insert(id.0, Phase::Idle);
                    }
                }
                Step::Leaves(n) => {
                    if let Some(id) = pick(&open, n) {
                        lanes.left(id);
                        open.retain(|c| *c != id);
                    }
                }
                Step::Waits(ms) => {
                    now += Duration::from_millis(ms as u64);
                    for (h, _) in lanes.overdue(now) {
                        assert!(matches!(lanes.told(ConnId(h)), Some(Why::Slow(_))));
                    }
                    assert!(lanes.overdue(now).is_empty(), "told twice");
                }
            }
            let used: usize = Lane::ALL.iter().map(|l| lanes.used(*l)).sum();
            assert!(used <= b.connections, "{used}");
            assert!(lanes.used(Lane::Fresh) <= b.guaranteed[Lane::Fresh as usize]);
            // What the others have not borrowed is still there for each.
            for l in [Lane::Users, Lane::Watch, Lane::Workers] {
                let kept: usize = [Lane::Users, Lane::Watch, Lane::Workers]
                    .iter()
                    .filter(|o| **o != l)
                    .map(|o| lanes.used(*o))
                    .sum();
                let mine = b.guaranteed[l as usize].max(lanes.used(l));
                assert!(kept + mine + b.guaranteed[0] <= b.connections, "{l:?}");
            }
        }
        for id in &open {
            lanes.left(*id);
        }
        assert!(Lane::ALL.iter().all(|l| lanes.used(*l) == 0) && lanes.open() == 0);
        Ok(())
    });
}

/// A connection that asks and is answered.
fn ask(lanes: &mut Lanes<u64>, lane: Lane, name: u64, now: Instant) -> Verdict<u64> {
    let id = match lanes.arrive(now, name) {
        Arrival::Admitted(id) | Arrival::Instead(id, _) => id,
        Arrival::Refused => panic!("refused"),
    };
    lanes.enter(id, Phase::Silent, now);
    let v = lanes.routed(id, lane, true, now);
    lanes.enter(id, Phase::Idle, now);
    v
}

#[test]
fn the_longest_idle_makes_room_and_a_worker_last() {
    let b = bounds(100);
    let mut lanes: Lanes<u64> = Lanes::new(b, Limits::default());
    let start = Instant::now();
    let at = |n: u64| start + Duration::from_millis(n);
    let mut n = 0;
    // Workers take all that is not kept for others; then users take theirs.
    while lanes.used(Lane::Workers) < b.most(Lane::Workers) {
        n += 1;
        assert_eq!(ask(&mut lanes, Lane::Workers, n, at(n)), Verdict::Go);
    }
    let first_user = n + 1;
    while lanes.used(Lane::Users) < b.guaranteed[Lane::Users as usize] {
        n += 1;
        assert_eq!(ask(&mut lanes, Lane::Users, n, at(n)), Verdict::Go);
    }
    // One user more than their share: the longest idle user goes, though every
    // worker has been idle for longer.
    let v = ask(&mut lanes, Lane::Users, n + 1, at(n + 1));
    assert_eq!(v, Verdict::GoInstead(first_user));
    // One worker more: users within their share are not asked.
    let v = ask(&mut lanes, Lane::Workers, n + 2, at(n + 2));
    assert_eq!(v, Verdict::GoInstead(1));
    assert!(lanes.crowded(Lane::Workers));
    assert_eq!(lanes.counts(Lane::Users).made_room, 1);
}

#[test]
fn steps_do_not_grow_with_connections() {
    let steps = |connections: usize| {
        let mut lanes: Lanes<u64> = Lanes::new(bounds(connections), Limits::default());
        let now = Instant::now();
        for n in 0..connections as u64 {
            ask(&mut lanes, Lane::Workers, n, now + Duration::from_millis(n));
        }
        let before = lanes.steps();
        for n in 0..1000 {
            let now = now + Duration::from_secs(30) + Duration::from_millis(n);
            ask(&mut lanes, Lane::Workers, n, now);
        }
        lanes.steps() - before
    };
    assert!(
        steps(1500) <= steps(100),
        "{} > {}",
        steps(1500),
        steps(100)
    );
}

/// A slow sender can't keep its place by sending a little now and then.
#[test]
fn time_limits_count_in_all_and_not_from_the_last_byte() {
    let mut lanes: Lanes<u64> = Lanes::new(bounds(40), Limits::default());
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let Arrival::Admitted(id) = lanes.arrive(start, 7) else {
        panic!()
    };
    lanes.enter(id, Phase::Silent, at(1));
    for s in 2..8 {
        assert!(lanes.began(id, at(s)));
        assert!(lanes.overdue(at(s)).is_empty());
    }
    assert_eq!(lanes.overdue(at(9)), [(7, Phase::Silent)]);
    assert!(!lanes.began(id, at(9)));
    assert_eq!(
        lanes.routed(id, Lane::Users, true, at(9)),
        Verdict::Gone(Why::Slow(Phase::Silent))
    );
}

/// Heads, cut and bent in all ways: never a panic, and what is understood does
/// not depend on how it was cut into packets.
#[test]
fn heads_are_read_the_same_however_they_arrive() {
    let parts: [&[u8]; 22] = [
        b"GET ",
        b"POST ",
        b"/v2/runs",
        b"/agent/beat",
        b" HTTP/1.1\r\n",
        b" HTTP/1.0\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: 70000\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Expect: 100-continue\r\n",
        b"Connection: close\r\n",
        b"Host: a\r\n",
        b"\r\n",
        b"\n",
        b"\0",
        b"\xff\xfe",
        b": ",
        b"X:",
        b"hello",
        b"5\r\nhello\r\n0\r\n\r\n",
        b"?a=b",
        b" ",
    ];
    for_seeds(1024, |u| {
        let mut bytes = vec![];
        while !u.is_empty() && bytes.len() < 4096 {
            match u.arbitrary::<u8>()? {
                n if n < 200 => bytes.extend_from_slice(parts[n as usize % parts.len()]),
                n => bytes.push(n),
            }
        }
        let all = parse(&bytes);
        let mut seen = 0;
        let mut trickled = Ok(None);
        for n in 1..=bytes.len() {
            if !may_be_whole(&bytes[..n], seen) {
                seen = n;
                continue;
            }
            seen = n;
            trickled = parse(&bytes[..n]);
            if !matches!(trickled, Ok(None)) {
                break;
            }
        }
        match (all, trickled) {
            (Ok(a), Ok(b)) => assert_eq!(a, b, "{bytes:?}"),
            // What is wrong may be seen before the end of the head has come.
            (Err(a), Err(b)) => assert_eq!(a.status, b.status, "{bytes:?}"),
            (Err(_), Ok(None)) => {}
            other => panic!("{other:?} for {bytes:?}"),
        }
        Ok(())
    });
}
