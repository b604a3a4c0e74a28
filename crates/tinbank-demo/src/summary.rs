//! What the demo found, for people and for machines.

use std::fmt;

use serde::Serialize;

use crate::{sweep::Rate, tally::Counts, traffic::Latency};

/// What the demo found.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Which example ran.
    pub example: String,
    /// Entry hosts; each runs an online and a batch process.
    pub hosts: usize,
    /// Engines.
    pub engines: usize,
    /// Items of the sweep.
    pub items: Counts,
    /// Online requests.
    pub online: Counts,
    /// First token with online traffic alone.
    pub alone: Latency,
    /// First token beside the sweep.
    pub beside: Latency,
    /// How the sweep went.
    pub sweep: Rate,
}

impl Summary {
    /// Whether nothing was lost, doubled, failed or wrong.
    pub fn clean(&self) -> bool {
        self.items.clean() && self.online.clean()
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            hosts,
            engines,
            example,
            sweep,
            ..
        } = self;
        writeln!(f, "{example}: {hosts} entry hosts before {engines} engines")?;
        write_counts(f, "batch items", &self.items)?;
        write_counts(f, "online requests", &self.online)?;
        write_latency(f, "alone", &self.alone)?;
        write_latency(f, "beside the sweep", &self.beside)?;
        write!(
            f,
            "sweep: {} items in {} jobs in {:.1} s, {:.1} items/s",
            sweep.items, sweep.jobs, sweep.seconds, sweep.items_per_second
        )
    }
}

fn write_counts(f: &mut fmt::Formatter<'_>, what: &str, counts: &Counts) -> fmt::Result {
    let Counts {
        accepted,
        once,
        lost,
        doubled,
        failed,
        wrong,
        unasked,
    } = counts;
    writeln!(
        f,
        "{what}: {accepted} sent, {once} done once, {lost} lost, {doubled} doubled, {failed} failed, {wrong} wrong, \
         {unasked} unasked"
    )
}

fn write_latency(f: &mut fmt::Formatter<'_>, when: &str, latency: &Latency) -> fmt::Result {
    let Latency {
        requests,
        p50_ms,
        p95_ms,
        p99_ms,
        max_ms,
    } = latency;
    writeln!(
        f,
        "online first token {when}: p50 {p50_ms:.1} ms, p95 {p95_ms:.1} ms, p99 {p99_ms:.1} ms, max {max_ms:.1} ms \
         ({requests} requests)"
    )
}
