//! Runs a stand-in as a process: binds, prints the address, and serves until a signal.

use std::future::Future;
use std::net::SocketAddr;

use amaranth_net::exit_codes::ExitCode;
use amaranth_net::server::AcceptHook;
use amaranth_net::{cli, server};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use volo_http::server::Router;

/// Router of a stand-in and its hook for accepted connections.
pub struct ServedRouter {
    /// Routes of the stand-in.
    pub router: Router,
    /// Called with the peer of each accepted connection.
    pub on_accept: Option<AcceptHook>,
}

/// Serves on a new runtime until SIGTERM or SIGINT.
pub fn run_until_signal<F>(program: &'static str, listen: SocketAddr, start: F) -> ExitCode
where
    F: FnOnce(CancellationToken) -> ServedRouter,
{
    let runtime = tokio::runtime::Runtime::new();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(e) => return cli::fail(program, &e),
    };
    let served = runtime.block_on(async {
        let listener = server::bind(listen).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let served = start(stop.clone());
        println!("listening {address}");
        log::info!("event=listening program={program} address={address}");
        let signalled = wait_for_signal();
        tokio::select! {
            () = server::serve_with(listener, served.router, stop.clone(), served.on_accept) => {}
            () = signalled => stop.cancel(),
        }
        Ok::<(), std::io::Error>(())
    });
    runtime.shutdown_background();
    match served {
        Ok(()) => ExitCode::Success,
        Err(e) => cli::fail(program, &e),
    }
}

/// Waits for SIGTERM or SIGINT.
pub fn wait_for_signal() -> impl Future<Output = ()> {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    async move {
        let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
            return std::future::pending().await;
        };
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }
}
