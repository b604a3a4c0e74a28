//! What is usual at the upstreams of each service, learned by an allocator.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_base::id;

use super::{Pace, Sample, meter, usual::Learned};
use crate::size::Tokens;

/// Time between two comparisons of the upstreams of a service. Much shorter than the time in which a slow upstream has to be
/// detected, and long enough that the comparison costs little beside 300 slot requests per second.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Number of events from which their mean time is a sample of the pace.
const MIN_EVENTS: u32 = 4;

/// A sample with its circumstances.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Service of the upstream.
    pub service: &'a str,
    /// Host that measured it.
    pub by: SocketAddr,
    /// Whether the request is a batch item.
    pub is_batch: bool,
    /// Whether the sample is of an event that is late, rather than of a finished request.
    pub is_late_event: bool,
    /// Number of requests that the upstream processes, including this one.
    pub load: usize,
    /// Tokens of the prompt that the upstream had to read, if known.
    pub unread: Option<Tokens>,
    /// What was measured.
    pub sample: Sample,
}

/// What is usual for the services of an allocator.
#[derive(Debug, Default)]
pub struct Services {
    services: Vec<Service>,
    next_refresh: Option<Instant>,
}

#[derive(Debug, Default)]
struct Service {
    name: id::Service,
    online: Learned,
    batch: Learned,
}

impl Services {
    /// Records a sample of an upstream.
    pub fn record(&mut self, pace: &mut Pace, observation: Observation<'_>, now: Instant) {
        let service = self.service(observation.service);
        let learned = match observation.is_batch {
            true => &mut service.batch,
            false => &mut service.online,
        };
        match observation.is_late_event {
            true => record_late_event(learned, pace, observation, now),
            false => record_finished(learned, pace, observation, now),
        }
    }

    /// Returns whether the upstreams have to be compared again.
    pub fn is_refresh_due(&self, now: Instant) -> bool {
        self.next_refresh.is_none_or(|at| now >= at)
    }

    /// Compares the paces of all upstreams, given with their services. An upstream at the median of its service is typical, and
    /// so is one without samples. None counts as slow when all are.
    pub fn refresh(&mut self, mut paces: Vec<(&str, &mut Pace)>, now: Instant) {
        self.next_refresh = Some(now + REFRESH_INTERVAL);
        for service in &mut self.services {
            let of_service = paces.iter_mut().filter(|(name, _)| *name == service.name);
            let estimates = of_service.map(|(_, pace)| {
                if pace.is_outdated(now) {
                    pace.forget();
                }
                pace.estimate
            });
            let median = median(estimates.collect());
            let Some(factor) = median.filter(|it| *it != 1.0) else {
                continue;
            };
            service.online.rescale(factor);
            service.batch.rescale(factor);
            let of_service = paces.iter_mut().filter(|(name, _)| *name == service.name);
            of_service.for_each(|(_, pace)| pace.rescale(factor));
        }
        self.apply(paces);
    }

    /// Tells the paces of upstreams, given with their services, what is usual there.
    pub fn apply<'a>(&self, paces: impl IntoIterator<Item = (&'a str, &'a mut Pace)>) {
        for (name, pace) in paces {
            if let Some(service) = self.services.iter().find(|it| it.name == name) {
                pace.online = service.online.usual;
                pace.batch = service.batch.usual;
            }
        }
    }

    fn service(&mut self, name: &str) -> &mut Service {
        let index = self.services.iter().position(|it| it.name == name);
        let index = index.unwrap_or_else(|| {
            self.services.push(Service {
                name: name.to_owned(),
                ..Service::default()
            });
            self.services.len() - 1
        });
        &mut self.services[index]
    }
}

fn record_finished(
    learned: &mut Learned,
    pace: &mut Pace,
    observation: Observation<'_>,
    now: Instant,
) {
    let Observation { load, sample, .. } = observation;
    if sample.events < MIN_EVENTS || sample.interval_us == 0 {
        return;
    }
    let interval_us = f64::from(sample.interval_us);
    if !learned.usual.is_measured {
        learned.record_interval(load, interval_us, 1.0);
    }
    let slowness = interval_us / learned.usual.interval_us(load);
    let covered = Duration::from_micros(sample.interval_us.into());
    let covered = covered * sample.events.min(meter::RECENT as u32);
    let since = now.checked_sub(covered).unwrap_or(now);
    pace.record(observation.by, slowness, since, now);
    learned.record_interval(load, interval_us, pace.estimate);
    if let (Some(unread), true) = (observation.unread, sample.first_event_ms > 0) {
        let first_us = f64::from(sample.first_event_ms) * 1_000.0;
        learned.record_first_event(load, unread, first_us, pace.estimate);
    }
}

/// Records an event that is late or was late. The time that the upstream spent on reading prompts is subtracted. The sample is a
/// lower bound, so it can only raise the estimate.
fn record_late_event(
    learned: &Learned,
    pace: &mut Pace,
    observation: Observation<'_>,
    now: Instant,
) {
    let Observation { load, sample, .. } = observation;
    if !learned.usual.is_measured {
        return;
    }
    let (waited, usual_us) = match sample.interval_us {
        0 => {
            let waited = Duration::from_millis(sample.first_event_ms.into());
            (waited, learned.usual.first_event_us(load, 0))
        }
        interval_us => {
            let waited = Duration::from_micros(interval_us.into());
            (waited, learned.usual.interval_us(load))
        }
    };
    let start = now.checked_sub(waited).unwrap_or(now);
    let waited = waited.saturating_sub(pace.time_reading(start, now));
    let slowness = waited.as_micros() as f64 / usual_us;
    if slowness > pace.estimate {
        pace.record(observation.by, slowness, start, now);
    }
}

/// Returns the median, and of an even number of values the lower of the two in the middle: of two upstreams the faster one is
/// typical.
fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let middle = values.len().checked_sub(1)? / 2;
    Some(values[middle])
}
