//! The settings file: JSON with comments, checked whole before anything starts.

pub mod fleet;
pub mod operator;
pub mod reader;
pub mod team;
pub mod tier;
pub mod upstream;
