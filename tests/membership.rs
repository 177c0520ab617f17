//! Instances notice each other's loss even when the platform's list does not.

mod support;

use serde_json::json;
use support::{TestFleet, batch_lines};

#[tokio::test]
async fn jobs_of_a_lost_instance_move_while_the_list_stands_still() {
    let mut fleet = TestFleet::start(2, 4).await;
    fleet.platform_faults(json!({"list_frozen": true})).await;
    fleet.kill("entry-4");
    // Enough jobs that some fall into shards for which the lost instance comes first.
    let mut jobs = Vec::new();
    for index in 0..12 {
        let lines = batch_lines(&format!("lot-{index}"), 3, 1);
        let (status, job) = fleet
            .post("entry-1", "/v1/batches", &[], lines)
            .await
            .expect("an answer");
        assert_eq!(status, 200, "{job}");
        jobs.push(job["id"].as_str().expect("an id").to_owned());
    }
    for job in &jobs {
        let ended = fleet.wait_job("entry-2", job).await;
        assert_eq!(ended["request_counts"]["completed"], 3);
    }
}
