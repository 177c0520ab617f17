//! Batch jobs on the durable log: accepted once, run by one instance at a time, readable at every
//! instance.

pub mod blobs;
pub mod commit;
pub mod held_items;
pub mod intake;
pub mod item_context;
pub mod item_end;
pub mod item_head;
pub mod item_output;
pub mod item_queue;
pub mod item_run;
pub mod job_reader;
pub mod pending_item;
pub mod pieces;
pub mod progress;
pub mod replica;
pub mod retry_delay;
pub mod shards;
pub mod worker;
