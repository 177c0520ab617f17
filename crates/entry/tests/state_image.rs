//! An instance that starts from an image never reads the entries before it, so the image must
//! contain every fold.

use amaranth_entry::shared_state::SharedState;
use amaranth_kernel::request_intents::IntentStep;
use amaranth_wire::id::{LogOffset, RequestId, WriterId};
use amaranth_wire::record::{LogRecord, RecordBatch, RecordEntry};

const TIME_MS: u64 = 1_000_000;

fn entry(offset: u64, record: LogRecord) -> RecordEntry {
    RecordEntry {
        offset: LogOffset(offset),
        time_ms: TIME_MS,
        batch: RecordBatch::new(WriterId(1), offset + 1).with_records(vec![record]),
    }
}

#[test]
fn restored_image_contains_call_intents() {
    let request: RequestId = "booking-7".parse().expect("a valid request id");
    let intended = LogRecord::CallIntended {
        request: request.clone(),
        digest: "aa".to_owned(),
        attempt: 5,
        limit_ms: 1_000,
    };
    let first = SharedState::new(WriterId(1));
    first.fold(&entry(0, intended));
    let (_, image) = first.image();
    let second = SharedState::new(WriterId(2));
    second.restore(&image).expect("an image");
    let step = second.intents().next_step(&request, "aa", 6, TIME_MS);
    assert_eq!(step, IntentStep::Running);
}
