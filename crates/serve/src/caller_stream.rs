//! Byte stream of a caller's connection that tells how long the connection has waited for what.

use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, MutexGuard};
use std::task::{Context, Poll, Waker, ready};

use amaranth_kernel::memory_budget::{MemoryUse, WAITING_EVENT_BYTES};
use amaranth_net::state_lock::StateMutex;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::answer::{AnswerBody, BrokenBody};
use crate::memory_account::{self, MemoryAccount, MemoryGuard};

/// Buffers that are full at a slow caller: that of its socket, that of the upstream's, and as much again for
/// what waits between them.
const FULL_BUFFERS: usize = 3;

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
    /// Since when the caller has accepted none of the bytes that are to be written.
    blocked_since: Option<Instant>,
    /// Bytes of answers that were passed on and not written yet. The heads are written without having been
    /// counted, so it may be a little less.
    unwritten: usize,
    /// The connection's task, if it waits for bytes to be written.
    waker: Option<Waker>,
    /// Whether an answer was given before the end of its request's body.
    has_unread_body: bool,
    /// Memory of the heads that were read and have begun no call yet; `None` if it isn't accounted for.
    heads: Option<MemoryGuard>,
}

/// Records the phases of a connection. Shared by its stream and its calls.
#[derive(Debug, Clone)]
pub struct PhaseClock(Arc<StateMutex<ClockState>>);

impl PhaseClock {
    /// Creates a clock for a connection that was just accepted.
    pub fn new() -> Self {
        Self(Arc::new(StateMutex::new(ClockState {
            start: start_now(LinkPhase::Idle),
            blocked_since: None,
            unwritten: 0,
            waker: None,
            has_unread_body: false,
            heads: None,
        })))
    }

    /// Records that a call has begun, whose head needs no memory any more; it ends when the returned guard is
    /// dropped.
    pub fn begin_call(&self) -> CallGuard {
        let mut state = self.lock();
        state.start = start_now(LinkPhase::Call);
        if let Some(heads) = &mut state.heads {
            heads.release();
        }
        CallGuard(self.clone())
    }

    /// Accounts for the heads that are read from now on.
    fn hold_heads(&self, guard: MemoryGuard) {
        self.lock().heads = Some(guard);
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
        let waits = state.start.phase != LinkPhase::Call && state.blocked_since.is_none();
        waits.then_some(state.start)
    }

    /// Since when the caller has accepted none of the bytes that are to be written; `None` if there are none,
    /// or it accepts them.
    pub fn blocked_since(&self) -> Option<Instant> {
        self.lock().blocked_since
    }

    /// Waits until the answers before have been written, so that a connection holds one at a time.
    pub async fn written(&self) {
        poll_fn(|cx| self.poll_unwritten(cx, 0)).await;
    }

    /// Waits until no more than this many bytes wait to be written.
    fn poll_unwritten(&self, cx: &Context<'_>, most: usize) -> Poll<()> {
        let mut state = self.lock();
        if state.unwritten <= most {
            return Poll::Ready(());
        }
        state.waker = Some(cx.waker().clone());
        Poll::Pending
    }

    fn record_answer_bytes(&self, bytes: usize) {
        self.lock().unwritten += bytes;
    }

    /// Line breaks between two requests belong to neither head.
    fn record_read(&self, bytes: &[u8]) -> memory_account::Result<()> {
        let mut state = self.lock();
        let is_in_call = state.start.phase == LinkPhase::Call;
        if let Some(heads) = state.heads.as_mut().filter(|_| !is_in_call) {
            heads.grow(bytes.len())?;
        }
        if state.start.phase == LinkPhase::Idle && has_head_byte(bytes) {
            state.start = start_now(LinkPhase::Head);
        }
        Ok(())
    }

    fn record_blocked(&self) {
        self.lock().blocked_since.get_or_insert_with(Instant::now);
    }

    fn record_write(&self, bytes: usize) {
        let mut state = self.lock();
        if state.blocked_since.take().is_some() && state.start.phase == LinkPhase::Idle {
            state.start = start_now(LinkPhase::Idle);
        }
        state.unwritten = state.unwritten.saturating_sub(bytes);
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
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
        if !self.body.is_end_stream() {
            // More is read from the upstream only once the caller has taken most of what was passed on.
            ready!(self.guard.0.poll_unwritten(cx, WAITING_EVENT_BYTES));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(Some(data))) = frame
            .as_ref()
            .map(|frame| frame.as_ref().map(Frame::data_ref))
        {
            self.guard.0.record_answer_bytes(data.len());
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// What a caller's connection may take.
#[derive(Debug, Clone, Default)]
pub struct StreamBounds {
    /// Account of all callers.
    pub account: MemoryAccount,
    /// Size of each buffer of its socket, in bytes; `None` if the system chooses.
    pub buffer_bytes: Option<usize>,
}

/// A caller's connection, with a clock of its phases. Heads, and what waits for a slow caller, are accounted
/// for.
#[derive(Debug)]
pub struct CallerStream {
    /// The connection.
    pub stream: TcpStream,
    clock: PhaseClock,
    blocked: MemoryGuard,
    blocked_bytes: usize,
}

impl CallerStream {
    /// Creates a stream that records its phases.
    pub fn new(stream: TcpStream, clock: PhaseClock, bounds: &StreamBounds) -> Self {
        clock.hold_heads(bounds.account.guard(MemoryUse::Head));
        Self {
            stream,
            clock,
            blocked: bounds.account.guard(MemoryUse::Events),
            blocked_bytes: bounds.buffer_bytes.unwrap_or(0) * FULL_BUFFERS,
        }
    }

    /// Holds the buffers of a caller while it accepts no bytes.
    fn record_write(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(bytes)) => {
                self.clock.record_write(*bytes);
                self.blocked.release();
            }
            Poll::Ready(Err(_)) => self.blocked.release(),
            Poll::Pending => {
                self.clock.record_blocked();
                if self.blocked.bytes() == 0
                    && let Err(over) = self.blocked.grow(self.blocked_bytes)
                {
                    return Poll::Ready(Err(io::Error::other(over)));
                }
            }
        }
        written
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
        if buffer.filled().len() > before
            && let Err(over) = self.clock.record_read(&buffer.filled()[before..])
        {
            return Poll::Ready(Err(io::Error::other(over)));
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
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record_write(written)
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
