//! Counts calls in progress and error answers, and turns a handler's panic into an error answer.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use amaranth_net::route::RouteRequest;
use amaranth_wire::error::{CallError, ErrorKind, RanState};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use volo_http::response::Response;

use crate::context::{InstanceContext, Result};

/// Number of calls that this instance is handling.
#[derive(Debug, Clone, Default)]
pub struct CallCounter(Arc<AtomicUsize>);

/// Counts one call until dropped.
struct CallGuard(Arc<AtomicUsize>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CallCounter {
    /// Calls in progress. Streams and batch items that outlive their call are not included.
    pub fn in_progress(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn begin(&self) -> CallGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        CallGuard(self.0.clone())
    }
}

/// Wraps a handler so that its calls and errors are counted and its panics are caught.
pub fn instrumented<F, Fut>(
    handle: F,
) -> impl Fn(Arc<InstanceContext>, RouteRequest) -> BoxFuture<'static, Result<Response>>
+ Copy
+ Send
+ Sync
+ 'static
where
    F: Fn(Arc<InstanceContext>, RouteRequest) -> Fut + Copy + Send + Sync + 'static,
    Fut: Future<Output = Result<Response>> + Send + 'static,
{
    move |context, request| {
        let guard = context.calls.begin();
        let handled = AssertUnwindSafe(handle(context, request)).catch_unwind();
        async move {
            let _guard = guard;
            let result = handled.await.unwrap_or_else(|_| Err(panic_error()));
            if let Err(e) = &result {
                metrics::counter!("amaranth_errors_total", "kind" => e.kind.row().name)
                    .increment(1);
            }
            result
        }
        .boxed()
    }
}

fn panic_error() -> CallError {
    log::error!("event=handler_panicked");
    let message = "a fault of this instance";
    CallError::new(ErrorKind::Internal, message).with_ran(RanState::Unknown)
}
