//! Parser for the settings file: JSON with comments, validated completely before anything starts.

pub mod fleet;
pub mod operator;
pub mod reader;
pub mod team;
pub mod tier;
pub mod upstream;
