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
            "an even part of the limit at each host; nothing is exchanged today",
            &["limits request"],
        ),
        row(
            "limits at a request, if every host heard every digest",
            "µs",
            &|size| figures.at("limits request with digests", size.hosts),
            Limit::None,
            "the sum over hosts at each request: why digests to all are not the way at the target",
            &["limits request with digests"],
        ),
        row(
            "digests to all hosts, once a second, of the customers seen here, if they were exchanged",
            "B/s",
            &|size| {
                let seen = (size.requests / size.hosts * 15.0).min(size.customers);
                (size.hosts - 1.0) * (figures.slope("limits digest bytes") * seen + 28.0)
            },
            Limit::Most(2_048.0),
            "not exchanged today; one host a customer by rendezvous hash has to sum instead",
            &["limits digest bytes"],
        ),
    ]
}
