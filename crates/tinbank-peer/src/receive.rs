//! Receives datagrams: checks, counts, passes on.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, OnceLock},
};

use tinbank_base::{
    frame::{
        Body, Datagram,
        datagram::{self, MAX_BYTES, open_for},
    },
    id,
    peer::Answer,
    record::Writer,
};
use tokio::{net::UdpSocket, sync::mpsc};
use tokio_util::sync::CancellationToken;

use crate::{ReceivedHeartbeat, Window, endpoint::Identity};

/// Senders remembered for replay protection. Far more than processes in a deployment; a sender needs a key to be one.
const MAX_SENDERS: usize = 8_192;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Drop {
    TooLarge,
    Frame(datagram::Error),
    Replay,
    OwnFrame,
}

impl Drop {
    fn reason(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::Frame(datagram::Error::Short) => "short",
            Self::Frame(datagram::Error::Version(_)) => "version",
            Self::Frame(datagram::Error::Key(_)) => "key",
            Self::Frame(datagram::Error::Mac) => "mac",
            Self::Frame(datagram::Error::Malformed) => "malformed",
            Self::Replay => "replay",
            Self::OwnFrame => "own",
        }
    }
}

pub(crate) struct Receiver {
    address: SocketAddr,
    identity: Arc<Identity>,
    senders: HashMap<id::Process, (id::Incarnation, Window)>,
    answer: Arc<OnceLock<Arc<dyn Answer>>>,
    hear: mpsc::Sender<ReceivedHeartbeat>,
}

impl Receiver {
    pub(crate) fn new(
        address: SocketAddr,
        identity: Arc<Identity>,
        answer: Arc<OnceLock<Arc<dyn Answer>>>,
        hear: mpsc::Sender<ReceivedHeartbeat>,
    ) -> Self {
        Self {
            address,
            identity,
            senders: HashMap::new(),
            answer,
            hear,
        }
    }

    pub(crate) async fn run(mut self, udp: Arc<UdpSocket>, stop: CancellationToken) {
        // One byte more than the largest frame, so that a longer one is seen to be too large.
        let mut buffer = [0; MAX_BYTES + 1];
        loop {
            let received = tokio::select! {
                received = udp.recv_from(&mut buffer) => received,
                () = stop.cancelled() => return,
            };
            // Errors of earlier sends (port unreachable) are reported here; they are no reason to stop.
            let Ok((size, _)) = received else { continue };
            match self.check(&buffer[..size]) {
                Ok(datagram) => self.pass(datagram),
                Err(drop) => {
                    let reason = drop.reason();
                    metrics::counter!("tinbank_peer_dropped_total", "reason" => reason)
                        .increment(1);
                }
            }
        }
    }

    fn check(&mut self, bytes: &[u8]) -> Result<Datagram, Drop> {
        if bytes.len() > MAX_BYTES {
            return Err(Drop::TooLarge);
        }
        let datagram: Datagram =
            open_for(bytes, &self.identity.keys, self.address).map_err(Drop::Frame)?;
        if datagram.sender.process == self.identity.writer.process {
            return Err(Drop::OwnFrame);
        }
        if !self.admit(datagram.sender, datagram.sequence) {
            return Err(Drop::Replay);
        }
        Ok(datagram)
    }

    fn admit(&mut self, sender: Writer, sequence: u64) -> bool {
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&sender.process) {
            return false;
        }
        let known = self
            .senders
            .entry(sender.process)
            .or_insert((sender.incarnation, Window::default()));
        if sender.incarnation < known.0 {
            return false;
        }
        if sender.incarnation > known.0 {
            *known = (sender.incarnation, Window::default());
        }
        known.1.admit(sequence)
    }

    fn pass(&self, datagram: Datagram) {
        self.identity.clock.observe(datagram.stamp);
        match datagram.body {
            Body::Heartbeat(heartbeat) => {
                let heard = ReceivedHeartbeat {
                    from: datagram.sender,
                    heartbeat: *heartbeat,
                };
                if self.hear.try_send(heard).is_err() {
                    metrics::counter!("tinbank_peer_dropped_total", "reason" => "not_taken")
                        .increment(1);
                }
            }
            Body::Credit(message) => {
                if let Some(answer) = self.answer.get() {
                    answer.on_credit(datagram.sender, message);
                }
            }
            Body::Demand(message) => {
                if let Some(answer) = self.answer.get() {
                    answer.on_demand(datagram.sender, message);
                }
            }
        }
    }
}
