//! The registry of the language's verbs. Each verb registers itself with `inventory::submit!`.

use super::lexer::PartResult;
use super::statement::Statement;

/// A verb with its syntax and parser.
pub struct CommandPlugin {
    /// First word of the statement.
    pub verb: &'static str,
    /// Syntax of the statement.
    pub usage: &'static str,
    /// Parses the rest of the statement after the verb.
    pub(crate) parse: fn(&mut &str) -> PartResult<Statement>,
}

inventory::collect!(CommandPlugin);

/// Every registered verb, sorted by name.
pub fn commands() -> Vec<&'static CommandPlugin> {
    let mut commands: Vec<_> = inventory::iter::<CommandPlugin>().collect();
    commands.sort_unstable_by_key(|command| command.verb);
    commands
}

/// Finds a registered verb by name.
pub fn find_command(verb: &str) -> Option<&'static CommandPlugin> {
    inventory::iter::<CommandPlugin>().find(|command| command.verb == verb)
}
