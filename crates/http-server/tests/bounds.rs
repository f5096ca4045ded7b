//! How many connections a machine can afford.

use hookworks_http_server::{
    Bounds, BoundsError, BoundsSettings, LimitedBy, MachineResources, RequestClass,
};

const ROOMY: MachineResources = MachineResources {
    sockets: 3129,
    descriptors: Some(20_000),
    memory: 188 << 20,
    reserved_sockets: 60,
};

#[test]
fn scarcest_resource_limits_connections() {
    let plan = |m: MachineResources| Bounds::plan(&m, &BoundsSettings::default()).unwrap();
    assert_eq!(plan(ROOMY).limited_by, LimitedBy::Sockets);
    assert_eq!(plan(ROOMY).connections + plan(ROOMY).set_aside, 3129);
    let few = MachineResources {
        sockets: 300,
        ..ROOMY
    };
    assert_eq!(plan(few).limited_by, LimitedBy::Sockets);
    assert_eq!(plan(few).connections + plan(few).set_aside, 300);
    let poor = MachineResources {
        memory: 8 << 20,
        ..ROOMY
    };
    assert_eq!(plan(poor).limited_by, LimitedBy::Memory);
    let tight = MachineResources {
        descriptors: Some(256),
        ..ROOMY
    };
    assert_eq!(plan(tight).limited_by, LimitedBy::Descriptors);
    // Guarantees never add up to more than there is, however few there are.
    for sockets in 140..400 {
        if let Ok(b) = Bounds::plan(
            &MachineResources { sockets, ..ROOMY },
            &BoundsSettings::default(),
        ) {
            assert!(b.guaranteed.iter().sum::<usize>() <= b.connections, "{b:?}");
        }
    }
}

#[test]
fn single_controller_holds_the_largest_fleet() {
    let b = Bounds::plan(&ROOMY, &BoundsSettings::default()).unwrap();
    assert!(
        b.max_for(RequestClass::Workers) >= 2600,
        "{}",
        b.max_for(RequestClass::Workers)
    );
}

#[test]
fn impossible_settings_are_refused_at_start() {
    let w = BoundsSettings {
        users: 0.5,
        ..BoundsSettings::default()
    };
    assert!(matches!(
        Bounds::plan(&ROOMY, &w),
        Err(BoundsError::Shares(_))
    ));
    for threads in [0, 7, 1950] {
        let w = BoundsSettings {
            threads,
            ..BoundsSettings::default()
        };
        assert!(matches!(
            Bounds::plan(&ROOMY, &w),
            Err(BoundsError::Threads(_))
        ));
    }
    let m = MachineResources {
        sockets: 100,
        ..ROOMY
    };
    assert!(matches!(
        Bounds::plan(&m, &BoundsSettings::default()),
        Err(BoundsError::TooFew { .. })
    ));
}
