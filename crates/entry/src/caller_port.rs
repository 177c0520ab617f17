//! The way back to one caller: an answer in one piece, or a stream.

use amaranth_net::answer;
use amaranth_wire::error::CallError;
use amaranth_wire::id::RequestId;
use bytes::Bytes;
use futures_util::stream;
use http::HeaderValue;
use http_body::Frame;
use tokio::sync::{mpsc, oneshot};
use tokio_util::task::TaskTracker;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::context::Result;

/// Pieces of a streamed answer that may wait for a slow caller.
const STREAM_BUFFER: usize = 64;

/// Header that names a keyed request, as `GET /v1/requests/{id}` takes it.
pub const REQUEST_ID_HEADER: &str = "amaranth-request-id";

type Piece = std::result::Result<Frame<Bytes>, volo_http::error::BoxError>;

/// Where a request's answer goes. The caller has gone when the other end is dropped.
pub struct CallerPort {
    head: Option<oneshot::Sender<Result<Response>>>,
    pieces: Option<mpsc::Sender<Piece>>,
    request: Option<RequestId>,
    work: TaskTracker,
}

impl CallerPort {
    /// A port and what the request's handler waits for. Answers name a keyed request.
    /// A streamed answer counts as work until the caller has it all.
    pub fn new(
        request: Option<RequestId>,
        work: TaskTracker,
    ) -> (Self, oneshot::Receiver<Result<Response>>) {
        let (head, receiver) = oneshot::channel();
        let port = Self {
            head: Some(head),
            pieces: None,
            request,
            work,
        };
        (port, receiver)
    }

    /// Whether a streamed answer has begun.
    pub fn is_streaming(&self) -> bool {
        self.pieces.is_some()
    }

    /// Whether the caller has gone.
    pub fn is_gone(&self) -> bool {
        match (&self.head, &self.pieces) {
            (Some(head), _) => head.is_closed(),
            (None, Some(pieces)) => pieces.is_closed(),
            (None, None) => false,
        }
    }

    /// Waits for something for as long as the caller does. `None` when the caller has gone.
    pub async fn wait<T>(&mut self, future: impl Future<Output = T>) -> Option<T> {
        let gone = async {
            match (&mut self.head, &self.pieces) {
                (Some(head), _) => head.closed().await,
                (None, Some(pieces)) => pieces.closed().await,
                (None, None) => std::future::pending().await,
            }
        };
        tokio::select! {
            value = future => Some(value),
            () = gone => None,
        }
    }

    /// Begins a streamed answer, unless it has begun.
    pub fn start_stream(&mut self) {
        let Some(head) = self.head.take() else { return };
        let (sender, receiver) = mpsc::channel::<Piece>(STREAM_BUFFER);
        let state = (receiver, self.work.token());
        let pieces = stream::unfold(state, |(mut receiver, token)| async {
            let piece = receiver.recv().await?;
            Some((piece, (receiver, token)))
        });
        let body = Body::from_stream(pieces);
        let response = answer::stream(200, answer::EVENT_STREAM, body);
        let _ = head.send(Ok(named(response, self.request.as_ref())));
        self.pieces = Some(sender);
    }

    /// Sends a piece of a streamed answer, waiting for a slow caller. False if the caller has
    /// gone.
    pub async fn send(&self, piece: Bytes) -> bool {
        match &self.pieces {
            Some(pieces) => pieces.send(Ok(Frame::data(piece))).await.is_ok(),
            None => false,
        }
    }

    /// Ends with an answer in one piece.
    pub fn answer(&mut self, result: Result<Response>) {
        if let Some(head) = self.head.take() {
            let named = result.map(|response| named(response, self.request.as_ref()));
            let _ = head.send(named);
        }
    }

    /// Ends with an error: an answer of its own, or the last event of a stream that has begun.
    pub fn fail(&mut self, error: CallError) {
        if let Some(pieces) = &self.pieces {
            let event = format!("data: {}\n\n", answer::error_json(&error));
            let _ = pieces.try_send(Ok(Frame::data(event.into())));
        }
        self.answer(Err(error));
    }
}

fn named(mut response: Response, request: Option<&RequestId>) -> Response {
    if let Some(request) = request {
        let value = HeaderValue::from_str(request.as_str());
        let value = value.expect("identifiers are plain text");
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}
