//! Receives datagrams: verifies them and delivers them to their handlers.

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

/// Limit of the senders tracked for replay protection, far above the number of processes in a deployment. Only senders
/// that hold a key are tracked.
const MAX_SENDERS: usize = 8_192;

/// Reason for dropping a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DropReason {
    TooLarge,
    Frame(datagram::Error),
    Replay,
    OwnFrame,
}

impl DropReason {
    /// Value of the `reason` label in the metric of dropped datagrams.
    fn label(self) -> &'static str {
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
    heartbeat_sender: mpsc::Sender<ReceivedHeartbeat>,
}

impl Receiver {
    pub(crate) fn new(
        address: SocketAddr,
        identity: Arc<Identity>,
        answer: Arc<OnceLock<Arc<dyn Answer>>>,
        heartbeat_sender: mpsc::Sender<ReceivedHeartbeat>,
    ) -> Self {
        Self {
            address,
            identity,
            senders: HashMap::new(),
            answer,
            heartbeat_sender,
        }
    }

    pub(crate) async fn run(mut self, udp: Arc<UdpSocket>, stop: CancellationToken) {
        // One byte more than the largest frame, so that a longer datagram is detected instead of truncated.
        let mut buffer = [0; MAX_BYTES + 1];
        loop {
            let received = tokio::select! {
                received = udp.recv_from(&mut buffer) => received,
                () = stop.cancelled() => return,
            };
            // Errors of earlier sends, such as an unreachable port, are reported here and can be ignored.
            let Ok((size, _)) = received else { continue };
            match self.check(&buffer[..size]) {
                Ok(datagram) => self.deliver(datagram),
                Err(drop) => {
                    let reason = drop.label();
                    metrics::counter!("tinbank_peer_dropped_total", "reason" => reason)
                        .increment(1);
                }
            }
        }
    }

    fn check(&mut self, bytes: &[u8]) -> Result<Datagram, DropReason> {
        if bytes.len() > MAX_BYTES {
            return Err(DropReason::TooLarge);
        }
        let datagram: Datagram =
            open_for(bytes, &self.identity.keys, self.address).map_err(DropReason::Frame)?;
        if datagram.sender.process == self.identity.writer.process {
            return Err(DropReason::OwnFrame);
        }
        if !self.admit(datagram.sender, datagram.sequence) {
            return Err(DropReason::Replay);
        }
        Ok(datagram)
    }

    fn admit(&mut self, sender: Writer, sequence: u64) -> bool {
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&sender.process) {
            return false;
        }
        let sender_state = self
            .senders
            .entry(sender.process)
            .or_insert((sender.incarnation, Window::default()));
        if sender.incarnation < sender_state.0 {
            return false;
        }
        if sender.incarnation > sender_state.0 {
            *sender_state = (sender.incarnation, Window::default());
        }
        sender_state.1.admit(sequence)
    }

    fn deliver(&self, datagram: Datagram) {
        self.identity.clock.observe(datagram.stamp);
        match datagram.body {
            Body::Heartbeat(heartbeat) => {
                let received = ReceivedHeartbeat {
                    from: datagram.sender,
                    heartbeat: *heartbeat,
                };
                if self.heartbeat_sender.try_send(received).is_err() {
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
