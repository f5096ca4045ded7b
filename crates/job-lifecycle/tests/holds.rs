//! Holds, and the requests that put and release them.

use hookworks_job_lifecycle::{
    Hold, HoldKind, HoldRequest, Holds, MAX_REASON_BYTES, ReleaseRequest, WallMillis,
};

fn hold(kind: HoldKind, by: &str) -> Hold {
    Hold {
        kind,
        by: by.into(),
        why: "é".repeat(200),
        at: WallMillis(7),
    }
}

#[test]
fn each_kind_of_hold_is_put_and_released_by_itself() {
    let mut h = Holds::default();
    assert!(h.put(hold(HoldKind::Operator, "ann")));
    assert!(h.put(hold(HoldKind::User, "bob")));
    assert!(
        !h.put(hold(HoldKind::Operator, "eve")),
        "a second one of a kind"
    );
    assert_eq!(h.get(HoldKind::Operator).unwrap().by, "ann");
    // What is stored is bounded, and cut between two letters.
    assert_eq!(h.get(HoldKind::User).unwrap().why.len(), MAX_REASON_BYTES);
    assert_eq!(h.release(HoldKind::Operator).unwrap().by, "ann");
    assert!(h.release(HoldKind::Operator).is_none() && !h.is_empty());
    let stored = serde_json::to_string(&h).unwrap();
    assert_eq!(serde_json::from_str::<Holds>(&stored).unwrap(), h);
}

#[test]
fn error_names_the_wrong_field() {
    let hold = |b: &str| HoldRequest::parse(b.as_bytes()).unwrap_err();
    assert!(hold("[]").contains("object"));
    assert!(hold("{}").contains("By"));
    assert!(hold(r#"{"By":""}"#).contains("By"));
    assert!(hold(r#"{"By":"a","Kind":"boss"}"#).contains("Kind"));
    assert!(hold(r#"{"By":"a","Kind":"system"}"#).contains("Kind"));
    assert!(hold(r#"{"By":"a","Stop":1}"#).contains("Stop"));
    assert!(hold(r#"{"By":"a"}x"#).contains("trailing"));
    let r = HoldRequest::parse(br#"{"By":"a","New":1}"#).unwrap();
    assert_eq!((r.kind, r.stop), (HoldKind::User, false));
    assert!(ReleaseRequest::parse(br#"{"By":"a","Kind":"system"}"#).is_ok());
}
