//! The state service can lower its limits, and controllers are told beforehand.

use clap::Parser;
use hookworks_scale::controllers::settings;
use hookworks_scale::counters::Counters;
use hookworks_scale::http::Request;
use hookworks_scale::layout::Layout;
use hookworks_scale::options::{BadInput, RunOptions};
use hookworks_scale::{Limits, StateService};
use serde_json::{Value, json};

#[derive(Parser)]
struct Options {
    #[command(flatten)]
    run: RunOptions,
}

const SMALLER: &str = "--next-value-kb 2 --next-txn-ops 4 --next-write-rps 18";

fn options(arguments: &str) -> RunOptions {
    let all = ["scale"].into_iter().chain(arguments.split_whitespace());
    Options::parse_from(all).run
}

struct Story {
    service: StateService,
    counters: Counters,
}

impl Story {
    fn new(o: &RunOptions) -> Story {
        Story {
            service: StateService::new(Limits::at_start(o)),
            counters: Counters::new(1),
        }
    }

    /// Puts values of so many bytes into keys of their own; gives the status.
    fn put(&self, values: usize, bytes: usize) -> u16 {
        // With its two quotes the value has the bytes asked for.
        let value = "x".repeat(bytes - 2);
        let puts = (0..values).map(|n| json!({"Put": format!("a/jobs/{n}"), "V": value}));
        let puts: Vec<Value> = puts.collect();
        self.ask("POST", "/txn", &json!({"When": [], "Apply": puts}))
            .0
    }

    fn ask(&self, method: &str, path: &str, body: &Value) -> (u16, Value) {
        let request = Request {
            method: method.into(),
            path: path.into(),
            query: String::new(),
            body: body.to_string().into_bytes(),
            close: false,
        };
        let response = self.service.answer(&request, &self.counters);
        (
            response.status,
            serde_json::from_slice(&response.body).unwrap(),
        )
    }
}

#[test]
fn limits_that_fall_refuse_what_was_taken_and_leave_what_is_stored() {
    let o = options(SMALLER);
    let story = Story::new(&o);
    assert_eq!(story.put(1, 4096), 200);
    assert_eq!(story.put(12, 100), 200);
    story.service.set_limits(Limits::later(&o));
    assert_eq!(story.put(1, 2048), 200);
    assert_eq!(story.put(1, 2049), 400);
    assert_eq!(story.put(4, 100), 200);
    assert_eq!(story.put(5, 100), 400);
    let refused = |name: &str| story.counters.state()[name].refused;
    assert_eq!(
        (refused("value too large"), refused("too many operations")),
        (1, 1)
    );
    let (status, item) = story.ask("GET", "/store/a/jobs/11", &json!({}));
    assert_eq!((status, item["V"].as_str().unwrap().len()), (200, 98));
}

#[test]
fn changes_beyond_the_lower_rate_are_refused() {
    let o = options(SMALLER);
    let story = Story::new(&o);
    story.service.set_limits(Limits::later(&o));
    let statuses: Vec<u16> = (0..6).map(|_| story.put(4, 100)).collect();
    // A second's worth is 18 changes.
    assert_eq!(statuses[..4], [200; 4]);
    assert!(statuses[4..].contains(&429), "{statuses:?}");
}

#[test]
fn later_limits_are_in_the_settings_unless_they_come_unannounced() {
    let next = |o: &RunOptions| {
        let settings = settings(o, &Layout::new(o), 0);
        settings["params"]["state"]["next"].clone()
    };
    let told = json!({"write_rps": 18.0, "value_kb": 2.0, "txn_ops": 4});
    assert_eq!(next(&options(SMALLER)), told);
    assert_eq!(next(&options("")), Value::Null);
    let unannounced = options(&format!("{SMALLER} --next-unannounced"));
    assert_eq!(next(&unannounced), Value::Null);
}

#[test]
fn later_limits_that_rise_or_are_missing_are_bad_input() {
    assert!(options(SMALLER).check_ranges().is_ok());
    let rise = options("--next-txn-ops 13").check_ranges().unwrap_err();
    assert!(
        rise.to_string()
            .starts_with("--next-txn-ops: must be 4 to 12")
    );
    let none = options("--limits-fall-after-s 3").check_ranges();
    assert!(matches!(none, Err(BadInput::NoNextLimits)));
    let late = options(&format!("{SMALLER} --limits-fall-after-s 31"));
    assert!(matches!(late.check_ranges(), Err(BadInput::LateFault)));
}
