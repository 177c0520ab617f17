//! Batch jobs on the durable log: accepted once, run by one instance at a time, readable
//! everywhere.

pub mod blobs;
pub mod commit;
pub mod intake;
pub mod item_run;
pub mod pieces;
pub mod progress;
pub mod reading;
pub mod replica;
pub mod shards;
pub mod worker;
