//! The batch role and the log.

use super::{
    figures::Figures,
    row::{Limit, Row},
    size::{DAY, Size},
};

/// Appends a second that the platform's log takes from the whole fleet.
const APPENDS: f64 = 300.0;
const GIGABYTE: f64 = 1e9;
/// With half a day's items pending every shard has work.
const SHARDS_WITH_WORK: f64 = 512.0;
/// How long an upload may reasonably last.
const INTAKE_SECONDS: f64 = 600.0;
const TRAFFIC_PERCENT: f64 = 200.0;

fn row(
    what: &'static str,
    unit: &'static str,
    target: f64,
    today: f64,
    limit: Limit,
    mechanism: &'static str,
    series: &'static [&'static str],
) -> Row {
    Row {
        what,
        unit,
        target,
        today,
        limit,
        mechanism,
        series,
    }
}

fn both(of: impl Fn(&Size) -> f64) -> (f64, f64) {
    (of(&Size::TARGET), of(&Size::TODAY))
}

pub(super) fn owner(figures: &Figures) -> Vec<Row> {
    let (shards, shards_today) = both(|size| size.shards / size.hosts);
    let (items, items_today) = both(|size| size.items / size.hosts);
    let fold = figures.slope("ledger fold items");
    let single = figures.slope("ledger fold records");
    let control = figures.slope("batch control");
    let whole = figures.slope("batch item");
    vec![
        row(
            "shards owned by a process, and as many followed",
            "",
            shards,
            shards_today,
            Limit::None,
            "rendezvous hash; two members in rank follow a shard, one owns it",
            &[],
        ),
        row(
            "items ended by a process",
            "1/s",
            items,
            items_today,
            Limit::None,
            "shares follow the number of shards owned",
            &[],
        ),
        row(
            "fold of them, in records of 32",
            "% of a core",
            2.0 * items * fold / 1e4,
            2.0 * items_today * fold / 1e4,
            Limit::None,
            "owner and follower fold the same records",
            &["ledger fold items"],
        ),
        row(
            "fold of them, one record each",
            "% of a core",
            2.0 * items * single / 1e4,
            2.0 * items_today * single / 1e4,
            Limit::None,
            "the worst case of an idle budget",
            &["ledger fold records"],
        ),
        row(
            "control thread, from intake to result",
            "% of a core",
            items * control / 1e4,
            items_today * control / 1e4,
            Limit::None,
            "loads, hands out and folds; grows with items, so it is traffic, not control",
            &["batch control"],
        ),
        row(
            "whole process",
            "% of a core",
            items * whole / 1e4,
            items_today * whole / 1e4,
            Limit::Most(TRAFFIC_PERCENT),
            "HTTP to engines and log included",
            &["batch item"],
        ),
    ]
}

pub(super) fn admission(figures: &Figures) -> Vec<Row> {
    let at = |name: &str, of: fn(&Size) -> f64| {
        (
            figures.at(name, of(&Size::TARGET)),
            figures.at(name, of(&Size::TODAY)),
        )
    };
    let (tick, tick_today) = at("admission tick", |size| size.engines);
    let load = figures.at("admission load", 8.0);
    let wish = figures.at("admission wish", 8.0);
    let (bytes, bytes_today) = at("admission bytes", |size| size.engines);
    let (loads, loads_today) = at("admission fleet load bytes", |size| size.hosts);
    vec![
        row(
            "a tick, every 100 ms",
            "µs",
            tick,
            tick_today,
            Limit::None,
            "seats that are others' only expire what they hold",
            &["admission tick"],
        ),
        row(
            "a change of online load, 8 holders",
            "µs",
            load,
            load,
            Limit::None,
            "only the engine's own lots are looked at",
            &["admission load"],
        ),
        row(
            "a wish and the tick that grants it, 8 holders",
            "µs",
            wish,
            wish,
            Limit::None,
            "deficit round robin over the engine's lots",
            &["admission wish"],
        ),
        row(
            "state",
            "KB",
            bytes / 1e3,
            bytes_today / 1e3,
            Limit::None,
            "a seat an engine",
            &["admission bytes"],
        ),
        row(
            "bytes of loads that a host sends",
            "B/s",
            loads,
            loads_today,
            Limit::None,
            "a rise at once and once more, falls each second, repeats each 8 s",
            &["admission fleet load bytes"],
        ),
    ]
}

pub(super) fn intake(figures: &Figures) -> Vec<Row> {
    let line = figures.slope("intake line");
    let (items, items_today) = both(|size| size.items / size.hosts);
    let job = Size::TARGET.largest_job;
    let memory = figures.at("intake bytes", job) / 1e6;
    vec![
        row(
            "parsing, cutting and encoding of a host's lines",
            "% of a core",
            items * line / 1e4,
            items_today * line / 1e4,
            Limit::None,
            "a streaming parser in bounded memory",
            &["intake line", "intake byte"],
        ),
        row(
            "memory for one job of 810,000 items",
            "MB",
            memory,
            memory,
            Limit::None,
            "digests of the names, for doubles; traffic, not control: 8 such jobs at once at most",
            &["intake bytes"],
        ),
        row(
            "appends of one job of 810,000 items",
            "appends",
            figures.at("log intake appends", job),
            figures.at("log intake appends", job),
            Limit::None,
            "chunks of 256 items, one head, one release a shard",
            &["log intake appends"],
        ),
        row(
            "time to take in one job of 810,000 items",
            "s",
            figures.at("log intake time", job),
            figures.at("log intake time today", job),
            Limit::Most(INTAKE_SECONDS),
            "an even share of the budget for each writer",
            &["log intake time", "log intake time today"],
        ),
    ]
}

pub(super) fn log(figures: &Figures) -> Vec<Row> {
    let target = Size::TARGET;
    let today = Size::TODAY;
    let per_item = figures.at("log intake appends", target.largest_job) / target.largest_job;
    let intake = target.items * per_item;
    let intake_today = today.items * per_item;
    let renewals = |size: &Size, seconds: f64| size.shards.min(SHARDS_WITH_WORK) / seconds;
    let wait = figures.at("log wait", APPENDS - intake);
    let slope = |name| figures.slope(name);
    let bytes = slope("log intake bytes") + slope("log completion bytes");
    let carried = bytes + slope("log carried bytes");
    let day = |size: &Size, bytes: f64| size.items * DAY * bytes / GIGABYTE;
    vec![
        row(
            "intake, mean of the day",
            "appends/s",
            intake,
            intake_today,
            Limit::None,
            "chunks of 256 items, one head, one release a shard",
            &["log intake appends"],
        ),
        row(
            "records that hold 512 leases, `lease_silence_ms` 6,000",
            "appends/s",
            renewals(&target, 2.0),
            renewals(&today, 2.0),
            Limit::None,
            "any record renews, so a shard whose items end often needs no more; a lease without work is given back",
            &[],
        ),
        row(
            "**what the fleet has to append at least, `lease_silence_ms` 6,000**",
            "appends/s",
            intake + renewals(&target, 2.0) + target.changes / DAY,
            intake_today + renewals(&today, 2.0) + today.changes / DAY,
            Limit::Most(APPENDS),
            "intake, a record a lease each third of the silence, configuration",
            &["log intake appends"],
        ),
        row(
            "**the same, `lease_silence_ms` 20,000**",
            "appends/s",
            intake + renewals(&target, 6.7) + target.changes / DAY,
            intake_today + renewals(&today, 6.7) + today.changes / DAY,
            Limit::Most(APPENDS),
            "the setting that we advise at the target: takeover after 20 s",
            &["log intake appends"],
        ),
        row(
            "appends of completions and renewals, if items come without end",
            "appends/s",
            figures.at("log completions", 10_200.0),
            figures.at("log completions today", today.items),
            Limit::Most(APPENDS),
            "the budget bounds it; what comes meanwhile shares the next append",
            &["log completions", "log completions today"],
        ),
        row(
            "the same for 1,000 items",
            "appends",
            figures.at("log completions", 10_200.0) / 10_200.0 * 1e3,
            figures.at("log completions today", today.items) / today.items * 1e3,
            Limit::None,
            "group commit a shard: fewer an item as items come faster",
            &["log completions", "log completions today"],
        ),
        row(
            "a completion waits till it lasts, beside intake",
            "ms",
            wait,
            f64::NAN,
            Limit::None,
            "two appends of its shard, at an even share of the budget",
            &["log wait"],
        ),
        row(
            "bytes an item, not carried",
            "B",
            bytes,
            bytes,
            Limit::None,
            "body of 400 bytes, answer of 600",
            &["log intake bytes", "log completion bytes"],
        ),
        row(
            "bytes a day, not carried",
            "GB",
            day(&target, bytes),
            day(&today, bytes),
            Limit::None,
            "results not kept longer than half the retention",
            &["log intake bytes", "log completion bytes"],
        ),
        row(
            "bytes a day, all carried once",
            "GB",
            day(&target, carried),
            day(&today, carried),
            Limit::None,
            "results kept longer than half the retention",
            &["log carried bytes"],
        ),
        row(
            "bytes a second that owners and followers read",
            "MB/s",
            2.0 * target.items * bytes / 1e6,
            2.0 * today.items * bytes / 1e6,
            Limit::None,
            "two members follow a shard",
            &["log intake bytes", "log completion bytes"],
        ),
    ]
}
