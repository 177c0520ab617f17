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

/// Input read at the prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromptLine {
    /// A line, without its line break.
    Text(String),
    /// The line was cancelled with Ctrl-C.
    Cancelled,
    /// End of input.
    EndOfInput,
}

/// Completes the word before the cursor with the words that the parser accepts there.
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
    /// Opens an editor on the terminal; the history is kept in memory only.
    pub fn new() -> rustyline::Result<Self> {
        let history = MemHistory::new();
        let mut editor = Editor::with_history(Config::default(), history)?;
        editor.set_helper(Some(WordCompleter));
        Ok(Self { editor })
    }

    /// Reads a line and adds it to the history.
    pub fn read(&mut self) -> rustyline::Result<PromptLine> {
        match self.editor.readline(PROMPT) {
            Ok(line) => {
                let _ = self.editor.add_history_entry(&line);
                Ok(PromptLine::Text(line))
            }
            Err(ReadlineError::Interrupted) => Ok(PromptLine::Cancelled),
            Err(ReadlineError::Eof) => Ok(PromptLine::EndOfInput),
            Err(e) => Err(e),
        }
    }
}
