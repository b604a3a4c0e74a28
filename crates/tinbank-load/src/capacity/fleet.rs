//! The holder of orders: one process of the fleet.

use super::{
    control::{MICROS_PER_PERCENT, NODE_BYTES, NODE_PERCENT, TCP_HEADERS},
    figures::Figures,
    row::{Limit, Row},
    size::Size,
};

/// Time between two questions to an engine.
const ASKED_EVERY: f64 = 2.0;

pub(super) fn rows(figures: &Figures) -> Vec<Row> {
    let asked = |size: &Size| size.engines / ASKED_EVERY;
    let bytes = |size: &Size| asked(size) * (figures.slope("report wire bytes") + TCP_HEADERS);
    let percent = |size: &Size| figures.at("fleet rest", size.engines) / MICROS_PER_PERCENT;
    vec![
        Row {
            what: "engines asked",
            unit: "1/s",
            target: asked(&Size::TARGET),
            today: asked(&Size::TODAY),
            limit: Limit::None,
            mechanism: "one holder by a lease in the stream `fleet`; orders as desired state, read back",
            series: &[],
        },
        Row {
            what: "bytes of reports",
            unit: "B/s",
            target: bytes(&Size::TARGET),
            today: bytes(&Size::TODAY),
            limit: Limit::Most(NODE_BYTES),
            mechanism: "every engine every 2 s, by the holder only",
            series: &["report wire bytes"],
        },
        Row {
            what: "processor time of the holder's process",
            unit: "% of a core",
            target: percent(&Size::TARGET),
            today: percent(&Size::TODAY),
            limit: Limit::Most(NODE_PERCENT),
            mechanism: "the same",
            series: &["fleet rest"],
        },
    ]
}
