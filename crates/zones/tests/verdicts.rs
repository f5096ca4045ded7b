//! Zone states derived from evidence.

use hookworks_base::ids::Zone;
use hookworks_base::time::{Span, Time};
use hookworks_zones::{Change, Evidence, Limits, State, Zones};
use std::collections::BTreeMap;

const REPORT: f64 = 5.0;

/// A fleet whose machines report every five seconds, evenly spread.
struct Fleet {
    zones: Zones,
    now: Time,
    /// For each machine of each zone when it was last heard.
    heard: BTreeMap<Zone, Vec<Time>>,
    silent: Vec<Zone>,
    /// The number of silent machines in zone `b`.
    mute: usize,
    away: Vec<Zone>,
    changes: Vec<(f64, String, State)>,
}

impl Fleet {
    fn new(zones: &[&str], each: usize) -> Fleet {
        let began = Time(1_000_000_000);
        let step = REPORT / each as f64;
        let one = |_| {
            (0..each)
                .map(|n| Time(began.0 - (n as f64 * step * 1e6) as u64))
                .collect()
        };
        Fleet {
            zones: Zones::new(Limits::of(Span::secs(REPORT)), began),
            now: began,
            heard: zones.iter().map(|z| (Zone::from(*z), one(z))).collect(),
            silent: vec![],
            mute: 0,
            away: vec![],
            changes: vec![],
        }
    }

    fn evidence(&self, z: &Zone, all: &[Time]) -> Evidence {
        let late = Limits::of(Span::secs(REPORT)).overdue_after();
        let overdue: Vec<Time> = all
            .iter()
            .copied()
            .filter(|t| self.now - *t > late)
            .collect();
        Evidence {
            machines: all.len() as u32,
            reported: all.len() as u32,
            overdue: overdue.len() as u32,
            overdue_last_heard: overdue
                .iter()
                .min()
                .copied()
                .zip(overdue.iter().max().copied()),
            returned: match self.zones.last_heard_before_outage(z) {
                Some(gone) => all.iter().filter(|t| **t > gone).count() as u32,
                None => 0,
            },
            last_heard: all.iter().max().copied(),
            controllers: 1,
            unreachable_controllers: self.away.contains(z) as u32,
            ..Evidence::default()
        }
    }

    fn run(&mut self, seconds: f64) {
        for _ in 0..(seconds * 4.0) as u32 {
            self.now = self.now + Span::secs(0.25);
            let (now, silent) = (self.now, &self.silent);
            for (z, all) in &mut self.heard {
                if !silent.contains(z) {
                    let mute = if z.as_str() == "b" { self.mute } else { 0 };
                    let all = &mut all[mute..];
                    for t in all.iter_mut().filter(|t| now - **t >= Span::secs(REPORT)) {
                        *t = now;
                    }
                }
            }
            let seen = self
                .heard
                .iter()
                .map(|(z, all)| (z.clone(), self.evidence(z, all)));
            let seen = seen.collect();
            for Change { zone, to, .. } in self.zones.update(self.now, seen) {
                let at = (self.now - Time(1_000_000_000)).as_secs();
                self.changes.push((at, zone.to_string(), to));
            }
        }
    }

    fn state(&self, z: &str) -> State {
        self.zones.state(&z.into())
    }
}

#[test]
fn a_zone_passes_through_its_states_in_order() {
    let mut f = Fleet::new(&["a", "b", "c"], 40);
    f.run(30.0);
    assert!(f.changes.is_empty(), "{:?}", f.changes);
    f.silent = vec!["b".into()];
    f.run(5.0);
    assert_eq!(f.state("b"), State::Doubt);
    assert_eq!(f.zones.usable_share(f.now, &"b".into()), 0.0);
    f.run(5.0);
    assert_eq!(f.state("b"), State::Lost);
    f.run(30.0);
    f.silent.clear();
    f.run(1.5);
    assert_eq!(f.state("b"), State::Returning);
    let open = f.zones.usable_share(f.now, &"b".into());
    assert!(open > 0.0 && open < 0.5, "{open}");
    f.run(8.0);
    assert_eq!((f.state("b"), f.state("a")), (State::Well, State::Well));
    let order: Vec<State> = f.changes.iter().map(|c| c.2).collect();
    assert_eq!(
        order,
        [State::Doubt, State::Lost, State::Returning, State::Well]
    );
}

/// With its controllers unreachable, a zone is in doubt sooner.
#[test]
fn unreachable_controllers_speed_up_detection() {
    let noticed = |away: bool| {
        let mut f = Fleet::new(&["a", "b", "c"], 40);
        f.run(20.0);
        f.silent = vec!["b".into()];
        f.away = if away { vec!["b".into()] } else { vec![] };
        f.run(8.0);
        f.changes[0].0 - 20.0
    };
    let (told, not) = (noticed(true), noticed(false));
    assert!(told < not && not < 5.0, "{told} s, {not} s");
}

/// A leader that hears no zone at all is at fault itself.
#[test]
fn silence_of_all_zones_is_no_outage() {
    let mut f = Fleet::new(&["a", "b"], 40);
    f.run(20.0);
    f.silent = vec!["a".into(), "b".into()];
    f.away = f.silent.clone();
    f.run(60.0);
    assert!(f.changes.is_empty(), "{:?}", f.changes);
    // Once one zone is heard again, the other counts as silent.
    f.silent = vec!["b".into()];
    f.run(12.0);
    assert_eq!((f.state("a"), f.state("b")), (State::Well, State::Lost));
}

#[test]
fn an_unreachable_controller_alone_is_no_outage() {
    let mut f = Fleet::new(&["a", "b"], 40);
    f.away = vec!["b".into()];
    f.run(60.0);
    assert!(f.changes.is_empty(), "{:?}", f.changes);
}

/// Each remembered outage makes the next return slower, up to a bound; old outages are
/// forgotten.
#[test]
fn a_flapping_zone_returns_more_slowly_each_time() {
    let mut f = Fleet::new(&["a", "b"], 40);
    f.run(20.0);
    let mut takes = vec![];
    for _ in 0..4 {
        f.silent = vec!["b".into()];
        f.run(12.0);
        f.silent.clear();
        let back = f.now;
        while f.state("b") != State::Well {
            f.run(0.25);
        }
        takes.push((f.now - back).as_secs());
    }
    assert!(
        takes.windows(2).all(|w| w[1] >= w[0]) && takes[3] > 3.0 * takes[0],
        "{takes:?}"
    );
    assert!(takes[3] <= 30.5, "{takes:?}");
    f.run(150.0);
    f.silent = vec!["b".into()];
    f.run(12.0);
    f.silent.clear();
    f.run(0.25);
    let open = f.zones.usable_share(f.now, &"b".into());
    f.run(4.0);
    assert_eq!(f.state("b"), State::Well, "{open}");
}

/// A zone is lost when most of it falls silent at about the same time, but not when a
/// smaller part does.
#[test]
fn silence_of_most_but_not_of_some_of_a_zone_is_an_outage() {
    for (cut, state) in [(36, State::Lost), (15, State::Well)] {
        let mut f = Fleet::new(&["a", "b"], 40);
        f.run(20.0);
        f.mute = cut;
        f.run(16.0);
        assert_eq!(f.state("b"), state, "{cut}: {:?}", f.changes);
    }
}

/// After all machines of a lost zone were released, only its controllers or a machine
/// rented as a trial can show that it is back.
#[test]
fn an_empty_zone_is_tried_again() {
    let mut f = Fleet::new(&["a", "b"], 40);
    f.run(20.0);
    f.silent = vec!["b".into()];
    f.away = f.silent.clone();
    f.run(20.0);
    f.heard.get_mut(&Zone::from("b")).unwrap().clear();
    f.run(5.0);
    assert_eq!(f.state("b"), State::Lost);
    f.away.clear();
    f.run(1.0);
    assert_ne!(f.state("b"), State::Lost);
}

#[test]
fn the_cost_of_an_update_grows_with_zones_and_not_with_machines() {
    let steps = |each: usize| {
        let mut f = Fleet::new(&["a", "b", "c"], each);
        f.run(10.0);
        f.zones.steps()
    };
    assert_eq!(steps(10), steps(1000));
}
