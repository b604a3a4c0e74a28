//! Looks for room for an item.

use std::time::{Duration, Instant, SystemTime};

use smallvec::SmallVec;
use tinbank_admission::Gate;
use tinbank_base::{id, platform::hosts};
use tinbank_configuration::template::Traffic;
use tinbank_routing::choice::{Choice, RouteRequest};

use super::Pool;
use crate::runner::{attempt::Spot, task::Task};

/// Most upstreams asked for room for one item in one look.
const MAX_CHOICES: usize = 64;

impl Pool {
    pub(super) fn place(&mut self, task: &Task, now: Instant) -> Option<Spot> {
        let mut ask = RouteRequest {
            service: &task.service,
            traffic: Traffic::Batch,
            prefix: task.prefix,
            tried: SmallVec::new(),
        };
        for _ in 0..MAX_CHOICES {
            let Ok(choice) = self.parts.router.choose(&ask, now) else {
                break;
            };
            let upstream = choice.target.upstream;
            if ask.tried.contains(&upstream) {
                break;
            }
            if let Some(spot) = self.enter(task, choice, now) {
                return Some(spot);
            }
            ask.tried.push(upstream);
        }
        if task.suspect() {
            self.lanes.reserve(&ask.tried);
        }
        self.wish(task, &ask.tried, now);
        None
    }

    fn enter(&self, task: &Task, choice: Choice, now: Instant) -> Option<Spot> {
        let upstream = choice.target.upstream;
        if !self.lanes.open(upstream, task.suspect()) {
            return None;
        }
        let gate: &dyn Gate = match task.service.kind {
            hosts::Kind::Engine => &*self.parts.gate,
            hosts::Kind::Plain => &self.plain,
        };
        let pass = gate.enter(upstream, &task.flow.customer, now)?;
        Some(Spot { choice, pass })
    }

    /// Asks for more room in the upstreams that had none, in equal parts.
    fn wish(&self, task: &Task, full: &[id::Upstream], now: Instant) {
        if full.is_empty() || task.service.kind == hosts::Kind::Plain {
            return;
        }
        let waiting = self.queue.waiting(&task.flow) + 1;
        let each = waiting.div_ceil(full.len()) as u32;
        let due = now + until(task.due);
        for upstream in full {
            let wanted = each + self.lanes.running(*upstream);
            let wanted = u16::try_from(wanted).unwrap_or(u16::MAX);
            let customer = &task.flow.customer;
            self.parts
                .gate
                .request_credits(*upstream, customer, wanted, due, now);
        }
    }
}

/// How long until a time; zero when it has passed.
fn until(at: SystemTime) -> Duration {
    at.duration_since(SystemTime::now()).unwrap_or_default()
}
