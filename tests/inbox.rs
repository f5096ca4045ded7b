//! The order in which the main loop takes messages, and the requests that it drops.

use hookworks::node::inbox::inbox;
use hookworks::node::is_expired;
use hookworks::time::Span;
use hookworks::wire::peer::Request;

/// Heartbeats of about 4,000 machines that arrive faster than they are handled.
const BACKLOG: u32 = 4000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Message {
    Heartbeat(u32),
    Question(u32),
}

/// Guards against questions that wait behind thousands of heartbeats until their users
/// have timed out.
#[test]
fn question_does_not_wait_behind_a_backlog_of_heartbeats() {
    let (senders, mut inbox) = inbox(BACKLOG as usize);
    for n in 0..BACKLOG {
        senders.heartbeats.send(Message::Heartbeat(n)).unwrap();
    }
    senders.others.send(Message::Question(1)).unwrap();
    let first_two = [inbox.try_next(), inbox.try_next()];
    assert!(
        first_two.contains(&Some(Message::Question(1))),
        "{first_two:?}"
    );
}

#[test]
fn heartbeat_does_not_wait_behind_a_flood_of_questions() {
    let (senders, mut inbox) = inbox(BACKLOG as usize);
    for n in 0..BACKLOG {
        senders.others.send(Message::Question(n)).unwrap();
    }
    senders.heartbeats.send(Message::Heartbeat(1)).unwrap();
    let first_two = [inbox.try_next(), inbox.try_next()];
    assert!(
        first_two.contains(&Some(Message::Heartbeat(1))),
        "{first_two:?}"
    );
}

#[test]
fn each_queue_keeps_its_order_and_loses_nothing() {
    let (senders, mut inbox) = inbox(BACKLOG as usize);
    for n in 0..100 {
        senders.heartbeats.send(Message::Heartbeat(n)).unwrap();
        if n < 10 {
            senders.others.send(Message::Question(n)).unwrap();
        }
    }
    assert_eq!(inbox.waiting(), 110);
    let taken: Vec<Message> = std::iter::from_fn(|| inbox.try_next()).collect();
    let (heartbeats, questions): (Vec<Message>, Vec<Message>) = taken
        .into_iter()
        .partition(|m| matches!(m, Message::Heartbeat(_)));
    let expected: Vec<Message> = (0..100).map(Message::Heartbeat).collect();
    assert_eq!(heartbeats, expected);
    let expected: Vec<Message> = (0..10).map(Message::Question).collect();
    assert_eq!(questions, expected);
}

/// Guards against a lasting overload: requests whose senders had timed out were handled
/// like all others, which delayed the next ones.
#[test]
fn request_whose_sender_has_timed_out_is_not_handled() {
    let question = Request::Poll("job-000412".into());
    let heartbeat = Request::Report(vec![]);
    let submission = Request::Submit(vec![]);
    // By the protocol a user waits 2 s for an answer, a worker 4 s, a submission 5 s.
    assert!(is_expired(&question, Span::secs(2.0)));
    assert!(is_expired(&heartbeat, Span::secs(4.0)));
    assert!(is_expired(&submission, Span::secs(5.0)));
    assert!(!is_expired(&question, Span::secs(1.0)));
    assert!(!is_expired(&heartbeat, Span::secs(3.0)));
    assert!(!is_expired(&submission, Span::secs(4.0)));
}
