//! Series of measurements at growing sizes, and the line through each.

mod configuration;
mod controller;
mod fit;
mod fleet;
mod hosts;
mod intake;
mod ledger;
mod limits;
mod log;
mod membership;
mod peers;
mod processes;
mod ranks;
mod routing;
mod threads;
mod timeline;
mod wire;

use std::{borrow::Cow, fmt, time::Duration};

use cpu_time::ThreadTime;
use serde::{Deserialize, Serialize};

pub use fit::Fit;

/// Tells how many bytes are allocated now.
pub type Allocated<'a> = &'a dyn Fn() -> usize;

/// How often each point is measured; the median counts.
const REPEATS: usize = 5;

/// What is measured at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size.
    pub x: f64,
    /// What it cost, the median of several runs.
    pub y: f64,
}

/// Measurements of one thing at growing sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// What was measured.
    pub name: Cow<'static, str>,
    /// What grows.
    pub x: Cow<'static, str>,
    /// What it costs, with its unit.
    pub y: Cow<'static, str>,
    /// The raw figures.
    pub points: Vec<Point>,
    /// The line through them.
    pub fit: Fit,
}

impl Series {
    fn new(name: &'static str, x: &'static str, y: &'static str, points: Vec<Point>) -> Self {
        let fit = Fit::through(&points);
        Self {
            name: name.into(),
            x: x.into(),
            y: y.into(),
            points,
            fit,
        }
    }
}

impl fmt::Display for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            name,
            x,
            y,
            points,
            fit,
        } = self;
        write!(
            f,
            "{name}: {:.4} {y} per {x}, {:.1} at none, r2 {:.4};",
            fit.slope, fit.intercept, fit.r2
        )?;
        for point in points {
            write!(f, " {}:{:.1}", point.x, point.y)?;
        }
        Ok(())
    }
}

/// Measures all series whose name begins with `only`.
pub fn measure(only: &str, allocated: Allocated) -> Vec<Series> {
    let measurements: &[(&str, &dyn Fn() -> Series)] = &[
        ("membership bytes", &membership::bytes),
        ("membership datagrams", &membership::datagrams),
        ("membership time", &membership::time),
        ("membership state bytes", &|| {
            membership::state_bytes(allocated)
        }),
        ("ranks shards", &ranks::shards),
        ("ranks engines", &ranks::engines),
        ("admission tick", &controller::tick),
        ("admission load", &controller::load),
        ("admission wish", &controller::wish),
        ("admission bytes", &|| controller::bytes(allocated)),
        ("admission fleet bytes", &fleet::bytes),
        ("admission fleet load bytes", &fleet::load_bytes),
        ("admission fleet datagrams", &fleet::datagrams),
        ("admission fleet time", &fleet::time),
        ("limits request", &limits::request),
        ("limits look", &limits::look),
        ("limits bytes", &|| limits::bytes(allocated)),
        ("limits ask bytes", &limits::ask_bytes),
        ("log completions", &log::completions),
        ("log completions today", &log::completions_today),
        ("log wait", &log::wait),
        ("log intake appends", &log::intake_appends),
        ("log intake time", &log::intake_time),
        ("log intake time today", &log::intake_time_today),
        ("log intake bytes", &log::intake_bytes),
        ("log completion bytes", &log::completion_bytes),
        ("log carried bytes", &log::carried_bytes),
        ("intake line", &intake::line),
        ("intake byte", &intake::byte),
        ("intake bytes", &|| intake::bytes(allocated)),
        ("host list bytes", &hosts::list_bytes),
        ("host list compressed bytes", &hosts::list_compressed_bytes),
        ("host list time", &hosts::list_time),
        ("host list state bytes", &|| {
            hosts::list_state_bytes(allocated)
        }),
        ("host list wire bytes", &wire::unchanged_lists),
        ("report wire bytes", &wire::reports),
        ("ledger fold items", &ledger::fold_items),
        ("ledger fold records", &ledger::fold_records),
        ("ledger pending bytes", &|| ledger::pending_bytes(allocated)),
        ("ledger ended bytes", &|| ledger::ended_bytes(allocated)),
        ("ledger checkpoint bytes", &ledger::checkpoint_bytes),
        ("configuration change", &configuration::change),
        ("configuration bytes", &|| configuration::bytes(allocated)),
        ("routing choice", &routing::choice),
        ("routing bytes", &|| routing::bytes(allocated)),
        ("peers seal", &peers::seal),
        ("peers open", &peers::open),
        ("online request", &processes::online_request),
        ("online control", &processes::online_control),
        ("online latency", &processes::online_latency),
        ("online rest", &processes::online_rest),
        ("batch rest", &processes::batch_rest),
        ("fleet rest", &processes::fleet_rest),
        ("control rest", &processes::control_rest),
        ("batch item", &processes::batch_item),
        ("batch control", &processes::batch_control),
        ("timeline note", &timeline::note),
        ("timeline bytes", &|| timeline::bytes(allocated)),
    ];
    measurements
        .iter()
        .filter(|(name, _)| name.starts_with(only))
        .map(|(_, measurement)| measurement())
        .collect()
}

/// Processor time that a piece of work takes on this thread, the median of several runs. `prepare` is not counted.
fn processor_time<T>(prepare: impl Fn() -> T, work: impl Fn(T)) -> Duration {
    let mut times: Vec<_> = (0..REPEATS)
        .map(|_| {
            let input = prepare();
            let start = ThreadTime::now();
            work(input);
            start.elapsed()
        })
        .collect();
    times.sort();
    times[REPEATS / 2]
}

/// Bytes that a value keeps allocated.
fn weight<T>(allocated: Allocated, make: impl FnOnce() -> T) -> f64 {
    let before = allocated();
    let value = make();
    let after = allocated();
    drop(value);
    after.saturating_sub(before) as f64
}

fn point(size: usize, y: f64) -> Point {
    Point { x: size as f64, y }
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
