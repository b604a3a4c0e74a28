//! The time that responses take.

use std::{rc::Rc, time::Instant};

use tinbank_relay::route::Route;

use crate::node::Node;

/// Measures how long a response takes.
pub(super) struct Timer {
    pub node: Rc<Node>,
    pub route: Rc<Route>,
    pub begun_at: Instant,
}

impl Timer {
    /// Records that the response has ended, or was ended by its deadline.
    pub fn record(&self) {
        self.node
            .record_response_time(&self.route, self.begun_at.elapsed());
    }
}
