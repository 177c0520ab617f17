//! The way back to one caller: an answer in one chunk, or a stream.

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

type StreamChunk = std::result::Result<Frame<Bytes>, volo_http::error::BoxError>;

/// Where a request's answer goes. The caller has gone when the other end is dropped.
pub struct CallerResponder {
    head: Option<oneshot::Sender<Result<Response>>>,
    chunks: Option<mpsc::Sender<StreamChunk>>,
    request: Option<RequestId>,
    work: TaskTracker,
}

impl CallerResponder {
    /// A responder and what the request's handler waits for. Answers name a keyed request.
    /// A streamed answer counts as work until the caller has it all.
    pub fn new(
        request: Option<RequestId>,
        work: TaskTracker,
    ) -> (Self, oneshot::Receiver<Result<Response>>) {
        let (head, receiver) = oneshot::channel();
        let responder = Self {
            head: Some(head),
            chunks: None,
            request,
            work,
        };
        (responder, receiver)
    }

    /// Whether a streamed answer has begun.
    pub fn is_streaming(&self) -> bool {
        self.chunks.is_some()
    }

    /// Whether the caller has gone.
    pub fn is_gone(&self) -> bool {
        match (&self.head, &self.chunks) {
            (Some(head), _) => head.is_closed(),
            (None, Some(chunks)) => chunks.is_closed(),
            (None, None) => false,
        }
    }

    /// Waits for something for as long as the caller does. `None` when the caller has gone.
    pub async fn wait<T>(&mut self, future: impl Future<Output = T>) -> Option<T> {
        let gone = async {
            match (&mut self.head, &self.chunks) {
                (Some(head), _) => head.closed().await,
                (None, Some(chunks)) => chunks.closed().await,
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
        let (sender, receiver) = mpsc::channel::<StreamChunk>(STREAM_BUFFER);
        let state = (receiver, self.work.token());
        let chunks = stream::unfold(state, |(mut receiver, token)| async {
            let chunk = receiver.recv().await?;
            Some((chunk, (receiver, token)))
        });
        let body = Body::from_stream(chunks);
        let response = answer::stream(200, answer::EVENT_STREAM, body);
        let _ = head.send(Ok(with_request_id(response, self.request.as_ref())));
        self.chunks = Some(sender);
    }

    /// Sends a chunk of a streamed answer, waiting for a slow caller. False if the caller has
    /// gone.
    pub async fn send(&self, chunk: Bytes) -> bool {
        match &self.chunks {
            Some(chunks) => chunks.send(Ok(Frame::data(chunk))).await.is_ok(),
            None => false,
        }
    }

    /// Ends with an answer in one chunk.
    pub fn answer(&mut self, result: Result<Response>) {
        if let Some(head) = self.head.take() {
            let response = result.map(|response| with_request_id(response, self.request.as_ref()));
            let _ = head.send(response);
        }
    }

    /// Ends with an error: an answer of its own, or the last event of a stream that has begun.
    pub fn fail(&mut self, error: CallError) {
        if let Some(chunks) = &self.chunks {
            let event = format!("data: {}\n\n", answer::error_json(&error));
            let _ = chunks.try_send(Ok(Frame::data(event.into())));
        }
        self.answer(Err(error));
    }
}

fn with_request_id(mut response: Response, request: Option<&RequestId>) -> Response {
    if let Some(request) = request {
        let value = HeaderValue::from_str(request.as_str());
        let value = value.expect("identifiers are plain text");
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}
