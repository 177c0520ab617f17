//! Contains panics: one in a call is that call's failure, and one in a background task stops the
//! instance instead of leaving it without the task.

use std::any::Any;
use std::future::Future;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::FutureExt;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::answer::{Answer, AnswerBody, BrokenBody, RequestFailure};

/// Result of code that may panic; the error is the panic's message.
pub type Result<T> = std::result::Result<T, String>;

/// Calls a function and catches its panic.
pub fn contain<T>(call: impl FnOnce() -> T) -> Result<T> {
    catch_unwind(AssertUnwindSafe(call)).map_err(|panic| panic_message(panic.as_ref()))
}

/// Awaits a future and catches its panic.
pub async fn contain_async<T>(future: impl Future<Output = T>) -> Result<T> {
    let ended = AssertUnwindSafe(future).catch_unwind().await;
    ended.map_err(|panic| panic_message(panic.as_ref()))
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "no message".to_owned())
}

/// Awaits the answer to a call. A panic becomes a failure of the call, which may have run; one in the
/// answer's body breaks the body.
pub async fn contain_call(caller: SocketAddr, answer: impl Future<Output = Answer>) -> Answer {
    match contain_async(answer).await {
        Ok(answer) => answer.map(|body| ContainedBody { caller, body }.boxed_unsync()),
        Err(why) => {
            log_panicked_call(caller, &why);
            RequestFailure::Failed(why).answer()
        }
    }
}

fn log_panicked_call(caller: SocketAddr, why: &str) {
    log::error!("event=call_panicked caller={caller} why={why:?}");
}

/// A body that breaks when it panics.
struct ContainedBody {
    caller: SocketAddr,
    body: AnswerBody,
}

impl Body for ContainedBody {
    type Data = Bytes;
    type Error = BrokenBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, BrokenBody>>> {
        let polled = contain(|| Pin::new(&mut self.body).poll_frame(context));
        polled.unwrap_or_else(|why| {
            log_panicked_call(self.caller, &why);
            Poll::Ready(Some(Err(BrokenBody(why))))
        })
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Background tasks of an instance, none of which may end by a panic unnoticed.
#[derive(Debug, Clone, Default)]
pub struct TaskGuard {
    /// The tasks that run.
    pub tasks: TaskTracker,
    /// Cancelled when a task has panicked.
    pub panicked: CancellationToken,
}

impl TaskGuard {
    /// Creates a guard without tasks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a task; its name is used in log lines.
    pub fn spawn(&self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(self.watch(name, task));
    }

    /// Wraps a task so that its panic is known.
    pub fn watch(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) -> impl Future<Output = ()> + Send + 'static {
        let panicked = self.panicked.clone();
        async move {
            if let Err(why) = contain_async(task).await {
                log::error!("event=task_panicked task={name} why={why:?}");
                panicked.cancel();
            }
        }
    }
}
