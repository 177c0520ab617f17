//! The interactive prompt.

use amaranth_kernel::language::completion::complete;
use rustyline::completion::Completer;
use rustyline::error::ReadlineError;
use rustyline::highlight::Highlighter;
use rustyline::hint::Hinter;
use rustyline::history::MemHistory;
use rustyline::validate::Validator;
use rustyline::{Config, Context, Editor, Helper};

const PROMPT: &str = "amaranth> ";

/// What the operator typed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromptLine {
    /// A line.
    Text(String),
    /// The line was given up.
    Dropped,
    /// The end.
    End,
}

/// Completes words as the parser expects them.
#[derive(Debug, Default)]
pub struct WordCompleter;

impl Completer for WordCompleter {
    type Candidate = String;

    fn complete(
        &self,
        line: &str,
        pos: usize,
        _: &Context<'_>,
    ) -> rustyline::Result<(usize, Vec<String>)> {
        Ok(complete(&line[..pos]))
    }
}

impl Hinter for WordCompleter {
    type Hint = String;
}

impl Highlighter for WordCompleter {}
impl Validator for WordCompleter {}
impl Helper for WordCompleter {}

/// A line editor with history and completion.
pub struct LinePrompt {
    editor: Editor<WordCompleter, MemHistory>,
}

impl LinePrompt {
    /// An editor on the terminal.
    pub fn new() -> rustyline::Result<Self> {
        let history = MemHistory::new();
        let mut editor = Editor::with_history(Config::default(), history)?;
        editor.set_helper(Some(WordCompleter));
        Ok(Self { editor })
    }

    /// Reads a line.
    pub fn read(&mut self) -> rustyline::Result<PromptLine> {
        match self.editor.readline(PROMPT) {
            Ok(line) => {
                let _ = self.editor.add_history_entry(&line);
                Ok(PromptLine::Text(line))
            }
            Err(ReadlineError::Interrupted) => Ok(PromptLine::Dropped),
            Err(ReadlineError::Eof) => Ok(PromptLine::End),
            Err(e) => Err(e),
        }
    }
}
