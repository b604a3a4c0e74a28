//! Sends the number of admitted requests per customer to the other allocators and to the hosts that would replace them.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_allocator::frame::Frame;
use tokio::time;

use super::Sharing;

/// Time between two messages. It bounds the requests of a customer that several allocators admit before they receive
/// each other's counts. At 400 requests a second, eight times the limit of the largest customer, these are some 13
/// requests.
const INTERVAL: Duration = Duration::from_millis(50);
/// A host that sent counts within this time is an allocator for some hosts, even if not by this host's own view.
const SENDER_AGE: Duration = Duration::from_secs(1);

/// Sends the counts at each interval, forever.
pub(crate) async fn broadcast_counts(sharing: Rc<Sharing>) {
    let mut ticks = time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        sharing.broadcast_counts_once(Instant::now());
    }
}

impl Sharing {
    fn broadcast_counts_once(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        let Some(counts) = state.allocator.counts(now) else {
            return;
        };
        let mut others = state.directory.counters(now);
        others.extend(state.allocator.recent_count_senders(SENDER_AGE, now));
        drop(state);
        others.sort();
        others.dedup();
        let frame = Frame::Counts(counts);
        for other in others.into_iter().filter(|it| *it != self.own.address) {
            self.send(other, &frame);
        }
    }
}
