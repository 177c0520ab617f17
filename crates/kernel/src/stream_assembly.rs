//! Puts one streamed answer together from the streams of several attempts.
//!
//! Tokens are numbered from 0. A resumed stream goes on behind the last token; a restarted one
//! begins again, and what was already sent is compared and left out. A restarted answer that
//! differs from what the caller has is a diverged one: it may not be sent on.

use std::fmt;

use crate::hashing::hash_bytes;

/// One event of an upstream's stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEvent<'a> {
    /// A token.
    Token {
        /// Its number, where the upstream numbers tokens.
        index: Option<u32>,
        /// The upstream's name for the answer; empty where it has none.
        answer: &'a str,
        /// What has to be the same when the answer is generated again.
        content: &'a str,
    },
    /// The end marker.
    End,
}

/// What to do with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventStep {
    /// Send it to the caller.
    Forward,
    /// The caller has it.
    Skip,
    /// The answer is whole.
    Finish,
}

/// Why a stream can't be sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AssemblyError {
    /// A token is missing before this one.
    Lost {
        /// The number that was due.
        expected: u32,
        /// The number that came.
        got: u32,
    },
    /// A restarted answer has another token at this place.
    Diverged {
        /// The place.
        index: u32,
    },
    /// A resumed stream belongs to another answer.
    Mixed,
}

impl fmt::Display for AssemblyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost { expected, got } => {
                write!(f, "token {got} came where token {expected} was due")
            }
            Self::Diverged { index } => {
                write!(f, "the answer generated again differs at token {index}")
            }
            Self::Mixed => f.write_str("the resumed stream belongs to another answer"),
        }
    }
}

impl std::error::Error for AssemblyError {}

/// Result of taking an event.
pub type Result<T> = std::result::Result<T, AssemblyError>;

/// What the caller has of one streamed answer, and where the current stream stands.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamAssembly {
    sent: Vec<u64>,
    position: usize,
    answer: Option<u64>,
}

impl StreamAssembly {
    /// Nothing sent yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// How many tokens the caller has.
    pub fn sent(&self) -> u32 {
        self.sent.len() as u32
    }

    /// Number of the last token that came from the current answer. A resumed stream goes on
    /// behind it: after a restart that can be before the last token that the caller has, since
    /// what lies between was not compared yet.
    pub fn last_received(&self) -> Option<u32> {
        (self.position as u32).checked_sub(1)
    }

    /// The next stream is the answer generated again from its start.
    pub fn restart(&mut self) {
        self.position = 0;
        self.answer = None;
    }

    /// Takes the next event of the current stream.
    pub fn accept(&mut self, event: StreamEvent<'_>) -> Result<EventStep> {
        match event {
            StreamEvent::End => self.accept_end(),
            StreamEvent::Token {
                index,
                answer,
                content,
            } => {
                self.check_answer(answer)?;
                self.accept_token(index, hash_bytes(content.as_bytes(), 0))
            }
        }
    }

    fn check_answer(&mut self, answer: &str) -> Result<()> {
        let hash = hash_bytes(answer.as_bytes(), 0);
        match *self.answer.get_or_insert(hash) == hash {
            true => Ok(()),
            false => Err(AssemblyError::Mixed),
        }
    }

    fn accept_token(&mut self, index: Option<u32>, content: u64) -> Result<EventStep> {
        let expected = self.position as u32;
        let index = index.unwrap_or(expected);
        if index > expected {
            return Err(AssemblyError::Lost {
                expected,
                got: index,
            });
        }
        self.position = self.position.max(index as usize + 1);
        match self.sent.get(index as usize) {
            Some(&sent) if sent == content => Ok(EventStep::Skip),
            Some(_) => Err(AssemblyError::Diverged { index }),
            None => {
                self.sent.push(content);
                Ok(EventStep::Forward)
            }
        }
    }

    fn accept_end(&self) -> Result<EventStep> {
        let index = self.position as u32;
        match index < self.sent() {
            true => Err(AssemblyError::Diverged { index }),
            false => Ok(EventStep::Finish),
        }
    }
}
