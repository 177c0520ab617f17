//! The file table: which file of a job is kept, and for how long.

use amaranth_kernel::file_table::{FILE_TTL_MS, FileTable};
use amaranth_wire::id::{JobId, LogOffset};
use amaranth_wire::record::LogRecord;

fn stored(job: &str, upload: u64) -> LogRecord {
    LogRecord::FileStored {
        job: job.parse().expect("an identifier"),
        upload,
        team: "crew".parse().expect("an identifier"),
        tier: "shading".parse().expect("an identifier"),
        count: 1,
        digest: String::new(),
        bytes: 1,
        name: String::new(),
        stored_ms: 0,
    }
}

#[test]
fn first_file_of_a_job_is_kept_until_it_expires() {
    let job: JobId = "batch_1".parse().expect("an identifier");
    let mut table = FileTable::default();
    // Log time, stored job and upload, expected upload of `job` afterwards.
    let steps = [
        (0, ("batch_1", 7), Some(7)),
        (5, ("batch_1", 8), Some(7)),
        (FILE_TTL_MS, ("batch_2", 1), Some(7)),
        (FILE_TTL_MS + 1, ("batch_2", 1), None),
        (FILE_TTL_MS + 2, ("batch_1", 9), Some(9)),
    ];
    for (offset, (time_ms, (name, upload), expected)) in steps.into_iter().enumerate() {
        table.apply(LogOffset(offset as u64), time_ms, &stored(name, upload));
        assert_eq!(
            table.get(&job).map(|file| file.upload),
            expected,
            "at {time_ms}"
        );
    }
}
