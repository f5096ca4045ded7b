//! The page is worked out from slopes and runs, and says when they disagree.

use clap::Parser;
use hookworks_scale::bounds::Demand;
use hookworks_scale::capacity::{Model, Recorded, page};
use hookworks_scale::options::RunOptions;
use hookworks_scale::slopes::{Axis, Series, Size, Slopes};
use std::collections::BTreeMap;

const MEASURE: &str = "leader cores";

#[derive(Parser)]
struct Options {
    #[command(flatten)]
    run: RunOptions,
}

fn size(asked: f64, cores: f64, broke: Option<&str>) -> Size {
    Size {
        asked,
        reached: asked,
        broke: broke.map(Into::into),
        load_average: [1.0, 1.0],
        running_mean: 0.0,
        starts_per_s: 20.0,
        urgent_in_time: 1.0,
        submissions_in_time: 1.0,
        refusals: 0,
        values: [(MEASURE.to_string(), cores)].into(),
    }
}

/// 0.1 core for each 1,000 workers at 20 starts, 0.001 for each start more.
fn slopes() -> Slopes {
    let o = Options::parse_from(["scale", "--starts", "20", "--workers", "1000"]).run;
    let workers = [500.0, 1000.0, 2000.0, 3000.0].map(|w| {
        let broke = (w > 2500.0).then_some("urgent starts");
        size(w, w * 1e-4, broke)
    });
    let starts = [20.0, 40.0, 80.0, 160.0].map(|s| size(s, 0.1 + (s - 20.0) * 1e-3, None));
    let series = [(Axis::Workers, workers), (Axis::Starts, starts)];
    let series = series.map(|(axis, sizes)| (axis, Series::of(axis, &o, sizes.into())));
    Slopes {
        machine: "8 cores".into(),
        series: series.into(),
    }
}

fn demand(workers: f64, starts: f64) -> Demand {
    Demand {
        name: "",
        workers,
        starts,
        teams: 10.0,
        zones: 3.0,
    }
}

#[test]
fn predictions_add_what_each_axis_brings() {
    let slopes = slopes();
    let model = Model::new(&slopes);
    let cores = |w, s| model.at(MEASURE, &demand(w, s)).unwrap();
    assert!((cores(4500.0, 20.0) - 0.45).abs() < 1e-9);
    assert!((cores(4500.0, 330.0) - 0.76).abs() < 1e-9);
    // 0.1 for each 1,000 and 330 starts for each 4,500 machines: 0.24 at 1,500.
    let ends = model.ends_at(MEASURE, 0.24).unwrap();
    assert!((ends - 1500.0).abs() < 1.0, "{ends}");
    assert_eq!(model.at("no such measure", &demand(1.0, 1.0)), None);
}

#[test]
fn a_series_tells_the_largest_size_that_held_and_what_broke() {
    let slopes = slopes();
    let series = &slopes.series[&Axis::Workers];
    assert_eq!(series.largest_that_held, Some(2000.0));
    assert!(
        series
            .broke_first
            .as_ref()
            .unwrap()
            .contains("urgent starts")
    );
    assert!(series.not_linear.is_empty());
}

#[test]
fn the_page_marks_a_run_that_is_far_from_its_prediction() {
    let run = |cores| Recorded {
        name: "a run".into(),
        workers: 2000,
        starts: 20.0,
        teams: 10,
        zones: 3,
        regions: 1,
        run_s: 20.0,
        measured_s: 30.0,
        faults: vec![],
        lost_tasks: 0,
        lease_ends: 0,
        urgent_p99_s: None,
        submissions_p99_s: 0.1,
        rules_broken: vec![],
        version: Some("a version".into()),
        refusals_by_reason: [("status 503".to_string(), 3)].into(),
        peaks: vec![],
        size: size(2000.0, cores, None),
    };
    let page_of = |cores| {
        let runs: BTreeMap<_, _> = [("a run".to_string(), run(cores))].into();
        page(&slopes(), &runs)
    };
    assert!(page_of(0.21).contains("| 0.200 | 0.210 | +5% |"));
    assert!(page_of(0.30).contains("| 0.200 | 0.300 | +50% (!) |"));
    assert!(page_of(0.21).contains("| 1500 | leader cores |"));
    assert!(page_of(0.21).contains("Controllers' version: a version."));
    assert!(page_of(0.21).contains("Refusals by reason: status 503 3."));
    let empty = page(&Slopes::default(), &BTreeMap::new());
    assert!(empty.contains("not measured"));
}
