//! Assembles one streamed answer from the streams of several attempts.
//!
//! Tokens are numbered from 0. A resumed stream continues after the last token. A restarted stream
//! begins again at 0: tokens that the caller already has are compared and skipped. A restarted
//! answer that differs from what the caller has must not be forwarded.

use std::fmt;

use crate::hashing::hash_bytes;

/// One event of an upstream's stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEvent<'a> {
    /// One token of the answer.
    Token {
        /// Token number, if the upstream numbers tokens.
        index: Option<u32>,
        /// The upstream's id of the answer; empty if it has none.
        answer: &'a str,
        /// Content that has to be equal when the answer is generated again.
        content: &'a str,
    },
    /// The end marker of the stream.
    End,
}

/// What to do with an accepted event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventAction {
    /// Send the token to the caller.
    Forward,
    /// Drop the token: the caller already has it.
    Skip,
    /// End the answer: it is complete.
    Finish,
}

/// Why a stream can't be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AssemblyError {
    /// One or more tokens are missing.
    MissingToken {
        /// Number of the expected token.
        expected: u32,
        /// Number of the received token.
        got: u32,
    },
    /// A restarted answer differs from the one that the caller has in part.
    Diverged {
        /// Number of the first token that differs.
        index: u32,
    },
    /// A resumed stream belongs to another answer.
    OtherAnswer,
}

impl fmt::Display for AssemblyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingToken { expected, got } => {
                write!(f, "expected token {expected}, received token {got}")
            }
            Self::Diverged { index } => {
                write!(f, "the restarted answer differs at token {index}")
            }
            Self::OtherAnswer => f.write_str("the resumed stream belongs to another answer"),
        }
    }
}

impl std::error::Error for AssemblyError {}

/// Result of accepting an event.
pub type Result<T> = std::result::Result<T, AssemblyError>;

/// Hashes of the tokens that the caller has of one answer, and the position of the current stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamAssembly {
    sent: Vec<u64>,
    position: usize,
    answer: Option<u64>,
}

impl StreamAssembly {
    /// Creates an assembly with no tokens sent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of tokens sent to the caller.
    pub fn sent(&self) -> u32 {
        self.sent.len() as u32
    }

    /// Number of the last token received of the current answer, after which a resumed stream
    /// continues. After a restart it can precede the last token that the caller has, since the
    /// tokens between were not compared yet.
    pub fn last_received(&self) -> Option<u32> {
        (self.position as u32).checked_sub(1)
    }

    /// Expects the next stream to generate the answer again from its first token.
    pub fn restart(&mut self) {
        self.position = 0;
        self.answer = None;
    }

    /// Accepts the next event of the current stream. Fails if a token is missing, differs from
    /// what the caller has, or belongs to another answer.
    pub fn accept(&mut self, event: StreamEvent<'_>) -> Result<EventAction> {
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
            false => Err(AssemblyError::OtherAnswer),
        }
    }

    fn accept_token(&mut self, index: Option<u32>, content: u64) -> Result<EventAction> {
        let expected = self.position as u32;
        let index = index.unwrap_or(expected);
        if index > expected {
            return Err(AssemblyError::MissingToken {
                expected,
                got: index,
            });
        }
        self.position = self.position.max(index as usize + 1);
        match self.sent.get(index as usize) {
            Some(&sent) if sent == content => Ok(EventAction::Skip),
            Some(_) => Err(AssemblyError::Diverged { index }),
            None => {
                self.sent.push(content);
                Ok(EventAction::Forward)
            }
        }
    }

    fn accept_end(&self) -> Result<EventAction> {
        let index = self.position as u32;
        match index < self.sent() {
            true => Err(AssemblyError::Diverged { index }),
            false => Ok(EventAction::Finish),
        }
    }
}
