//! Event framing: unchanged bytes, incomplete events, the size limit, and chunk boundaries.

use amaranth_kernel::event_framing::EventFraming;
use proptest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata:c\r\n\r\n: comment\n\nx-weight: 3\nid: 3\ndata: d\n\n";

fn frame(chunks: &[&[u8]]) -> (Vec<u8>, Vec<Option<u64>>, Vec<String>, bool) {
    let mut framing = EventFraming::new();
    let (mut bytes, mut ids, mut data) = (Vec::new(), Vec::new(), Vec::new());
    for chunk in chunks {
        framing.push(chunk).unwrap();
        while let Some(event) = framing.next_event() {
            ids.push(event.id);
            data.push(event.data());
            bytes.extend_from_slice(&event.bytes);
        }
    }
    (bytes, ids, data, framing.has_partial())
}

#[test]
fn events_are_passed_on_unchanged() {
    let (bytes, ids, data, partial) = frame(&[STREAM]);
    assert_eq!(bytes, STREAM);
    assert_eq!(ids, [Some(1), Some(2), None, Some(3)]);
    assert_eq!(data, ["a", "b\nc", "", "d"]);
    assert!(!partial);
}

#[test]
fn an_incomplete_event_stays_buffered() {
    let (bytes, _, _, partial) = frame(&[&STREAM[..20]]);
    assert_eq!(bytes, &STREAM[..15]);
    assert!(partial);
}

#[test]
fn an_oversized_event_is_an_error() {
    let mut framing = EventFraming::new();
    let chunk = [b'x'; 1 << 16];
    let pushed: Vec<_> = (0..17).map(|_| framing.push(&chunk).is_ok()).collect();
    assert!(pushed[..15].iter().all(|ok| *ok));
    assert!(!pushed[16]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(12), ..Default::default() })]

    #[test]
    fn chunk_boundaries_do_not_change_the_events(cuts in prop::collection::vec(0..STREAM.len(), 0..12)) {
        let mut cuts = cuts;
        cuts.extend([0, STREAM.len()]);
        cuts.sort_unstable();
        let chunks: Vec<&[u8]> = cuts.windows(2).map(|cut| &STREAM[cut[0]..cut[1]]).collect();
        prop_assert_eq!(frame(&chunks), frame(&[STREAM]));
    }
}
