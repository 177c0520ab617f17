//! Decides what an answer on a connection proves about the request that was sent last.
//!
//! An upstream may send an answer again, at the point where the next one is expected. Only its
//! request id, or a connection without an earlier request, tells such an answer apart.

/// Request that an answer names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerName {
    /// The request that was sent last.
    Own,
    /// Another request.
    Other,
    /// None.
    Missing,
}

impl AnswerName {
    /// Compares the id in an answer with that of the request.
    pub fn new(named: Option<&str>, own: &str) -> Self {
        match named {
            None => Self::Missing,
            Some(named) if named == own => Self::Own,
            Some(_) => Self::Other,
        }
    }
}

/// What an answer states about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerStatement {
    /// The upstream did not run it.
    Refused,
    /// The process at the address is not the expected upstream and did not run it.
    Misdirected,
    /// None of these: it may be the outcome of a run.
    Outcome,
}

/// Use of a connection before the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUse {
    /// No other request was sent on it.
    Fresh,
    /// Other requests were sent on it.
    Reused,
}

/// What an answer proves about the request that was sent last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerProof {
    /// It is the outcome of the request.
    Outcome,
    /// The upstream did not run the request.
    Refused,
    /// Another process has the upstream's address and did not run the request.
    Misdirected,
    /// Nothing: it may belong to another request.
    Nothing,
}

/// Decides what an answer proves. One that names no request can't be attributed after other requests
/// on its connection; a refusal may lack the id, an outcome must have it.
pub fn prove(
    name: AnswerName,
    statement: AnswerStatement,
    connection: ConnectionUse,
) -> AnswerProof {
    let is_own = match name {
        AnswerName::Own => true,
        AnswerName::Other => false,
        AnswerName::Missing => {
            connection == ConnectionUse::Fresh && statement != AnswerStatement::Outcome
        }
    };
    match (is_own, statement) {
        (false, _) => AnswerProof::Nothing,
        (true, AnswerStatement::Refused) => AnswerProof::Refused,
        (true, AnswerStatement::Misdirected) => AnswerProof::Misdirected,
        (true, AnswerStatement::Outcome) => AnswerProof::Outcome,
    }
}
