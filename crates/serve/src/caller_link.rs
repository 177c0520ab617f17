//! Serves the calls of one connection within the limits in force.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use amaranth_kernel::memory_budget::STALL_LIMIT;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use crate::answer::{Answer, UnreadBody, plain};
use crate::caller_stream::{
    CallerStream, GuardedBody, LinkPhase, PhaseClock, PhaseStart, StreamBounds, has_head_byte,
};
use crate::connection_slots::ConnectionSlot;
use crate::memory_account::record_limited;
use crate::{panic_guard, socket};

/// Size of a head up to which a raised limit holds on connections that are already open, in bytes.
const HEAD_CAPACITY: usize = 256 << 10;
/// Idle time after which a connection is closed in a shutdown. Bytes that the kernel has received by
/// then are read.
const STOP_IDLE_TIME: Duration = Duration::from_millis(200);
/// Longest wait for the caller's end of a connection whose last request wasn't read whole. Closing it
/// with unread bytes would reset it, and the caller could lose the answer.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Size of a read of bytes that are thrown away.
const DISCARD_BYTES: usize = 8 << 10;
/// Answer to a head that isn't complete in time.
const HEAD_TIMEOUT_ANSWER: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Limits of callers' connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Size limit of a request's head, in bytes.
    pub head_bytes: usize,
    /// Longest time from the first byte of a request's head to its last.
    pub head_wait: Duration,
    /// Longest wait for the first byte of a request.
    pub idle_wait: Duration,
}

/// Why a connection ended.
enum LinkEnd {
    /// The protocol ended it, or an error.
    Closed(hyper::Result<()>),
    /// It waited too long in a phase.
    Expired(LinkPhase),
    /// The caller accepted no byte for too long.
    Stalled,
}

/// The place of a connection among the others, and what it may take.
pub struct LinkPlace {
    /// Its place among the open ones.
    pub slot: ConnectionSlot,
    /// What it may take.
    pub bounds: StreamBounds,
}

/// Serves calls on a connection until it ends. Once the token is cancelled, it ends after the calls
/// that have begun.
pub async fn serve<F, A, L>(
    stream: TcpStream,
    caller: SocketAddr,
    place: LinkPlace,
    limits: L,
    answer: F,
    stop: CancellationToken,
) where
    F: Fn(Request<Incoming>) -> A,
    A: Future<Output = Answer>,
    L: Fn() -> ConnectionLimits + Clone,
{
    let LinkPlace { slot, bounds } = place;
    let configured = socket::configure(&stream);
    let configured = configured.and_then(|()| socket::limit_buffers(&stream, bounds.buffer_bytes));
    if let Err(e) = configured {
        log::debug!("event=connection_setup_failed error={:?}", e.to_string());
        return;
    }
    let calls = Arc::new(LinkCalls {
        caller,
        answer,
        limits: limits.clone(),
        clock: slot.clock.clone(),
        stop: stop.clone(),
        received: AtomicU64::new(0),
        answered: AtomicU64::new(0),
    });
    let served = calls.clone();
    let service = service_fn(move |call| {
        let calls = served.clone();
        // Allocated for the time of the call: idle connections are many.
        Box::pin(async move { Ok::<_, Infallible>(calls.answer(call).await) })
    });
    let stream = CallerStream::new(stream, calls.clock.clone(), &bounds);
    let mut link = CallerLink {
        connection: http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(limits().head_bytes.max(HEAD_CAPACITY))
            .serve_connection(TokioIo::new(stream), service),
        clock: calls.clock.clone(),
        timer: Box::pin(sleep_until(Instant::now() + limits().idle_wait)),
        limits,
        phase: None,
    };
    let mut stopped = Box::pin(stop.cancelled());
    let mut stop_time = None;
    let mut closing = Box::pin(slot.closing.cancelled());
    let mut is_closing = false;
    let end = poll_fn(|cx| {
        is_closing = is_closing || closing.as_mut().poll(cx).is_ready();
        if stop_time.is_none() && stopped.as_mut().poll(cx).is_ready() {
            stop_time = Some(Instant::now());
        }
        link.poll_end(cx, stop_time, is_closing)
    });
    let end = end.await;
    let parts = link.connection.into_parts();
    let stream = parts.io.into_inner().stream;
    let has_head = has_head_byte(&parts.read_buf);
    finish(stream, caller, &calls, end, has_head).await;
}

/// Tells the caller why its connection ends, if it is in the middle of a request.
async fn finish<F, L>(
    stream: TcpStream,
    caller: SocketAddr,
    calls: &LinkCalls<F, L>,
    end: LinkEnd,
    has_head: bool,
) {
    match end {
        LinkEnd::Closed(ended) => {
            let is_malformed = ended.as_ref().is_err_and(|e| e.is_parse());
            if let Err(e) = ended {
                calls.log_failure(caller, false, &e.to_string());
            }
            if is_malformed || calls.clock.has_unread_body() {
                linger(stream).await;
            }
        }
        LinkEnd::Expired(LinkPhase::Idle) if !has_head => {}
        LinkEnd::Stalled => {
            calls.log_failure(caller, true, "unread answer");
            record_limited("stall", &format!("{caller} accepted no byte"));
            reset(&stream);
        }
        LinkEnd::Expired(_) => {
            calls.log_failure(caller, true, "incomplete head");
            end_with(stream, HEAD_TIMEOUT_ANSWER).await;
        }
    }
}

/// What the calls of one connection share.
struct LinkCalls<F, L> {
    caller: SocketAddr,
    answer: F,
    limits: L,
    clock: PhaseClock,
    stop: CancellationToken,
    received: AtomicU64,
    answered: AtomicU64,
}

impl<F, A, L> LinkCalls<F, L>
where
    F: Fn(Request<Incoming>) -> A,
    A: Future<Output = Answer>,
    L: Fn() -> ConnectionLimits,
{
    async fn answer(&self, call: Request<Incoming>) -> Response<GuardedBody> {
        self.received.fetch_add(1, Ordering::Relaxed);
        // A caller that sends requests ahead gets the next answer once it has taken the one before.
        self.clock.written().await;
        let guard = self.clock.begin_call();
        let mut answer = match head_bytes(&call) > (self.limits)().head_bytes {
            true => refuse_head(&call),
            false => {
                panic_guard::contain_call(self.caller, async { (self.answer)(call).await }).await
            }
        };
        let has_unread_body = answer.extensions().get::<UnreadBody>().is_some();
        if has_unread_body {
            self.clock.set_unread_body();
        }
        if has_unread_body || self.stop.is_cancelled() {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        self.answered.fetch_add(1, Ordering::Relaxed);
        let (parts, body) = answer.into_parts();
        Response::from_parts(parts, GuardedBody { body, guard })
    }
}

impl<F, L> LinkCalls<F, L> {
    /// Logs a connection that ended within a call or a head. The ends of idle connections are many
    /// and lose nothing.
    fn log_failure(&self, caller: SocketAddr, is_timeout: bool, error: &str) {
        let received = self.received.load(Ordering::Relaxed);
        let answered = self.answered.load(Ordering::Relaxed);
        log::info!(
            "event=connection_failed caller={caller} received={received} answered={answered} timeout={is_timeout} error={error:?}"
        );
    }
}

/// A connection with the limits of its phases.
struct CallerLink<S: HttpService<Incoming>, L> {
    connection: http1::Connection<TokioIo<CallerStream>, S>,
    clock: PhaseClock,
    limits: L,
    timer: Pin<Box<Sleep>>,
    /// The phase last seen, with the longest limit that was in force in it.
    phase: Option<(PhaseStart, Duration)>,
}

impl<S, L> CallerLink<S, L>
where
    S: HttpService<Incoming, ResBody = GuardedBody> + Unpin,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    L: Fn() -> ConnectionLimits,
{
    fn poll_end(
        &mut self,
        cx: &mut Context<'_>,
        stop_time: Option<Instant>,
        is_closing: bool,
    ) -> Poll<LinkEnd> {
        if let Poll::Ready(ended) = Pin::new(&mut self.connection).poll(cx) {
            return Poll::Ready(LinkEnd::Closed(ended));
        }
        let waiting = self.clock.waiting();
        if is_closing && waiting.is_some_and(|start| start.phase == LinkPhase::Idle) {
            return Poll::Ready(LinkEnd::Expired(LinkPhase::Idle));
        }
        while let Some((deadline, end)) = self.next_end(stop_time) {
            if self.timer.deadline() > deadline {
                self.timer.as_mut().reset(deadline);
            }
            if self.timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            if Instant::now() >= deadline {
                return Poll::Ready(end);
            }
            self.timer.as_mut().reset(deadline);
        }
        Poll::Pending
    }

    /// When the connection ends unless its caller sends or accepts something, and how.
    fn next_end(&mut self, stop_time: Option<Instant>) -> Option<(Instant, LinkEnd)> {
        if let Some(since) = self.clock.blocked_since() {
            return Some((since + STALL_LIMIT, LinkEnd::Stalled));
        }
        let start = self.clock.waiting()?;
        Some((
            self.deadline(start, stop_time),
            LinkEnd::Expired(start.phase),
        ))
    }

    /// A lowered limit holds from the next phase on: callers count on the one they were told before.
    fn deadline(&mut self, start: PhaseStart, stop_time: Option<Instant>) -> Instant {
        let limits = (self.limits)();
        let limit = match start.phase {
            LinkPhase::Head => limits.head_wait,
            LinkPhase::Idle | LinkPhase::Call => limits.idle_wait,
        };
        let longest = match self.phase {
            Some((seen, longest)) if seen == start => longest.max(limit),
            _ => limit,
        };
        self.phase = Some((start, longest));
        let deadline = start.since + longest;
        match stop_time {
            Some(stop_time) if start.phase == LinkPhase::Idle => {
                deadline.min(start.since.max(stop_time) + STOP_IDLE_TIME)
            }
            _ => deadline,
        }
    }
}

/// Size of a request's head as sent, with one space where the protocol allows several.
fn head_bytes(call: &Request<Incoming>) -> usize {
    let line = call.method().as_str().len()
        + call.uri().path().len()
        + call.uri().query().map_or(0, |query| query.len() + 1)
        + "  HTTP/1.1\r\n".len();
    let headers = call.headers().iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    line + headers.sum::<usize>() + "\r\n".len()
}

fn refuse_head(call: &Request<Incoming>) -> Answer {
    log::info!("event=head_too_large bytes={}", head_bytes(call));
    let mut answer = plain(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "");
    if !call.body().is_end_stream() {
        answer.extensions_mut().insert(UnreadBody);
    }
    answer
}

/// Makes the close discard what the caller hasn't accepted, so that the answer looks cut.
fn reset(stream: &TcpStream) {
    if let Err(e) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("event=reset_failed error={:?}", e.to_string());
    }
}

async fn end_with(mut stream: TcpStream, answer: &[u8]) {
    if let Ok(Ok(())) = timeout(LINGER_TIME, stream.write_all(answer)).await {
        linger(stream).await;
    }
}

/// Ends the sending side and discards what the caller still sends.
async fn linger(mut stream: TcpStream) {
    let discarded = async {
        stream.shutdown().await?;
        while discard(&stream).await? {}
        std::io::Result::Ok(())
    };
    match timeout(LINGER_TIME, discarded).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => log::debug!("event=linger_failed error={:?}", e.to_string()),
        Err(_) => log::debug!("event=linger_failed error=timeout"),
    }
}

/// Reads bytes and throws them away. Returns whether more may come.
async fn discard(stream: &TcpStream) -> std::io::Result<bool> {
    stream.readable().await?;
    let mut bytes = [0; DISCARD_BYTES];
    match stream.try_read(&mut bytes) {
        Ok(length) => Ok(length > 0),
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => Ok(true),
        Err(e) => Err(e),
    }
}
