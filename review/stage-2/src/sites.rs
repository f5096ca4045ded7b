//! Settings like those of the deployments of the kit, at a small size.

use crate::scene::Site;
use serde_json::{Value, json};

/// The voice line: machines with accelerators, gangs.
pub fn voiceline() -> Site {
    let zones = vec!["cairns-south", "mackay-central", "toowoomba-west"];
    let team = |name: &str, gpus: f64, most: f64| json!({"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": gpus, "gpus_max": most});
    Site {
        params: json!({
            "count": 3, "zones": zones,
            "teams": [team("voice-ops", 8.0, 12.0), team("call-reviewers", 16.0, 40.0),
                team("cairns-legacy", 8.0, 40.0), team("member-liaison", 16.0, 64.0)],
            "objectives": [
                {"kind": "wait", "class": "intent-live", "within_s": 12.0, "share": 0.88},
                {"kind": "wait", "class": "listener-retrain", "within_s": 15.0, "share": 0.78},
                {"kind": "finished", "class": "listener-retrain", "within_s": 400.0, "share": 0.85},
                {"kind": "guarantee", "within_s": 10.0, "share": 0.85}],
            "workers": {"report_s": 2.0, "lease_s": 14.0, "gang_wait_s": 50.0, "gang_peer_s": 6.0, "cancel_s": 34.0},
            "state": {"rps": 150.0, "write_rps": 25.0, "value_kb": 8.0, "txn_ops": 16},
            "cloud": {"rps": 5.0, "list_lag_s": 4.0},
            "machine_limits": {"core_share": 0.096, "ram_mb": 56.0, "max_connections": 1500},
            "clock_error_ms": 250.0
        }),
        build: json!({"Label": "reef-node", "Vcpus": 16.0, "Accelerators": 2.0, "RamGb": 64.0, "LocalGb": 70.0,
            "FetchGbPerS": 0.6, "Hourly": 7.19, "SpotPrice": 2.64, "BootS": 45.0, "Yards": zones}),
        zones,
    }
}

/// Script workloads: two zones, arrays.
pub fn scriptwell() -> Site {
    let zones = vec!["brisbane-north", "townsville-east"];
    let team = |name: &str, cpus: f64, most: f64| json!({"name": name, "cpus": cpus, "cpus_max": most, "gpus": 0.0, "gpus_max": 0.0});
    Site {
        params: json!({
            "count": 3, "zones": zones,
            "teams": [team("floor-ops", 136.0, 320.0), team("compliance-desk", 112.0, 272.0),
                team("script-writers", 88.0, 232.0), team("member-services", 88.0, 232.0)],
            "objectives": [
                {"kind": "finished", "class": "script-render", "within_s": 80.0, "share": 0.85},
                {"kind": "wait", "class": "phrase-audit", "within_s": 150.0, "share": 0.9},
                {"kind": "wait", "class": "urgent-recall", "within_s": 2.0, "share": 0.8},
                {"kind": "guarantee", "within_s": 5.0, "share": 0.9}],
            "workers": {"report_s": 3.0, "lease_s": 19.0, "gang_wait_s": 30.0, "gang_peer_s": 8.0, "cancel_s": 39.0},
            "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": 32.0, "txn_ops": 16},
            "cloud": {"rps": 2.0, "list_lag_s": 3.0},
            "machine_limits": {"core_share": 0.16, "ram_mb": 104.0, "max_connections": 1800},
            "clock_error_ms": 100.0
        }),
        build: json!({"Label": "paddock-16", "Vcpus": 16.0, "Accelerators": 0.0, "RamGb": 32.0, "LocalGb": 60.0,
            "FetchGbPerS": 1.0, "Hourly": 0.68, "SpotPrice": 0.19, "BootS": 35.0, "Yards": zones}),
        zones,
    }
}

/// Script workloads at the size of the fleet page.
pub fn scriptwell_fleet() -> Site {
    let mut site = scriptwell();
    let p = &mut site.params;
    let limits = [(6000.0, 15000.0), (5000.0, 12000.0), (3500.0, 9000.0), (3500.0, 9000.0)];
    for (n, (cpus, most)) in limits.into_iter().enumerate() {
        p["teams"][n]["cpus"] = json!(cpus);
        p["teams"][n]["cpus_max"] = json!(most);
    }
    p["workers"] = json!({"report_s": 5.0, "lease_s": 26.5, "gang_wait_s": 30.0, "gang_peer_s": 8.0, "cancel_s": 46.5});
    p["state"] = json!({"rps": 180.0, "write_rps": 70.0, "value_kb": 32.0, "txn_ops": 16});
    p["cloud"]["rps"] = json!(3.0);
    p["machine_limits"] = json!({"core_share": 0.28, "ram_mb": 188.0, "max_connections": 3129});
    site
}

/// A submission; `more` replaces or adds fields.
pub fn job(id: &str, class: &str, team: &str, shape: &str, pieces: u64, more: Value) -> Value {
    let mut v = json!({"Id": id, "Jobline": class, "Crew": team, "Shape": shape, "Urgency": "normal",
        "Pieces": pieces, "Vcpus": 2.0, "Accelerators": 0.0, "RamGb": 3.5, "Bundle": "img-01", "SizeGb": 1.2,
        "Builds": null, "Yard": null, "OneZone": false, "Scatter": false, "Lendable": true,
        "GuessS": 40.0, "BookmarkS": 0.0, "StowS": 0.0, "DueS": null});
    for (name, value) in more.as_object().into_iter().flatten() {
        v[name.as_str()] = value.clone();
    }
    v
}
