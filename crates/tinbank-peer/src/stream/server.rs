//! Server side: accepts connections and responds to requests.

use std::{
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};

use futures::StreamExt;
use tinbank_base::{frame::request::Response, peer::Answer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::{sleep, timeout, timeout_at},
};
use tokio_util::sync::CancellationToken;

use super::frame::{
    self, HANDSHAKE_TIMEOUT, Hello, MAX_FRAME, MAX_HANDSHAKE_FRAME, Nonce, Position, RequestFrame,
    ResponseFrame, Welcome,
};
use crate::endpoint::Identity;

/// Limit of concurrent connections. More wait in the accept queue of the operating system.
const MAX_CONNECTIONS: usize = 512;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Limit of the time to respond to a request, whatever timeout the client sent.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(120);
/// Pause after a failed accept, for example with too many open files, so that the loop does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

pub(crate) struct Server {
    identity: Arc<Identity>,
    answer: Arc<OnceLock<Arc<dyn Answer>>>,
    stop: CancellationToken,
}

impl Server {
    pub(crate) fn new(
        identity: Arc<Identity>,
        answer: Arc<OnceLock<Arc<dyn Answer>>>,
        stop: CancellationToken,
    ) -> Self {
        Self {
            identity,
            answer,
            stop,
        }
    }

    pub(crate) async fn run(self, listener: TcpListener) {
        let stop = self.stop.clone();
        let server = Arc::new(self);
        tokio::select! {
            () = server.accept(listener) => {}
            () = stop.cancelled() => {}
        }
    }

    async fn accept(self: &Arc<Self>, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else {
                return;
            };
            let Ok((tcp, _)) = listener.accept().await else {
                sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let server = self.clone();
            tokio::spawn(async move {
                let _permit = permit;
                let stop = server.stop.clone();
                tokio::select! {
                    () = server.serve_connection(tcp) => {}
                    () = stop.cancelled() => {}
                }
            });
        }
    }

    async fn serve_connection(&self, mut tcp: TcpStream) {
        let Err(error) = self.serve_requests(&mut tcp).await else {
            return;
        };
        let reason = error.reason();
        metrics::counter!("tinbank_peer_connections_failed_total", "reason" => reason).increment(1);
    }

    async fn serve_requests(&self, tcp: &mut TcpStream) -> Result<(), frame::Error> {
        tcp.set_nodelay(true)?;
        let (client_nonce, server_nonce) = timeout(HANDSHAKE_TIMEOUT, self.handshake(tcp))
            .await
            .map_err(|_| frame::Error::Deadline)??;
        let mut exchange = 0;
        loop {
            let read = frame::read::<RequestFrame>(tcp, &self.identity.keys, MAX_FRAME);
            let Ok(read) = timeout(IDLE_TIMEOUT, read).await else {
                return Ok(());
            };
            let request = match read {
                Ok((request, _)) => request,
                Err(frame::Error::Io(_)) => return Ok(()),
                Err(error) => return Err(error),
            };
            exchange += 1;
            let position = Position {
                client_nonce,
                server_nonce,
                exchange,
                index: 0,
            };
            if request.position != position {
                return Err(frame::Error::UnexpectedPosition);
            }
            self.handle_request(tcp, request).await?;
        }
    }

    async fn handshake(&self, tcp: &mut TcpStream) -> Result<(Nonce, Nonce), frame::Error> {
        let (hello, _) =
            frame::read::<Hello>(tcp, &self.identity.keys, MAX_HANDSHAKE_FRAME).await?;
        let nonce = rand::random::<Nonce>();
        let welcome = Welcome {
            client_nonce: hello.nonce,
            nonce,
        };
        frame::write(tcp, &welcome, self.identity.key()).await?;
        Ok((hello.nonce, nonce))
    }

    /// Responds to a request by its deadline. A missed deadline closes the connection, since the client no longer
    /// waits.
    async fn handle_request(
        &self,
        tcp: &mut TcpStream,
        request: RequestFrame,
    ) -> Result<(), frame::Error> {
        self.identity.clock.observe(request.stamp);
        let timeout_left = Duration::from_millis(request.timeout_ms.into()).min(MAX_REQUEST_TIME);
        let until = Instant::now() + timeout_left;
        timeout_at(until.into(), self.respond(tcp, request))
            .await
            .map_err(|_| frame::Error::Deadline)?
    }

    async fn respond(
        &self,
        tcp: &mut TcpStream,
        request: RequestFrame,
    ) -> Result<(), frame::Error> {
        let Some(answer) = self.answer.get() else {
            let response = Response::Failed {
                code: tinbank_base::outcome::Code::NotReady,
                ran: tinbank_base::outcome::Ran::No,
                message: "the process is starting".into(),
            };
            return self
                .send_response(tcp, request.position, 1, true, response)
                .await;
        };
        let mut responses = answer.answer(request.sender, request.request).await;
        let mut index = 0;
        let mut next = responses.next().await;
        while let Some(response) = next {
            next = responses.next().await;
            index += 1;
            self.send_response(tcp, request.position, index, next.is_none(), response)
                .await?;
        }
        if index == 0 {
            let error = std::io::Error::other("the answer has no frames");
            return Err(error.into());
        }
        Ok(())
    }

    async fn send_response(
        &self,
        tcp: &mut TcpStream,
        position: Position,
        index: u32,
        last: bool,
        response: Response,
    ) -> Result<(), frame::Error> {
        let frame = ResponseFrame {
            position: Position { index, ..position },
            stamp: self.identity.clock.stamp(),
            last,
            response,
        };
        frame::write(tcp, &frame, self.identity.key()).await
    }
}
