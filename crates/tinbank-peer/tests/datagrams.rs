//! Datagrams: which are accepted and which are dropped.

mod fixture;

use std::{net::SocketAddr, sync::Arc};

use fixture::{TestClock, endpoint, heartbeat, key, keys, loopback, writer};
use proptest::{prelude::*, test_runner::RngSeed};
use tinbank_base::{
    clock::Stamp,
    frame::{
        Body, Datagram,
        datagram::{MAX_BYTES, open_for, seal_for},
    },
};
use tinbank_peer::{Endpoint, ReceivedHeartbeat, Settings, Window};
use tokio::{net::UdpSocket, sync::mpsc};

const SENDER: u32 = 1;
const RECEIVER: u32 = 2;

fn frame(incarnation: u64, sequence: u64, config: u64) -> Datagram {
    let mut sender = writer(SENDER);
    sender.incarnation = incarnation;
    Datagram {
        sender,
        sequence,
        stamp: Stamp::default(),
        body: Body::Heartbeat(Box::new(heartbeat(config))),
    }
}

fn sealed(datagram: &Datagram, to: SocketAddr) -> Vec<u8> {
    seal_for(datagram, &key(1), to)
}

/// Returns a receiver, its heartbeats, and a raw socket connected to it.
async fn receiver() -> (Endpoint, mpsc::Receiver<ReceivedHeartbeat>, UdpSocket) {
    let endpoint = endpoint(RECEIVER, &[1]).await;
    let heartbeats = endpoint.heartbeats().unwrap();
    let socket = UdpSocket::bind(loopback()).await.unwrap();
    socket.connect(endpoint.address()).await.unwrap();
    (endpoint, heartbeats, socket)
}

/// Sends frames and then a valid one, and returns the `config` of the heartbeats accepted before the last one.
async fn accepted_configs(frames: impl Fn(SocketAddr) -> Vec<Vec<u8>>) -> Vec<u64> {
    const LAST: u64 = 999;
    let (endpoint, mut heartbeats, socket) = receiver().await;
    let address = endpoint.address();
    for bytes in frames(address) {
        socket.send(&bytes).await.unwrap();
    }
    let last = sealed(&frame(9, 1, LAST), address);
    socket.send(&last).await.unwrap();

    let mut configs = Vec::new();
    loop {
        let config = heartbeats.recv().await.unwrap().heartbeat.config;
        if config == LAST {
            return configs;
        }
        configs.push(config);
    }
}

fn bad_version(address: SocketAddr) -> Vec<u8> {
    let mut bytes = sealed(&frame(1, 1, 7), address);
    bytes[0] = 200;
    bytes
}

fn bad_mac(address: SocketAddr) -> Vec<u8> {
    let mut bytes = sealed(&frame(1, 1, 7), address);
    *bytes.last_mut().unwrap() ^= 1;
    bytes
}

fn sealed_unknown_key(address: SocketAddr) -> Vec<u8> {
    seal_for(&frame(1, 1, 7), &key(2), address)
}

fn sealed_other_secret_of_same_key_number(address: SocketAddr) -> Vec<u8> {
    let mut other = key(1);
    other.secret = [77; 32];
    seal_for(&frame(1, 1, 7), &other, address)
}

fn sealed_other_receiver(mut address: SocketAddr) -> Vec<u8> {
    address.set_port(address.port() ^ 1);
    sealed(&frame(1, 1, 7), address)
}

fn sealed_other_type(address: SocketAddr) -> Vec<u8> {
    seal_for(&"text", &key(1), address)
}

fn sealed_from_own_process(address: SocketAddr) -> Vec<u8> {
    let mut datagram = frame(1, 1, 7);
    datagram.sender = writer(RECEIVER);
    sealed(&datagram, address)
}

#[yare::parameterized(
    empty = { |_| Vec::new() },
    short = { |_| vec![1, 1, 0] },
    version = { bad_version },
    mac = { bad_mac },
    unknown_key = { sealed_unknown_key },
    other_secret_of_same_key_number = { sealed_other_secret_of_same_key_number },
    other_receiver = { sealed_other_receiver },
    other_type = { sealed_other_type },
    from_own_process = { sealed_from_own_process },
    too_large = { |_| vec![1; MAX_BYTES + 1] },
    much_too_large = { |_| vec![1; 40_000] },
)]
#[test_macro(tokio::test)]
async fn an_invalid_frame_is_dropped_and_the_next_one_accepted(bad: fn(SocketAddr) -> Vec<u8>) {
    let configs = accepted_configs(|address| vec![bad(address)]).await;

    assert_eq!(configs, [0_u64; 0]);
}

#[tokio::test]
async fn a_replayed_frame_is_dropped_and_a_reordered_one_accepted() {
    let configs = accepted_configs(|address| {
        let order = [(1, 1), (1, 3), (1, 2), (1, 3), (1, 1), (1, 4)];
        let frame = |(incarnation, sequence)| frame(incarnation, sequence, sequence);
        order
            .iter()
            .map(|&number| sealed(&frame(number), address))
            .collect()
    })
    .await;

    assert_eq!(configs, [1, 3, 2, 4]);
}

#[tokio::test]
async fn a_restarted_sender_starts_a_new_sequence_and_its_earlier_incarnation_is_rejected() {
    let configs = accepted_configs(|address| {
        vec![
            sealed(&frame(1, 50, 10), address),
            sealed(&frame(2, 1, 20), address),
            sealed(&frame(1, 51, 11), address),
        ]
    })
    .await;

    assert_eq!(configs, [10, 20]);
}

#[yare::parameterized(
    old_key_only = { &[1], &[1] },
    sender_has_both = { &[1, 2], &[1] },
    receiver_has_both = { &[1], &[2, 1] },
    sender_signs_with_the_new_one = { &[2, 1], &[1, 2] },
    new_key_only_at_sender = { &[2], &[2, 1] },
)]
#[test_macro(tokio::test)]
async fn keys_can_be_rotated_without_losing_a_frame(sender: &[u8], receiver: &[u8]) {
    let sender = endpoint(SENDER, sender).await;
    let receiver = endpoint(RECEIVER, receiver).await;
    let mut heartbeats = receiver.heartbeats().unwrap();

    let size = sender.send_heartbeat(receiver.address(), heartbeat(5));

    let received = heartbeats.recv().await.unwrap();
    assert_eq!(received.from, writer(SENDER));
    assert_eq!(received.heartbeat, heartbeat(5));
    assert!(size > 0 && size <= MAX_BYTES);
}

#[tokio::test]
async fn a_frame_over_the_limit_is_not_sent() {
    let sender = endpoint(SENDER, &[1]).await;
    let mut large = heartbeat(1);
    large.failure_domain = "x".repeat(MAX_BYTES);

    let size = sender.send_heartbeat(sender.address(), large);

    assert_eq!(size, 0);
}

#[tokio::test]
async fn the_stamp_of_a_received_frame_advances_the_clock() {
    let clock = Arc::new(TestClock::default());
    let settings = Settings {
        address: loopback(),
        writer: writer(RECEIVER),
        keys: keys(&[1]),
        clock: clock.clone(),
    };
    let receiver = Endpoint::bind(settings).await.unwrap();
    let mut heartbeats = receiver.heartbeats().unwrap();
    let mut datagram = frame(1, 1, 0);
    datagram.stamp.micros = 5_000;
    let socket = UdpSocket::bind(loopback()).await.unwrap();

    let bytes = sealed(&datagram, receiver.address());
    socket.send_to(&bytes, receiver.address()).await.unwrap();
    heartbeats.recv().await.unwrap();

    assert_eq!(clock.now.lock().unwrap().micros, 5_000);
}

#[tokio::test]
async fn an_unspecified_address_and_a_missing_key_are_rejected() {
    let settings = |address: &str, key_numbers: &[u8]| Settings {
        address: address.parse().unwrap(),
        writer: writer(1),
        keys: keys(key_numbers),
        clock: Arc::new(TestClock::default()),
    };

    let unspecified = Endpoint::bind(settings("0.0.0.0:0", &[1])).await;
    let no_key = Endpoint::bind(settings("127.0.0.1:0", &[])).await;

    assert!(unspecified.unwrap_err().to_string().contains("0.0.0.0:0"));
    assert!(no_key.unwrap_err().to_string().contains("no peer key"));
}

fn fixed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Reference implementation of the replay window that stores all sequences.
#[derive(Default)]
struct Reference {
    seen: Vec<u64>,
}

impl Reference {
    fn admit(&mut self, sequence: u64) -> bool {
        let largest = self.seen.iter().max().copied().unwrap_or_default();
        let new = !self.seen.contains(&sequence) && sequence + 128 > largest && sequence > 0;
        self.seen.push(sequence);
        new
    }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn the_window_agrees_with_a_reference_that_stores_all_sequences(
        steps in proptest::collection::vec(prop_oneof![1_u64..400, 1_u64..5_000], 1..200)
    ) {
        let mut window = Window::default();
        let mut reference = Reference::default();

        for sequence in steps {
            prop_assert_eq!(window.admit(sequence), reference.admit(sequence));
        }
    }

    #[test]
    fn the_decoder_does_not_panic_on_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200), sign in any::<bool>()) {
        let address = "127.0.0.1:9".parse().unwrap();
        let bytes = if sign { seal_for(&bytes, &key(1), address) } else { bytes };

        let _ = open_for::<Datagram>(&bytes, &keys(&[1]), address);
    }
}
