//! One generated stream of an engine: its progress, its readers, and its encoding as events.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use bytes::Bytes;
use tokio::sync::watch;

use crate::connection_gate::GateWaiter;
use crate::engine_text::{AnswerWriter, CompletionRequest, DONE_EVENT};

/// Why a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// Every requested token was generated.
    Finished,
    /// The prompt was prefilled on an engine whose role is prefill only.
    Prefilled,
    /// Cancelled by a caller, or for lack of a reader.
    Cancelled,
    /// Exported, to continue on another engine.
    Exported,
    /// Dropped from the queue because the engine's model or role changed.
    Refused,
    /// Discarded by an injected fault.
    Lost,
}

impl StreamEnd {
    /// The `finish_reason` in answers.
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

/// Progress of a stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamProgress {
    /// Tokens generated so far.
    pub produced: u32,
    /// Why the stream ended; `None` while it is open.
    pub end: Option<StreamEnd>,
}

#[derive(Debug)]
struct ReaderCount {
    readers: u32,
    idle_since: Instant,
}

/// A stream shared by the batch that generates it and its readers.
#[derive(Debug)]
pub struct StreamState {
    /// Stream id from the caller, needed to resume it.
    pub name: Option<String>,
    /// The request that the stream answers.
    pub request: CompletionRequest,
    /// Encodes the answer.
    pub writer: AnswerWriter,
    imported: bool,
    progress: watch::Sender<StreamProgress>,
    readers: Mutex<ReaderCount>,
}

impl StreamState {
    /// Creates a stream whose prompt is not prefilled yet.
    pub fn new(name: Option<String>, request: CompletionRequest, writer: AnswerWriter) -> Self {
        Self::with_progress(name, request, writer, None)
    }

    /// Creates a stream imported with its cache after `produced` tokens.
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

    /// Whether the stream was imported with its cache and needs no prefill.
    pub fn is_imported(&self) -> bool {
        self.imported
    }

    /// The current progress.
    pub fn progress(&self) -> StreamProgress {
        *self.progress.borrow()
    }

    /// Subscribes to progress.
    pub fn watch(&self) -> watch::Receiver<StreamProgress> {
        self.progress.subscribe()
    }

    /// Generates one token. Returns true if it was the last.
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

    /// Ends the stream if it is open. Returns true if this call ended it.
    pub fn end(&self, end: StreamEnd) -> bool {
        self.progress.send_if_modified(|progress| {
            let open = progress.end.is_none();
            progress.end = progress.end.or(Some(end));
            open
        })
    }

    /// Whether the stream has had no reader since the given time.
    pub fn is_idle_since(&self, time: Instant) -> bool {
        let readers = self.readers.lock().expect("not poisoned");
        readers.readers == 0 && readers.idle_since <= time
    }
}

/// Registers a reader of a stream until dropped.
#[derive(Debug)]
pub struct ReaderGuard {
    stream: Arc<StreamState>,
    ends_stream: bool,
}

impl ReaderGuard {
    /// Registers a reader. When the last reader leaves, a named event stream stays resumable for
    /// the configured retention; any other stream is cancelled.
    pub fn new(stream: Arc<StreamState>) -> Self {
        stream.readers.lock().expect("not poisoned").readers += 1;
        let ends_stream = stream.name.is_none() || !stream.request.stream;
        Self {
            stream,
            ends_stream,
        }
    }

    /// The stream being read.
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

/// Next action of the code that sends a stream to a caller.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadStep {
    /// Send these bytes.
    Send(Bytes),
    /// Break the connection without an end marker.
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

/// Encodes a stream as server-sent events.
#[derive(Debug)]
pub struct EventReader {
    guard: ReaderGuard,
    progress: watch::Receiver<StreamProgress>,
    waiter: GateWaiter,
    next: u32,
    tokens_before_break: Option<u32>,
    phase: ReadPhase,
}

impl EventReader {
    /// Reads from token `from` on and breaks the connection after `break_after` tokens, if set.
    pub fn new(
        stream: Arc<StreamState>,
        waiter: GateWaiter,
        from: u32,
        break_after: Option<u32>,
    ) -> Self {
        let progress = stream.watch();
        Self {
            guard: ReaderGuard::new(stream),
            progress,
            waiter,
            next: from,
            tokens_before_break: break_after,
            phase: ReadPhase::Tokens,
        }
    }

    /// The stream that the events come from.
    pub fn stream(&self) -> &Arc<StreamState> {
        self.guard.stream()
    }

    /// Waits for the next part of the answer.
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
        self.waiter.wait().await;
        if self.tokens_before_break == Some(0) || progress.end == Some(StreamEnd::Lost) {
            return ReadStep::Break;
        }
        if next >= progress.produced {
            return self.end_without_token(progress.end.unwrap_or(StreamEnd::Lost));
        }
        self.next += 1;
        self.tokens_before_break = self.tokens_before_break.map(|left| left - 1);
        let finished = progress.end == Some(StreamEnd::Finished);
        let is_last = finished && self.next == progress.produced;
        if is_last {
            self.phase = self.phase_after_tokens();
        }
        let reason = is_last.then_some(StreamEnd::Finished.reason());
        ReadStep::Send(self.stream().writer.token_event(next, reason))
    }

    /// An unfinished stream gets no end marker, so that callers don't take it for complete.
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
