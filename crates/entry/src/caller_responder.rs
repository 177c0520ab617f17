//! Sends the answer to one caller, as a single response or as a stream.

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

/// Number of chunks of a streamed answer that are buffered for a slow caller.
const STREAM_BUFFER: usize = 64;

/// Header with the id of a keyed request, as used in `GET /v1/requests/{id}`.
pub const REQUEST_ID_HEADER: &str = "amaranth-request-id";

type StreamChunk = std::result::Result<Frame<Bytes>, volo_http::error::BoxError>;

/// Sending end of a request's answer. The caller has disconnected when the receiving end is
/// dropped.
pub struct CallerResponder {
    head: Option<oneshot::Sender<Result<Response>>>,
    chunks: Option<mpsc::Sender<StreamChunk>>,
    request: Option<RequestId>,
    work: TaskTracker,
}

impl CallerResponder {
    /// Creates a responder and the receiver that the request's handler awaits. Answers to keyed
    /// requests carry the request's id. A streamed answer counts as work in progress until it is
    /// fully sent.
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

    /// Whether a streamed answer has been started.
    pub fn is_streaming(&self) -> bool {
        self.chunks.is_some()
    }

    /// Whether the caller has disconnected.
    pub fn is_gone(&self) -> bool {
        match (&self.head, &self.chunks) {
            (Some(head), _) => head.is_closed(),
            (None, Some(chunks)) => chunks.is_closed(),
            (None, None) => false,
        }
    }

    /// Awaits a future until the caller disconnects, then returns `None`.
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

    /// Starts a streamed answer, unless an answer has been started.
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

    /// Sends a chunk of a streamed answer, waiting while the buffer is full. False if the caller
    /// has disconnected.
    pub async fn send(&self, chunk: Bytes) -> bool {
        match &self.chunks {
            Some(chunks) => chunks.send(Ok(Frame::data(chunk))).await.is_ok(),
            None => false,
        }
    }

    /// Sends a non-streamed answer.
    pub fn answer(&mut self, result: Result<Response>) {
        if let Some(head) = self.head.take() {
            let named_response =
                result.map(|response| with_request_id(response, self.request.as_ref()));
            let _ = head.send(named_response);
        }
    }

    /// Sends an error, as the answer or as the last event of a stream that has been started.
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
        let value = value.expect("identifiers are valid header values");
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}
