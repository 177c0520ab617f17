//! Reports the error budget of each tier: how fast it is used up, and by which causes.

pub mod burn_rate;
pub mod cli;
pub mod collect;
pub mod history;
pub mod plot;
pub mod report;
