//! One stream of an engine: what it has produced, who reads it, and the reading.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use bytes::Bytes;
use tokio::sync::watch;

use crate::connection_gate::GatePass;
use crate::engine_text::{AnswerWriter, CompletionRequest, DONE_EVENT};

/// Why a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// Every token was produced.
    Finished,
    /// Only the cache was filled, as the engine's role says.
    Prefilled,
    /// It was cancelled.
    Cancelled,
    /// It was exported and goes on elsewhere.
    Exported,
    /// It never began, since the engine changed while it waited.
    Refused,
    /// The engine lost it.
    Lost,
}

impl StreamEnd {
    /// The finish reason in answers.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Finished => "length",
            Self::Prefilled => "prefill",
            Self::Cancelled => "cancelled",
            Self::Exported => "exported",
            Self::Refused => "refused",
            Self::Lost => "lost",
        }
    }
}

/// How far a stream is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamProgress {
    /// Tokens produced.
    pub produced: u32,
    /// Why it ended, if it did.
    pub end: Option<StreamEnd>,
}

#[derive(Debug)]
struct ReaderCount {
    readers: u32,
    idle_since: Instant,
}

/// One stream.
#[derive(Debug)]
pub struct StreamState {
    /// Its name, if the caller gave one.
    pub name: Option<String>,
    /// What was asked for.
    pub request: CompletionRequest,
    /// Writes its answer.
    pub writer: AnswerWriter,
    imported: bool,
    progress: watch::Sender<StreamProgress>,
    readers: Mutex<ReaderCount>,
}

impl StreamState {
    /// A stream whose prompt is still to be read.
    pub fn new(name: Option<String>, request: CompletionRequest, writer: AnswerWriter) -> Self {
        Self::with_progress(name, request, writer, None)
    }

    /// A stream that was imported after so many tokens, with its cache.
    pub fn imported(
        name: Option<String>,
        request: CompletionRequest,
        writer: AnswerWriter,
        produced: u32,
    ) -> Self {
        Self::with_progress(name, request, writer, Some(produced))
    }

    fn with_progress(
        name: Option<String>,
        request: CompletionRequest,
        writer: AnswerWriter,
        imported: Option<u32>,
    ) -> Self {
        let progress = StreamProgress {
            produced: imported.unwrap_or(0),
            end: None,
        };
        Self {
            name,
            request,
            writer,
            imported: imported.is_some(),
            progress: watch::Sender::new(progress),
            readers: Mutex::new(ReaderCount {
                readers: 0,
                idle_since: Instant::now(),
            }),
        }
    }

    /// Whether it came with its cache.
    pub fn is_imported(&self) -> bool {
        self.imported
    }

    /// How far it is.
    pub fn progress(&self) -> StreamProgress {
        *self.progress.borrow()
    }

    /// Tells of further progress.
    pub fn watch(&self) -> watch::Receiver<StreamProgress> {
        self.progress.subscribe()
    }

    /// Produces one token; true if it was the last.
    pub fn produce(&self) -> bool {
        let mut last = false;
        self.progress.send_if_modified(|progress| {
            if progress.end.is_some() {
                return false;
            }
            progress.produced += 1;
            last = progress.produced >= self.request.tokens;
            if last {
                progress.end = Some(StreamEnd::Finished);
            }
            true
        });
        last
    }

    /// Ends it unless it has ended; true if this call ended it.
    pub fn end(&self, end: StreamEnd) -> bool {
        self.progress.send_if_modified(|progress| {
            let open = progress.end.is_none();
            progress.end = progress.end.or(Some(end));
            open
        })
    }

    /// Whether nobody has read it since the given time.
    pub fn is_idle_since(&self, time: Instant) -> bool {
        let readers = self.readers.lock().expect("not poisoned");
        readers.readers == 0 && readers.idle_since <= time
    }
}

/// Counts as a reader of a stream for as long as it lives.
#[derive(Debug)]
pub struct ReaderGuard {
    stream: Arc<StreamState>,
    ends_stream: bool,
}

impl ReaderGuard {
    /// Reads a stream. Without a reader a named stream is kept for a while, any other ends.
    pub fn new(stream: Arc<StreamState>) -> Self {
        stream.readers.lock().expect("not poisoned").readers += 1;
        let ends_stream = stream.name.is_none() || !stream.request.stream;
        Self {
            stream,
            ends_stream,
        }
    }

    /// The stream.
    pub fn stream(&self) -> &Arc<StreamState> {
        &self.stream
    }
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        let mut readers = self.stream.readers.lock().expect("not poisoned");
        readers.readers -= 1;
        readers.idle_since = Instant::now();
        let is_last = readers.readers == 0;
        drop(readers);
        if self.ends_stream && is_last {
            self.stream.end(StreamEnd::Cancelled);
        }
    }
}

/// What a reader does next.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadStep {
    /// Send these bytes.
    Send(Bytes),
    /// Break the connection.
    Break,
    /// The answer is complete.
    End,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadPhase {
    Tokens,
    Usage,
    Done,
    End,
}

/// Reads a stream as server-sent events.
#[derive(Debug)]
pub struct EventReader {
    guard: ReaderGuard,
    progress: watch::Receiver<StreamProgress>,
    pass: GatePass,
    next: u32,
    left_before_break: Option<u32>,
    phase: ReadPhase,
}

impl EventReader {
    /// Reads from a token's index on. After so many tokens, if given, the connection breaks.
    pub fn new(
        stream: Arc<StreamState>,
        pass: GatePass,
        from: u32,
        break_after: Option<u32>,
    ) -> Self {
        let progress = stream.watch();
        Self {
            guard: ReaderGuard::new(stream),
            progress,
            pass,
            next: from,
            left_before_break: break_after,
            phase: ReadPhase::Tokens,
        }
    }

    /// The stream that is read.
    pub fn stream(&self) -> &Arc<StreamState> {
        self.guard.stream()
    }

    /// The next piece of the answer.
    pub async fn step(&mut self) -> ReadStep {
        match self.phase {
            ReadPhase::Tokens => self.next_token().await,
            ReadPhase::Usage => {
                self.phase = ReadPhase::Done;
                let tokens = self.stream().progress().produced;
                ReadStep::Send(self.stream().writer.usage_event(tokens))
            }
            ReadPhase::Done => {
                self.phase = ReadPhase::End;
                ReadStep::Send(Bytes::from_static(DONE_EVENT.as_bytes()))
            }
            ReadPhase::End => ReadStep::End,
        }
    }

    async fn next_token(&mut self) -> ReadStep {
        let next = self.next;
        let ready = |p: &StreamProgress| p.produced > next || p.end.is_some();
        let Ok(progress) = self.progress.wait_for(ready).await.map(|p| *p) else {
            return ReadStep::Break;
        };
        self.pass.wait().await;
        if self.left_before_break == Some(0) || progress.end == Some(StreamEnd::Lost) {
            return ReadStep::Break;
        }
        if next >= progress.produced {
            return self.end_without_token(progress.end.unwrap_or(StreamEnd::Lost));
        }
        self.next += 1;
        self.left_before_break = self.left_before_break.map(|left| left - 1);
        let finished = progress.end == Some(StreamEnd::Finished);
        let is_last = finished && self.next == progress.produced;
        if is_last {
            self.phase = self.phase_after_tokens();
        }
        let reason = is_last.then_some(StreamEnd::Finished.reason());
        ReadStep::Send(self.stream().writer.token_event(next, reason))
    }

    /// A cut stream ends without the end marker, so that nobody takes it for complete.
    fn end_without_token(&mut self, end: StreamEnd) -> ReadStep {
        self.phase = match end {
            StreamEnd::Finished => self.phase_after_tokens(),
            _ => ReadPhase::End,
        };
        ReadStep::Send(self.stream().writer.end_event(end.reason()))
    }

    fn phase_after_tokens(&self) -> ReadPhase {
        match self.stream().request.usage {
            true => ReadPhase::Usage,
            false => ReadPhase::Done,
        }
    }
}
