//! Entries of batch jobs as older versions wrote them.

use amaranth_wire::batch_entry::{BatchEntry, BlobRef, ItemRequest, ItemRequests, SubmittedItem};
use amaranth_wire::id::LogOffset;
use serde::Serialize;
use serde_bytes::ByteBuf;

#[derive(Serialize)]
struct OldBlobRef {
    key: &'static str,
    offset: u64,
    records: u32,
    bytes: u64,
}

#[derive(Serialize)]
struct OldItem {
    id: &'static str,
    path: &'static str,
    headers: Vec<(&'static str, &'static str)>,
    tokens: u64,
}

#[derive(Serialize)]
struct OldJob {
    job: &'static str,
    host: &'static str,
    path: &'static str,
    received_ms: u64,
    items: Vec<OldItem>,
    bodies: OldBlobRef,
}

#[derive(Serialize)]
enum OldEntry {
    Submitted(OldJob),
}

#[test]
fn an_old_submission_has_no_quota_and_its_own_request_data() {
    let old = OldEntry::Submitted(OldJob {
        job: "j1",
        host: "a.example",
        path: "/p/",
        received_ms: 7,
        items: vec![OldItem {
            id: "i1",
            path: "/p/1",
            headers: vec![("x-model", "m")],
            tokens: 10,
        }],
        bodies: OldBlobRef {
            key: "j1/00",
            offset: 3,
            records: 1,
            bytes: 2,
        },
    });
    let bytes = rmp_serde::to_vec(&old).unwrap();
    let BatchEntry::Submitted(job) = BatchEntry::decode(&bytes).unwrap() else {
        panic!("another entry");
    };
    let expected = BlobRef {
        key: "j1/00".to_owned(),
        offset: LogOffset(3),
        records: 1,
        bytes: 2,
        partition: 0,
    };
    assert_eq!((job.quota.clone(), job.call), (None, 0));
    assert_eq!(job.bodies, expected);
    let bodies = rmp_serde::to_vec(&vec![ByteBuf::from("ab")]).unwrap();
    let requests: ItemRequests = rmp_serde::from_slice(&bodies).unwrap();
    let request = requests.into_request(0, &job.items[0]).unwrap();
    assert_eq!(request.path, "/p/1");
    assert_eq!(request.headers, [("x-model".to_owned(), "m".to_owned())]);
    assert_eq!(request.body, ByteBuf::from("ab"));
}

#[test]
fn requests_are_read_back_by_index() {
    let request = |path: &str| ItemRequest {
        path: path.to_owned(),
        headers: vec![("x-model".to_owned(), "m".to_owned())],
        body: ByteBuf::from(vec![0, 255]),
    };
    let stored = ItemRequests::Requests(vec![request("/p/1"), request("/p/2")]);
    let bytes = rmp_serde::to_vec(&stored).unwrap();
    let item = SubmittedItem {
        id: "i2".parse().unwrap(),
        path: String::new(),
        headers: Vec::new(),
        tokens: 1,
    };
    let read = |index| {
        let requests: ItemRequests = rmp_serde::from_slice(&bytes).unwrap();
        requests.into_request(index, &item)
    };
    assert_eq!(read(1), Some(request("/p/2")));
    assert_eq!(read(2), None);
}
