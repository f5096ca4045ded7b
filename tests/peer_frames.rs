//! Messages between controllers of different releases.

use hookworks::wire::peer::{Answer, PeerMessage, PingExtension, PingIdentity};
use hookworks::wire::peer_frame::{PingTail, encode, read};

fn ping() -> PeerMessage {
    PeerMessage::Ping {
        from: "a".into(),
        leader: None,
        reachable: vec![],
        workers: 3,
    }
}

/// The previous release neither sends nor reads a validity limit with a response.
#[test]
fn answers_are_readable_across_versions() {
    let config = bincode::config::standard();
    let mut answer = Answer::later("x", 3);
    answer.valid_us = Some(1_500_000);
    let (id, to) = (5, "b".to_string());
    let new = PeerMessage::Response { id, to, answer };
    let bytes = bincode::encode_to_vec(&new, config).unwrap();
    let (read, _): (PeerMessage, _) = bincode::decode_from_slice(&bytes, config).unwrap();
    assert_eq!(read, new);
    // The third variant of the message, with the fields of the previous release.
    let before = (2u32, 5u64, "b", 503u16, r#"{"error":"x"}"#, Some(3u32));
    let before = bincode::encode_to_vec(before, config).unwrap();
    assert_eq!(bytes[..before.len()], before);
    let (read, n): (PeerMessage, _) = bincode::decode_from_slice(&before, config).unwrap();
    let PeerMessage::Response { answer, .. } = read else {
        panic!("{read:?}")
    };
    assert_eq!(
        (n, answer.retry_after, answer.valid_us),
        (before.len(), Some(3), None)
    );
}

/// During a rolling restart controllers of two versions exchange pings.
#[test]
fn pings_are_readable_across_versions() {
    let more = PingExtension {
        max_workers: Some(7),
        version: 1,
    };
    let own = PingIdentity { instance: 9 };
    let mut new = vec![];
    encode(&ping(), (more, own), &mut new).unwrap();
    assert_eq!(read(&mut &new[..]).unwrap(), (ping(), (more, Some(own))));
    // The previous release sends only its capacity and version.
    let before = bincode::encode_to_vec((ping(), more), bincode::config::standard()).unwrap();
    let mut framed = (before.len() as u32).to_be_bytes().to_vec();
    framed.extend_from_slice(&before);
    assert_eq!(read(&mut &framed[..]).unwrap(), (ping(), (more, None)));
    assert_eq!(new[4..4 + before.len()], before);
    // An earlier version sends and reads only the message.
    let old = bincode::encode_to_vec(ping(), bincode::config::standard()).unwrap();
    let mut framed = (old.len() as u32).to_be_bytes().to_vec();
    framed.extend_from_slice(&old);
    assert_eq!(
        read(&mut &framed[..]).unwrap(),
        (ping(), PingTail::default())
    );
    assert_eq!(new[4..4 + old.len()], old);
}
