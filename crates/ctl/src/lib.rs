//! The operators' client: one statement, a script, or a prompt.

pub mod cli;
pub mod client;
pub mod prompt;
pub mod render;
pub mod session;
pub mod shell_completion;
