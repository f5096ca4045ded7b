//! What stories begin with: settings, a machine type, a job.

use hookworks::election::BoundAddress;
use hookworks::settings::{Platform, Settings, Tuning};
use hookworks::wire::cloud::MachineType;
use hookworks::wire::user::JobSpec;

pub fn platform(label: &str) -> serde_json::Value {
    serde_json::json!({
        "label": label, "zone": "a", "listen": "127.0.0.1:1", "cluster_listen": "127.0.0.1:2",
        "seeds": [], "services": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "params": {
            "count": 3, "zones": ["a", "b"],
            "teams": [
                {"name": "red", "cpus": 8.0, "cpus_max": 12.0, "gpus_max": 3.0},
                {"name": "blue", "cpus": 8.0, "cpus_max": 16.0}],
            "objectives": [{"kind": "wait", "class": "quick", "within_s": 2.0, "share": 0.9}],
            "workers": {"report_s": 3.0, "lease_s": 20.0, "gang_wait_s": 30.0,
                        "gang_peer_s": 8.0, "cancel_s": 42.0},
            "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 8},
            "cloud": {"rps": 5.0, "list_lag_s": 3.0},
            "machine_limits": {"core_share": 0.2, "ram_mb": 100.0, "max_connections": 500}
        }
    })
}

/// One class may fail three times; the others as often as they like. Verdicts
/// on zones are acted on.
const FRAIL: &str = "<hookworks><zones><act>true</act></zones><classes><class name='frail'><attempts>3</attempts>\
    <backoff-s>1</backoff-s><backoff-most-s>4</backoff-most-s></class></classes></hookworks>";

pub fn settings(label: &str) -> Settings {
    Settings {
        platform: Platform::parse("test", &platform(label).to_string()).unwrap(),
        tuning: Tuning::parse("test", FRAIL).unwrap(),
    }
}

pub fn flavor() -> MachineType {
    serde_json::from_value(serde_json::json!({
        "Label": "m8", "Vcpus": 8, "Accelerators": 2, "RamGb": 32, "LocalGb": 50, "FetchGbPerS": 1.0,
        "Hourly": 1.0, "SpotPrice": 0.3, "BootS": 10, "Yards": ["a", "b"]
    }))
    .unwrap()
}

/// A batch job; tests change what they need.
pub fn job(n: u64, tasks: u32) -> JobSpec {
    JobSpec::parse(
        serde_json::json!({
            "Id": format!("job-{n:06}"), "Jobline": "work", "Crew": "red", "Shape": "batch",
            "Urgency": "normal", "Pieces": tasks, "Vcpus": 2.0, "Accelerators": 0, "RamGb": 2.0,
            "Builds": null, "Yard": null, "OneZone": false, "Scatter": false, "Lendable": true,
            "Bundle": "img", "SizeGb": 1.0, "GuessS": 20.0, "BookmarkS": 0, "StowS": 0,
            "DueS": null
        })
        .to_string()
        .as_bytes(),
    )
    .unwrap()
}

/// Where controller `i` listens; its next process does so, too.
pub fn bound_address(i: usize) -> BoundAddress {
    BoundAddress {
        addr: ([10, 0, 0, i as u8 + 1], 8081).into(),
        system: None,
    }
}
