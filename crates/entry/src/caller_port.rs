//! The way back to one caller: an answer in one piece, or a stream.

use amaranth_net::answer;
use amaranth_wire::error::CallError;
use bytes::Bytes;
use futures_util::stream;
use http_body::Frame;
use tokio::sync::{mpsc, oneshot};
use volo_http::body::Body;
use volo_http::response::Response;

use crate::context::Result;

/// Pieces of a streamed answer that may wait for a slow caller.
const STREAM_BUFFER: usize = 64;

type Piece = std::result::Result<Frame<Bytes>, volo_http::error::BoxError>;

/// Where a request's answer goes. The caller has gone when the other end is dropped.
pub struct CallerPort {
    head: Option<oneshot::Sender<Result<Response>>>,
    pieces: Option<mpsc::Sender<Piece>>,
}

impl CallerPort {
    /// A port and what the request's handler waits for.
    pub fn new() -> (Self, oneshot::Receiver<Result<Response>>) {
        let (head, receiver) = oneshot::channel();
        let port = Self {
            head: Some(head),
            pieces: None,
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
        let pieces = stream::unfold(receiver, |mut receiver| async {
            let piece = receiver.recv().await?;
            Some((piece, receiver))
        });
        let body = Body::from_stream(pieces);
        let _ = head.send(Ok(answer::stream(200, answer::EVENT_STREAM, body)));
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
            let _ = head.send(result);
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
