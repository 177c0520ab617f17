//! The operators' query and command language: parser, statements, tables and query evaluation.
//!
//! The grammar is in `docs/operators/language.md`.

pub mod completion;
mod lexer;
mod parser;
pub mod plugin;
pub mod query;
pub mod statement;
pub mod table;

pub use lexer::{LanguageError, Result};
pub use parser::parse;
