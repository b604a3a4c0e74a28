//! Network cost of heartbeats. Run with `--nocapture` to see the figures for `docs/design/membership.md`.

mod network;

use std::time::Duration;

use network::Network;
use tinbank_base::frame::datagram::MAX_BYTES;

/// Maximum bytes per second that the three processes of an idle host may send.
const IDLE_BYTES_PER_HOST: u64 = 830;

#[yare::parameterized(
    today = { 12 },
    target = { 370 },
)]
fn the_bytes_sent_by_a_host_do_not_grow_with_the_number_of_hosts(hosts: u32) {
    const SECONDS: u64 = 20;
    let mut network = Network::listed(hosts, 51);
    network.run(Duration::from_secs(20));
    network.sent_bytes = 0;
    network.sent_frames = 0;

    network.run(Duration::from_secs(SECONDS));

    let per_host = network.sent_bytes / u64::from(hosts) / SECONDS;
    let frames = network.sent_frames as f64 / f64::from(hosts) / SECONDS as f64;
    let largest = network.largest_frame;
    println!(
        "hosts={hosts} bytes_per_host_s={per_host} frames_per_host_s={frames:.1} largest_frame={largest}"
    );
    assert!(per_host < IDLE_BYTES_PER_HOST);
    assert!(largest < MAX_BYTES);
}
