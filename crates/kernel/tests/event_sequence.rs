//! Events that follow each other across upstreams, and ends of streams.

use amaranth_kernel::event_framing::{EventFraming, FramedEvent};
use amaranth_kernel::event_sequence::EventStep::{Relay, Skip};
use amaranth_kernel::event_sequence::{BrokenSequence, EventStep, StreamPosition};

fn event(text: &str) -> FramedEvent {
    let mut framing = EventFraming::new();
    framing.push(text.as_bytes()).unwrap();
    framing.next_event().unwrap()
}

fn position(last_event: Option<u64>, resumed: bool, has_events: bool) -> StreamPosition {
    StreamPosition {
        last_event,
        resumed,
        has_events,
    }
}

#[test]
fn only_the_next_event_is_relayed() {
    let start = position(None, false, false);
    let running = position(Some(2), false, true);
    let resumed = position(Some(2), true, false);
    let resumed_running = position(Some(3), true, true);
    let restarted = position(None, true, false);
    let cases: [(StreamPosition, &str, Option<EventStep>); 19] = [
        (start, "id: 1\ndata: a\n\n", Some(Relay)),
        (start, "id: 13\ndata: a\n\n", Some(Relay)),
        (start, ": wait\n\n", Some(Skip)),
        (start, "data: a\n\n", None),
        (
            start,
            "HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n",
            None,
        ),
        (running, "id: 3\ndata: a\n\n", Some(Relay)),
        (running, "id: 2\ndata: a\n\n", None),
        (running, "id: 4\ndata: a\n\n", None),
        (running, "data: error\n\n", None),
        (running, ": wait\n\n", Some(Relay)),
        (resumed, ": wait\n\n", Some(Skip)),
        (resumed, "id: 1\ndata: a\n\n", Some(Skip)),
        (resumed, "id: 2\ndata: a\n\n", Some(Skip)),
        (resumed, "id: 3\ndata: a\n\n", Some(Relay)),
        (resumed, "id: 4\ndata: a\n\n", None),
        (resumed, "event: error\ndata: full\n\n", None),
        (resumed_running, "id: 2\ndata: a\n\n", None),
        (restarted, "id: 1\ndata: a\n\n", Some(Relay)),
        (
            position(Some(u64::MAX), false, true),
            "id: 0\ndata: a\n\n",
            None,
        ),
    ];
    for (position, text, expected) in cases {
        let step = position.check_event(&event(text)).ok();
        assert_eq!(step, expected, "{position:?} {text:?}");
    }
}

#[test]
fn a_resumed_stream_without_a_new_event_is_not_complete() {
    let empty = BrokenSequence("no event follows 2".to_owned());
    let cases = [
        (position(None, false, false), Ok(())),
        (position(Some(2), false, true), Ok(())),
        (position(Some(3), true, true), Ok(())),
        (position(None, true, false), Ok(())),
        (position(Some(2), true, false), Err(empty)),
    ];
    for (position, expected) in cases {
        assert_eq!(position.check_end(), expected, "{position:?}");
    }
}
