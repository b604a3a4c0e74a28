//! The answering side.

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
    self, Ask, GREETING_WITHIN, Hello, MAX_FRAME, MAX_GREETING, Nonce, Place, Reply, Welcome,
};
use crate::endpoint::Identity;

/// Connections served at once; more wait in the system's queue.
const MAX_CONNECTIONS: usize = 512;
/// How long a connection may be idle.
const IDLE_FOR: Duration = Duration::from_secs(60);
/// Longest time that a request is worked on, whatever the asker would wait.
const MAX_WITHIN: Duration = Duration::from_secs(120);
/// Pause after the system refused a connection (too many open files), so that the loop can't spin.
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
                    () = server.connection(tcp) => {}
                    () = stop.cancelled() => {}
                }
            });
        }
    }

    async fn connection(&self, mut tcp: TcpStream) {
        let Err(error) = self.serve(&mut tcp).await else {
            return;
        };
        let reason = error.reason();
        metrics::counter!("tinbank_peer_connections_failed_total", "reason" => reason).increment(1);
    }

    async fn serve(&self, tcp: &mut TcpStream) -> Result<(), frame::Error> {
        tcp.set_nodelay(true)?;
        let (asker, answerer) = timeout(GREETING_WITHIN, self.greet(tcp))
            .await
            .map_err(|_| frame::Error::Deadline)??;
        let mut exchange = 0;
        loop {
            let read = frame::read::<Ask>(tcp, &self.identity.keys, MAX_FRAME);
            let Ok(read) = timeout(IDLE_FOR, read).await else {
                return Ok(());
            };
            let ask = match read {
                Ok((ask, _)) => ask,
                Err(frame::Error::Io(_)) => return Ok(()),
                Err(error) => return Err(error),
            };
            exchange += 1;
            let place = Place {
                asker,
                answerer,
                exchange,
                index: 0,
            };
            if ask.place != place {
                return Err(frame::Error::Place);
            }
            self.exchange(tcp, ask).await?;
        }
    }

    async fn greet(&self, tcp: &mut TcpStream) -> Result<(Nonce, Nonce), frame::Error> {
        let (hello, _) = frame::read::<Hello>(tcp, &self.identity.keys, MAX_GREETING).await?;
        let nonce = rand::random::<Nonce>();
        let welcome = Welcome {
            asker: hello.nonce,
            nonce,
        };
        frame::write(tcp, &welcome, self.identity.key()).await?;
        Ok((hello.nonce, nonce))
    }

    /// Answers one request by its deadline. A deadline passed closes the connection: the asker has gone.
    async fn exchange(&self, tcp: &mut TcpStream, ask: Ask) -> Result<(), frame::Error> {
        self.identity.clock.observe(ask.stamp);
        let within = Duration::from_millis(ask.within_ms.into()).min(MAX_WITHIN);
        let until = Instant::now() + within;
        timeout_at(until.into(), self.answer(tcp, ask))
            .await
            .map_err(|_| frame::Error::Deadline)?
    }

    async fn answer(&self, tcp: &mut TcpStream, ask: Ask) -> Result<(), frame::Error> {
        let Some(answer) = self.answer.get() else {
            let response = Response::Failed {
                code: tinbank_base::outcome::Code::NotReady,
                ran: tinbank_base::outcome::Ran::No,
                message: "the process is starting".into(),
            };
            return self.reply(tcp, ask.place, 1, true, response).await;
        };
        let mut responses = answer.answer(ask.sender, ask.request).await;
        let mut index = 0;
        let mut next = responses.next().await;
        while let Some(response) = next {
            next = responses.next().await;
            index += 1;
            self.reply(tcp, ask.place, index, next.is_none(), response)
                .await?;
        }
        if index == 0 {
            let error = std::io::Error::other("the answer has no frames");
            return Err(error.into());
        }
        Ok(())
    }

    async fn reply(
        &self,
        tcp: &mut TcpStream,
        place: Place,
        index: u32,
        last: bool,
        response: Response,
    ) -> Result<(), frame::Error> {
        let reply = Reply {
            place: Place { index, ..place },
            stamp: self.identity.clock.stamp(),
            last,
            response,
        };
        frame::write(tcp, &reply, self.identity.key()).await
    }
}
