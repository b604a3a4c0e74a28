//! Finds an upstream that admits an item.

use std::time::{Duration, Instant, SystemTime};

use smallvec::SmallVec;
use tinbank_admission::Gate;
use tinbank_base::{id, platform::hosts};
use tinbank_configuration::template::Traffic;
use tinbank_routing::choice::{Choice, RouteRequest};

use super::Pool;
use crate::runner::{attempt::Placement, task::Task};

/// Maximum upstreams tried for one item in one placement.
const MAX_CHOICES: usize = 64;

impl Pool {
    pub(super) fn place(&mut self, task: &Task, now: Instant) -> Option<Placement> {
        let mut request = RouteRequest {
            service: &task.service,
            traffic: Traffic::Batch,
            prefix: task.prefix,
            tried: SmallVec::new(),
        };
        for _ in 0..MAX_CHOICES {
            let Ok(choice) = self.deps.router.choose(&request, now) else {
                break;
            };
            let upstream = choice.target.upstream;
            if request.tried.contains(&upstream) {
                break;
            }
            if let Some(placement) = self.try_enter(task, choice, now) {
                return Some(placement);
            }
            request.tried.push(upstream);
        }
        if task.is_suspect() {
            self.isolation.reserve(&request.tried);
        }
        self.request_slots(task, &request.tried, now);
        None
    }

    fn try_enter(&self, task: &Task, choice: Choice, now: Instant) -> Option<Placement> {
        let upstream = choice.target.upstream;
        if !self.isolation.admits(upstream, task.is_suspect()) {
            return None;
        }
        let gate: &dyn Gate = match task.service.kind {
            hosts::Kind::Engine => &*self.deps.gate,
            hosts::Kind::Plain => &self.plain_gate,
        };
        let pass = gate.enter(upstream, &task.flow.customer, now)?;
        Some(Placement { choice, pass })
    }

    /// Requests more slots, in equal parts, from the upstreams that had none free.
    fn request_slots(&self, task: &Task, full: &[id::Upstream], now: Instant) {
        if full.is_empty() || task.service.kind == hosts::Kind::Plain {
            return;
        }
        let waiting = self.queue.waiting(&task.flow) + 1;
        let each = waiting.div_ceil(full.len()) as u32;
        let due = now + time_until(task.due);
        for upstream in full {
            let wanted = each + self.isolation.running(*upstream);
            let wanted = u16::try_from(wanted).unwrap_or(u16::MAX);
            let customer = &task.flow.customer;
            self.deps
                .gate
                .request_credits(*upstream, customer, wanted, due, now);
        }
    }
}

/// Returns the time left until `at`, or zero if it has passed.
fn time_until(at: SystemTime) -> Duration {
    at.duration_since(SystemTime::now()).unwrap_or_default()
}
