//! A server that dies and comes back as its faults say.

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, CompressionConfig, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder,
    ServerContext,
};
use tokio::{sync::oneshot, task::JoinHandle};
use tokio_util::sync::CancellationToken;

use crate::{fault::Faults, standin::Error};

/// Largest body that a service takes; records and prompts have their own limits.
const MAX_BODY: usize = 64 << 20;

/// A running server.
#[derive(Debug)]
pub(crate) struct Server {
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Waits until it is closed; the token that it was started with has to be cancelled.
    pub async fn closed(self) {
        // A panic in the task has been reported by the runtime.
        let _ = self.task.await;
    }
}

/// Starts a server and keeps it as its faults say: closed while killed.
pub(crate) async fn serve<C: ServerContext + Clone>(
    address: SocketAddr,
    api: fn() -> ApiDescription<C>,
    context: C,
    faults: Faults,
    stop: CancellationToken,
) -> Result<Server, Error> {
    let (started, bound) = oneshot::channel();
    let supervisor = Supervisor {
        api,
        context,
        faults,
        stop,
    };
    let task = tokio::spawn(supervisor.run(address, started));
    let address = bound.await.map_err(|_| Error {
        address,
        message: "the server's task ended".to_owned(),
    })??;
    Ok(Server { address, task })
}

struct Supervisor<C: ServerContext> {
    api: fn() -> ApiDescription<C>,
    context: C,
    faults: Faults,
    stop: CancellationToken,
}

impl<C: ServerContext + Clone> Supervisor<C> {
    async fn run(self, address: SocketAddr, started: oneshot::Sender<Result<SocketAddr, Error>>) {
        let first = self.bind(address);
        let bound = first.as_ref().map(HttpServer::local_addr);
        let address = bound.as_ref().copied().unwrap_or(address);
        let _ = started.send(bound.map_err(Clone::clone));
        let Ok(mut server) = first else {
            return;
        };
        loop {
            let alive = tokio::select! {
                () = self.stop.cancelled() => false,
                () = self.faults.until(|fault| fault.killed) => true,
            };
            // Calls that still run are cut off: this is no planned stop of ours.
            self.faults.change(|fault| fault.killed = true);
            if let Err(error) = server.close().await {
                log::warn!(address:% = address, error:% = error; "stand-in closed badly");
            }
            if !alive {
                return;
            }
            server = tokio::select! {
                () = self.stop.cancelled() => return,
                server = self.revive(address) => server,
            };
        }
    }

    async fn revive(&self, address: SocketAddr) -> HttpServer<C> {
        const PAUSE: std::time::Duration = std::time::Duration::from_millis(50);
        loop {
            self.faults.until(|fault| !fault.killed).await;
            match self.bind(address) {
                Ok(server) => return server,
                Err(error) => log::warn!(address:% = address, error:% = error; "stand-in not back"),
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn bind(&self, address: SocketAddr) -> Result<HttpServer<C>, Error> {
        let config = ConfigDropshot {
            bind_address: address,
            default_request_body_max_bytes: MAX_BODY,
            // Only for callers that ask for it, as the host list's do.
            compression: CompressionConfig::Gzip,
            default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
            ..ConfigDropshot::default()
        };
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        ServerBuilder::new((self.api)(), self.context.clone(), quiet)
            .config(config)
            .start()
            .map_err(|error| Error {
                address,
                message: error.to_string(),
            })
    }
}
