//! Tells other allocators, and the hosts that would take over from them, which customers this one has let in.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_allocator::frame::Frame;
use tokio::time;

use super::Sharing;

/// Time between two messages. Source: what several allocators let in of one customer before they hear of each other; at 400
/// requests a second of a customer, by which the largest exceeds its limit eight times, that is some 13 requests.
const ROUND: Duration = Duration::from_millis(50);
/// Another host that has told its counts this long ago is an allocator for somebody, whoever this host takes for one.
const TELLER_AGE: Duration = Duration::from_secs(1);

/// Tells for as long as the process runs.
pub(crate) async fn broadcast_counts(sharing: Rc<Sharing>) {
    let mut ticks = time::interval(ROUND);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        sharing.tell_counts_once(Instant::now());
    }
}

impl Sharing {
    fn tell_counts_once(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        let Some(counts) = state.allocator.counts(now) else {
            return;
        };
        let mut others = state.directory.counters(now);
        others.extend(state.allocator.recent_count_senders(TELLER_AGE, now));
        drop(state);
        others.sort();
        others.dedup();
        let frame = Frame::Counts(counts);
        for other in others.into_iter().filter(|it| *it != self.own.address) {
            self.send(other, &frame);
        }
    }
}
