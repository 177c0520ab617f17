//! Command-line client for operators: runs single statements, scripts, or an interactive prompt.

pub mod cli;
pub mod client;
pub mod prompt;
pub mod render;
pub mod session;
pub mod shell_completion;
