//! Byte stream of a caller's connection that tells how long the connection has waited for what.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, MutexGuard};
use std::task::{Context, Poll};

use amaranth_net::state_lock::StateMutex;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::answer::{AnswerBody, BrokenBody};

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkPhase {
    /// The first byte of a request.
    Idle,
    /// The rest of a request's head.
    Head,
    /// The end of a call: its body, its answer, or the caller's reading of it.
    Call,
}

/// A phase with its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PhaseStart {
    /// The phase.
    pub phase: LinkPhase,
    /// When it began.
    pub since: Instant,
}

#[derive(Debug)]
struct ClockState {
    start: PhaseStart,
    /// Whether the caller has yet to read bytes that were written.
    is_write_blocked: bool,
    /// Whether an answer was given before the end of its request's body.
    has_unread_body: bool,
}

/// Records the phases of a connection. Shared by its stream and its calls.
#[derive(Debug, Clone)]
pub struct PhaseClock(Arc<StateMutex<ClockState>>);

impl PhaseClock {
    /// Creates a clock for a connection that was just accepted.
    pub fn new() -> Self {
        Self(Arc::new(StateMutex::new(ClockState {
            start: start_now(LinkPhase::Idle),
            is_write_blocked: false,
            has_unread_body: false,
        })))
    }

    /// Records that a call has begun; it ends when the returned guard is dropped.
    pub fn begin_call(&self) -> CallGuard {
        self.lock().start = start_now(LinkPhase::Call);
        CallGuard(self.clone())
    }

    /// Records that an answer is given before the end of its request's body.
    pub fn set_unread_body(&self) {
        self.lock().has_unread_body = true;
    }

    /// Whether an answer was given before the end of its request's body.
    pub fn has_unread_body(&self) -> bool {
        self.lock().has_unread_body
    }

    /// The phase in which the connection waits for its caller to send; `None` in a call.
    pub fn waiting(&self) -> Option<PhaseStart> {
        let state = self.lock();
        let waits = state.start.phase != LinkPhase::Call && !state.is_write_blocked;
        waits.then_some(state.start)
    }

    /// Line breaks between two requests belong to neither head.
    fn record_read(&self, bytes: &[u8]) {
        let mut state = self.lock();
        if state.start.phase == LinkPhase::Idle && has_head_byte(bytes) {
            state.start = start_now(LinkPhase::Head);
        }
    }

    fn record_write(&self, is_blocked: bool) {
        let mut state = self.lock();
        if state.is_write_blocked && state.start.phase == LinkPhase::Idle {
            state.start = start_now(LinkPhase::Idle);
        }
        state.is_write_blocked = is_blocked;
    }

    fn lock(&self) -> MutexGuard<'_, ClockState> {
        self.0.lock()
    }
}

impl Default for PhaseClock {
    fn default() -> Self {
        Self::new()
    }
}

fn start_now(phase: LinkPhase) -> PhaseStart {
    let since = Instant::now();
    PhaseStart { phase, since }
}

/// Whether bytes before a request contain more than line breaks.
pub fn has_head_byte(bytes: &[u8]) -> bool {
    bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n'))
}

/// Ends a call's phase when it is dropped.
#[derive(Debug)]
pub struct CallGuard(PhaseClock);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.lock().start = start_now(LinkPhase::Idle);
    }
}

/// Body of an answer that ends its call's phase.
pub struct GuardedBody {
    /// The body.
    pub body: AnswerBody,
    /// Dropped with the body.
    pub guard: CallGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BrokenBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenBody>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A caller's connection, with a clock of its phases.
#[derive(Debug)]
pub struct CallerStream {
    /// The connection.
    pub stream: TcpStream,
    clock: PhaseClock,
}

impl CallerStream {
    /// Creates a stream that records its phases.
    pub fn new(stream: TcpStream, clock: PhaseClock) -> Self {
        Self { stream, clock }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.clock.record_read(&buffer.filled()[before..]);
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.clock.record_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.clock.record_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
