//! What a node spends on control: bytes a second, processor time, memory; and the configuration.

use super::{
    figures::Figures,
    row::{Limit, Row},
    size::{DAY, Size},
};

/// What a node may spend on control.
pub(super) const NODE_BYTES: f64 = 2_048.0;
pub(super) const NODE_PERCENT: f64 = 1.2;
const NODE_MEGABYTES: f64 = 64.0;
/// Time till a configuration is in force everywhere.
const IN_FORCE_SECONDS: f64 = 8.0;
/// Bytes of IP and UDP headers of a datagram.
const HEADERS: f64 = 28.0;
/// Bytes of TCP and IP headers of a call: request, answer and an acknowledgement each, of 52 bytes.
pub(super) const TCP_HEADERS: f64 = 4.0 * 52.0;
/// Processes of a host.
const PROCESSES: f64 = 3.0;
/// Readings of the host list a second in a process of a small fleet, and the number of processes up to which it is small.
const LIST_READS: f64 = 2.0;
const FEW_PROCESSES: f64 = 36.0;
/// Versions of the host list that one loss or return of a host makes: leaving and gone, or listed and live.
const VERSIONS: f64 = 2.0;
/// Reports asked a second by an online or a batch process.
const REPORTS: f64 = 1.0;
/// Events that a process keeps.
const EVENTS: f64 = 16_384.0;
/// Customers with requests at one process at a time, at most.
const BUSY_CUSTOMERS: f64 = 1_625.0;
pub(super) const MICROS_PER_PERCENT: f64 = 10_000.0;
const MEGABYTE: f64 = 1e6;

/// Readings of the list a second in one process.
fn list_reads(size: &Size) -> f64 {
    LIST_READS / (size.members() / FEW_PROCESSES).max(1.0)
}

/// Changed lists that one process reads a second.
fn list_changes(size: &Size) -> f64 {
    (VERSIONS * size.member_changes / DAY).min(list_reads(size))
}

fn row(
    what: &'static str,
    unit: &'static str,
    of: impl Fn(&Size) -> f64,
    limit: Limit,
    mechanism: &'static str,
    series: &'static [&'static str],
) -> Row {
    Row {
        what,
        unit,
        target: of(&Size::TARGET),
        today: of(&Size::TODAY),
        limit,
        mechanism,
        series,
    }
}

/// Adds a line that sums those before it.
fn summed(mut rows: Vec<Row>, what: &'static str, unit: &'static str, most: f64) -> Vec<Row> {
    rows.push(Row {
        what,
        unit,
        target: rows.iter().map(|row| row.target).sum(),
        today: rows.iter().map(|row| row.today).sum(),
        limit: Limit::Most(most),
        mechanism: "the sum of the lines above",
        series: &[],
    });
    rows
}

pub(super) fn bytes(figures: &Figures) -> Vec<Row> {
    let rows = vec![
        row(
            "heartbeats, three processes, with IP headers",
            "B/s",
            |size| {
                let datagrams = figures.at("membership datagrams", size.members());
                let bytes = figures.at("membership bytes", size.members());
                PROCESSES * (bytes + HEADERS * datagrams)
            },
            Limit::None,
            "one probe a tick in shuffled rounds, news on heartbeats: the same at any number of members",
            &["membership bytes", "membership datagrams"],
        ),
        row(
            "loads, wishes and grants, with IP headers",
            "B/s",
            |size| {
                let datagrams = figures.at("admission fleet datagrams", size.hosts);
                let bytes = figures.at("admission fleet bytes", size.hosts);
                bytes + HEADERS * datagrams
            },
            Limit::None,
            "two controllers an engine by rendezvous hash; a process wishes for 12 engines",
            &["admission fleet bytes", "admission fleet datagrams"],
        ),
        row(
            "host list, three processes",
            "B/s",
            |size| {
                let asked =
                    list_reads(size) * (figures.slope("host list wire bytes") + TCP_HEADERS);
                let sent =
                    list_changes(size) * figures.at("host list compressed bytes", size.hosts);
                PROCESSES * (asked + sent)
            },
            Limit::None,
            "asked for by version and sent, compressed, only when it has changed; the fleet reads it 72 times a second however \
             large it is, and who reads that an upstream leaves tells the others",
            &["host list wire bytes", "host list compressed bytes"],
        ),
        row(
            "load reports, online and batch",
            "B/s",
            |_| 2.0 * REPORTS * (figures.slope("report wire bytes") + TCP_HEADERS),
            Limit::None,
            "one engine a second in turn, whatever their number; a setting",
            &["report wire bytes"],
        ),
        row(
            "configuration, three processes",
            "B/s",
            |size| PROCESSES * size.changes * CHANGE_BYTES / DAY,
            Limit::None,
            "each process follows the stream by long poll",
            &[],
        ),
    ];
    summed(rows, "**a node's control in all**", "B/s", NODE_BYTES)
}

/// A change on the wire: its record with a customer's text, and HTTP's headers.
const CHANGE_BYTES: f64 = 1_200.0;

pub(super) fn time(figures: &Figures) -> Vec<Row> {
    let percent = |micros: f64| micros / MICROS_PER_PERCENT;
    let rows = vec![
        row(
            "control threads of online and batch at rest",
            "% of a core",
            |size| percent(figures.at("control rest", size.engines)),
            Limit::None,
            "ticks of 100 ms and 500 ms, polls of log, host list and reports",
            &["control rest"],
        ),
        row(
            "fleet process that holds no orders",
            "% of a core",
            |_| percent(figures.at("fleet rest", 0.0)),
            Limit::None,
            "the line at no engine: polls of log and host list",
            &["fleet rest"],
        ),
        row(
            "decoding the host list, three processes",
            "% of a core",
            |size| {
                percent(PROCESSES * list_changes(size) * figures.at("host list time", size.hosts))
            },
            Limit::None,
            "only a changed list is decoded",
            &["host list time"],
        ),
        row(
            "heartbeats, three processes",
            "% of a core",
            |size| percent(PROCESSES * figures.at("membership time", size.members())),
            Limit::None,
            "see above; signing and checking included, the system's part not",
            &["membership time"],
        ),
        row(
            "loads, wishes and grants",
            "% of a core",
            |size| percent(figures.at("admission fleet time", size.hosts)),
            Limit::None,
            "controller, holder and teller of a host, ticks of 100 ms",
            &["admission fleet time"],
        ),
        row(
            "configuration changes, three processes",
            "% of a core",
            |size| {
                let change = figures.at("configuration change", size.customers);
                percent(PROCESSES * size.changes / DAY * change)
            },
            Limit::None,
            "the fold judges one customer; a snapshot copies two indexes",
            &["configuration change"],
        ),
        row(
            "ranks at changes of members",
            "% of a core",
            |size| {
                let shards = figures.at("ranks shards", size.hosts) * size.shards / 512.0;
                let engines = figures.at("ranks engines", size.hosts) * size.engines / 600.0;
                percent(PROCESSES * size.member_changes / DAY * (shards + engines))
            },
            Limit::None,
            "rendezvous hash over the batch processes that serve",
            &["ranks shards", "ranks engines"],
        ),
    ];
    summed(
        rows,
        "**a node's control in all**",
        "% of a core",
        NODE_PERCENT,
    )
}

pub(super) fn memory(figures: &Figures) -> Vec<Row> {
    let megabytes = |bytes: f64| bytes / MEGABYTE;
    let rows = vec![
        row(
            "configuration, three processes",
            "MB",
            |size| megabytes(PROCESSES * figures.at("configuration bytes", size.customers)),
            Limit::None,
            "customers share their template's maps; snapshots share customers with the state",
            &["configuration bytes"],
        ),
        row(
            "members, three processes",
            "MB",
            |size| megabytes(PROCESSES * figures.at("membership state bytes", size.members())),
            Limit::None,
            "every process knows every other",
            &["membership state bytes"],
        ),
        row(
            "time line, three processes",
            "MB",
            |_| megabytes(PROCESSES * figures.at("timeline bytes", EVENTS)),
            Limit::None,
            "a ring of 16,384 events",
            &["timeline bytes"],
        ),
        row(
            "host list, three processes, two copies each",
            "MB",
            |size| megabytes(2.0 * PROCESSES * figures.at("host list state bytes", size.hosts)),
            Limit::None,
            "the platform's list, and the list with the operators' drains",
            &["host list state bytes"],
        ),
        row(
            "routing, online and batch",
            "MB",
            |size| megabytes(2.0 * figures.at("routing bytes", size.engines)),
            Limit::None,
            "an entry an engine",
            &["routing bytes"],
        ),
        row(
            "admission",
            "MB",
            |size| megabytes(figures.at("admission bytes", size.engines)),
            Limit::None,
            "a seat an engine; loads and wishes only at its two controllers",
            &["admission bytes"],
        ),
        row(
            "limits",
            "MB",
            |size| megabytes(figures.at("limits bytes", BUSY_CUSTOMERS.min(size.customers))),
            Limit::None,
            "accounts only of customers with demand here; 1,625 at most are assumed at once",
            &["limits bytes"],
        ),
        row(
            "pending items, owner and follower",
            "MB",
            |size| {
                let followed = 2.0 * size.pending / size.hosts;
                megabytes(followed * figures.slope("ledger pending bytes"))
            },
            Limit::None,
            "32 bytes a waiting chunk of 256 items; bodies stay in the log",
            &["ledger pending bytes"],
        ),
        row(
            "ended items whose results are readable, owner and follower",
            "MB",
            |size| {
                let followed = 2.0 * size.items * DAY / size.hosts;
                megabytes(followed * figures.slope("ledger ended bytes"))
            },
            Limit::None,
            "a bit an item and an offset an append, for a day",
            &["ledger ended bytes"],
        ),
    ];
    summed(rows, "**a node's control in all**", "MB", NODE_MEGABYTES)
}

pub(super) fn configuration(figures: &Figures) -> Vec<Row> {
    vec![
        row(
            "a change till it is in force at a process that has read it",
            "ms",
            |size| figures.at("configuration change", size.customers) / 1e3,
            Limit::Most(1e3 * IN_FORCE_SECONDS),
            "the long poll brings it in one round trip; heartbeats carry the offset, and who is behind asks a peer",
            &["configuration change"],
        ),
        row(
            "till a process that the log serves slowly hears that it is behind",
            "ms",
            |size| 1e3 / figures.at("membership datagrams", size.members()),
            Limit::Most(1e3 * IN_FORCE_SECONDS),
            "as many heartbeats come as are sent, and any of them carries the offset; it then asks that peer at once",
            &["membership datagrams"],
        ),
        row(
            "memory of one process",
            "MB",
            |size| figures.at("configuration bytes", size.customers) / MEGABYTE,
            Limit::None,
            "state and snapshot",
            &["configuration bytes"],
        ),
    ]
}
