//! Both settings files: derived limits, and how invalid values are reported.

use hookworks::settings::{CapacityLimits, Platform, Settings, Tuning};

fn sizes(ram_mb: f64, sockets: usize) -> CapacityLimits {
    settings(ram_mb, sockets, 0.24).capacity_limits().unwrap()
}

fn settings(ram_mb: f64, sockets: usize, core_share: f64) -> Settings {
    let text = serde_json::json!({
        "label": "a", "zone": "z", "listen": "10.0.0.1:1", "cluster_listen": "10.0.0.1:2",
        "seeds": [{"label": "b", "zone": "z", "peer_addr": "10.0.0.2:2"},
                  {"label": "c", "zone": "z", "peer_addr": "10.0.0.3:2"}],
        "services": {"cloud": "10.0.0.4:1", "state": "10.0.0.4:2"},
        "params": {
            "teams": [],
            "workers": {"report_s": 5.0, "lease_s": 26.0, "cancel_s": 50.0},
            "state": {"rps": 150.0, "write_rps": 40.0, "value_kb": 4.0, "txn_ops": 12},
            "cloud": {"rps": 8.0, "list_lag_s": 3.0},
            "machine_limits": {"core_share": core_share, "ram_mb": ram_mb, "max_connections": sockets}
        }
    });
    let platform = Platform::parse("t", &text.to_string()).unwrap();
    Settings {
        platform,
        tuning: Tuning::default(),
    }
}

/// Guards against a fixed bound: a thread per connection once limited a controller to
/// 1,650 machines whatever the settings. `check` names the setting that limits it.
#[test]
fn machine_limit_of_a_single_controller_follows_the_settings() {
    let cases = [
        (400.0, 3046, 0.24, "params.machine_limits.max_connections"),
        (158.0, 1000, 0.24, "params.machine_limits.max_connections"),
        (60.0, 3046, 0.24, "params.machine_limits.ram_mb"),
        (158.0, 3046, 0.08, "params.machine_limits.core_share"),
    ];
    for (ram_mb, sockets, core_share, field) in cases {
        let mut s = settings(ram_mb, sockets, core_share);
        let alone = s.capacity_limits().unwrap().single_controller;
        assert_eq!(alone.limited_by, field, "{alone:?}");
        s.tuning.connections.machines = alone.max_machines;
        s.check_machines("t.json").unwrap();
        s.tuning.connections.machines = alone.max_machines + 1;
        let e = s.check_machines("t.json").unwrap_err().to_string();
        assert!(e.contains(field), "{e}");
        assert!(
            e.contains(&format!("{} machines would be held", alone.max_machines)),
            "{e}"
        );
    }
    // Three times the largest deployment.
    assert!(
        settings(158.0, 3046, 0.24)
            .capacity_limits()
            .unwrap()
            .single_controller
            .max_machines
            >= 4000
    );
}

/// On any machine all limits together fit its memory, with a part left for the program.
#[test]
fn capacity_limits_together_fit_the_memory() {
    for ram_mb in [32.0, 56.0, 104.0, 158.0, 188.0, 400.0, 2000.0] {
        for sockets in [300, 560, 1800, 3000, 20_000] {
            let s = sizes(ram_mb, sockets);
            let sum: u64 = s.bytes.iter().sum();
            assert!(sum as f64 <= 0.93 * ram_mb * 1e6, "{ram_mb} MB: {s:?}");
        }
    }
}

/// Guards against fixed limits of 4,000 jobs and 1,500 open requests: with held responses
/// for 1,982 machines, requests of users would have been rejected.
#[test]
fn capacity_limits_follow_the_machine() {
    let (small, large) = (sizes(56.0, 560), sizes(158.0, 3000));
    assert!(small.jobs >= 4000 && large.jobs > 19_000);
    assert!(large.requests >= 1982 + 1000, "{large:?}");
    // A single large controller holds almost as many workers as the largest fleets have;
    // a small one can't, and rejects the others.
    assert!(large.worker_connections >= 2400, "{large:?}");
    assert!(small.worker_connections >= 350, "{small:?}");
    assert!(large.finals > small.finals);
}

#[test]
fn connection_settings_are_checked_by_field() {
    let xml = |inner: &str| {
        let text = format!("<hookworks><connections>{inner}</connections></hookworks>");
        Tuning::parse("t.xml", &text)
    };
    let t = xml("<threads>300</threads><users-share>0.2</users-share>").unwrap();
    assert_eq!(
        (t.connections.threads, t.connections.users_share),
        (300, 0.2)
    );
    assert_eq!(t.connections.workers_share, 0.7);
    let e = xml("<head-s>0</head-s>").unwrap_err().to_string();
    assert!(e.contains("connections/head-s"), "{e}");
}

#[test]
fn class_settings_are_checked_by_field() {
    let parse = |inner: &str| {
        let text = format!("<hookworks><classes>{inner}</classes></hookworks>");
        Tuning::parse("t.xml", &text)
    };
    let t = parse(
        "<class name='a'><attempts>3</attempts><counts>error lost</counts></class><class name='b'><backoff-s>2</backoff-s></class>",
    );
    let rules = t.unwrap().retry_policies();
    let a = &rules[&"a".into()];
    assert_eq!(
        (a.most, a.counts.lost, a.counts.timed_out),
        (3, true, false)
    );
    assert_eq!(rules[&"b".into()].most, 0);
    for (inner, field) in [
        (
            "<class name='a'><attempts>16</attempts></class>",
            "classes/a/attempts",
        ),
        ("<class name='a'><counts>eror</counts></class>", "eror"),
        ("<class name='a'/><class name='a'/>", "twice"),
        (
            "<class name='a'><backoff-s>-1</backoff-s></class>",
            "backoff-s",
        ),
    ] {
        let e = parse(inner).unwrap_err().to_string();
        assert!(e.contains(field), "{e}");
    }
}
