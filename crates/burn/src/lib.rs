//! Report on service-level burn: how fast each tier uses up the share of requests that may miss
//! its objectives, and why.

pub mod burn_rate;
pub mod cli;
pub mod collect;
pub mod history;
pub mod plot;
pub mod report;
