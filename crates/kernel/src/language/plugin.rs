//! Commands as plug-ins: a verb, the role that it needs, and the parser of what follows it.

use super::lexer::PartResult;
use super::statement::Statement;

/// One verb of the language.
pub struct CommandPlugin {
    /// The verb.
    pub verb: &'static str,
    /// How the statement is written.
    pub usage: &'static str,
    /// Parses what follows the verb.
    pub(crate) parse: fn(&mut &str) -> PartResult<Statement>,
}

inventory::collect!(CommandPlugin);

/// Every verb, sorted.
pub fn commands() -> Vec<&'static CommandPlugin> {
    let mut commands: Vec<_> = inventory::iter::<CommandPlugin>().collect();
    commands.sort_unstable_by_key(|command| command.verb);
    commands
}

/// The verb of this name.
pub fn command(verb: &str) -> Option<&'static CommandPlugin> {
    inventory::iter::<CommandPlugin>().find(|command| command.verb == verb)
}
