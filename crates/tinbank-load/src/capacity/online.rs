//! The online role.

use super::{
    figures::Figures,
    row::{Limit, Row},
    size::Size,
};

const FIRST_TOKEN_MS: f64 = 1_400.0;
/// The time between two tokens.
const TOKEN_MICROS: f64 = 34_000.0;
/// Part of a core that one host has for its callers' traffic: we plan with two.
const TRAFFIC_PERCENT: f64 = 200.0;

/// Customers with demand at one host that are assumed at most.
const BUSY_CUSTOMERS: f64 = 1_625.0;
/// Bytes of a datagram between processes besides what it says, those of IP and UDP included.
const FRAME_BYTES: f64 = 74.0;

pub(super) fn rows(figures: &Figures) -> Vec<Row> {
    let row = |what, unit, of: &dyn Fn(&Size) -> f64, limit, mechanism, series| Row {
        what,
        unit,
        target: of(&Size::TARGET),
        today: of(&Size::TODAY),
        limit,
        mechanism,
        series,
    };
    vec![
        row(
            "requests at a host",
            "1/s",
            &|size| size.requests / size.hosts,
            Limit::None,
            "the platform's balancer; no host is special",
            &[],
        ),
        row(
            "tokens passed on by a host",
            "1/s",
            &|size| size.tokens / size.hosts,
            Limit::None,
            "one stream a request, no log in its way",
            &[],
        ),
        row(
            "processor time of requests and tokens",
            "% of a core",
            &|size| {
                let request = figures.at("online request", 0.0) * size.requests;
                let tokens = figures.slope("online request") * size.tokens;
                (request + tokens) / size.hosts / 1e4
            },
            Limit::Most(TRAFFIC_PERCENT),
            "traffic threads read snapshots; measured in the whole process, frames to the caller included",
            &["online request"],
        ),
        row(
            "processor time of a token",
            "µs",
            &|_| figures.slope("online request"),
            Limit::Most(TOKEN_MICROS),
            "passed on as it comes, checked for its request's id and its place",
            &["online request"],
        ),
        row(
            "added to the first token, 16 callers at once",
            "ms",
            &|_| figures.at("online latency", 16.0),
            Limit::Most(FIRST_TOKEN_MS),
            "one choice, one connection from a pool",
            &["online latency"],
        ),
        row(
            "choice of an engine, all in one pool",
            "µs",
            &|size| figures.at("routing choice", size.engines),
            Limit::None,
            "each choice looks at every candidate of its pool; with 28 models a pool has about 21",
            &["routing choice"],
        ),
        row(
            "limits at a request",
            "µs",
            &|size| figures.at("limits request", size.customers),
            Limit::None,
            "a bucket of the host's own; keepers are asked beside the request",
            &["limits request"],
        ),
        row(
            "limits, two looks a second at what keepers have to be asked",
            "% of a core",
            &|size| 2.0 * figures.at("limits look", BUSY_CUSTOMERS.min(size.customers)) / 10_000.0,
            Limit::None,
            "over the customers with demand here; 1,625 at most are assumed at once",
            &["limits look"],
        ),
        row(
            "limits, asks of one claim for each request",
            "B/s",
            &|size| {
                size.requests / size.hosts * (figures.at("limits ask bytes", 1.0) + FRAME_BYTES)
            },
            Limit::None,
            "an upper bound: at the target most requests are the first in a long while and cost no ask; see docs/design/limits.md",
            &["limits ask bytes"],
        ),
    ]
}
