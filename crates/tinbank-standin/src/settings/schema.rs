//! The keys of the settings file, with their units, ranges and defaults.

use tinbank_settings::schema::{Field, Kind, Schema, Use};

use super::Settings;

const ANY_PORT: &str = "\"127.0.0.1:0\"";
const LONGEST_MS: u64 = 366 * 24 * 3_600 * 1_000;
const MOST: u64 = u32::MAX as u64;
const MOST_SERVICES: usize = 1_024;
const STATES: &[&str] = &["live", "leaving"];

impl Schema for Settings {
    fn fields() -> Vec<Field> {
        vec![
            address("admin", "Where faults are switched and accounts are read."),
            Field::optional("log", Kind::Table(log()), "The log service."),
            Field::optional("hosts", Kind::Table(hosts()), "The host list."),
            Field::optional("weights", Kind::Table(weights()), "The weight store."),
            tables("engines", engine(), "Model engines."),
            tables("plain", plain(), "Plain services."),
        ]
    }
}

fn log() -> Vec<Field> {
    vec![
        address("address", "Where it listens."),
        number("appends_per_second", "300.0", "Appends over all streams."),
        number("burst", "30.0", "Appends at once after a pause."),
        count("max_record_bytes", "1048576", "Largest record, in bytes."),
        millis("append_ms", "2", "Time that an append takes to last."),
        millis("retention_ms", "86400000", "How long records are kept."),
        Field::default(
            "retention_bytes",
            Kind::count(0, u64::MAX),
            "4294967296",
            "How many bytes of a stream are kept.",
        ),
        millis("max_wait_ms", "30000", "Longest long poll."),
        seed(),
    ]
}

fn hosts() -> Vec<Field> {
    let process = vec![
        Field::required("host", Kind::count(0, MOST), "Number of the entry host."),
        Field::required(
            "role",
            Kind::Choice(&["online", "batch", "fleet", "tool"]),
            "What the process does.",
        ),
    ];
    let member = vec![
        Field::required("process", Kind::Table(process), "Which process."),
        other("peer", "Where it takes other processes' frames."),
        other("http", "Where it takes HTTP requests."),
        domain(),
        Field::required("state", Kind::Choice(STATES), "Whether it is in use."),
    ];
    let upstream = vec![
        Field::required("upstream", Kind::count(0, MOST), "Its number."),
        Field::required("name", Kind::Text, "Its name."),
        Field::required("kind", Kind::Choice(&["engine", "plain"]), "What it is."),
        Field::required("pools", pools(), "Pools that it belongs to."),
        other("address", "Where it takes HTTP requests."),
        domain(),
        Field::required("checks_fence", Kind::Flag, "Whether it checks orders."),
        Field::optional("slots", Kind::count(1, MOST), "Requests it runs at once."),
        Field::required("state", Kind::Choice(STATES), "Whether it is in use."),
    ];
    vec![
        address("address", "Where it listens."),
        millis("lag_ms", "2000", "How late a change shows."),
        tables("members", member, "Processes of ours."),
        tables(
            "upstreams",
            upstream,
            "Upstreams besides those of this file.",
        ),
    ]
}

fn weights() -> Vec<Field> {
    vec![
        address("address", "Where it listens."),
        number("tickets_per_second", "1.0", "Tickets a second."),
        number("burst", "2.0", "Tickets at once after a pause."),
        tables(
            "artifacts",
            artifact(),
            "What it has; empty for everything.",
        ),
    ]
}

fn engine() -> Vec<Field> {
    let mut fields = upstream("Its name; else engine- and its number.");
    fields.extend([
        flag("checks_fence", "Whether it refuses stale orders."),
        count("slots", "8", "Sequences that it runs at once."),
        flag("lists_slots", "Whether the host list tells its slots."),
        count("queue", "1024", "Sequences that wait inside at most."),
        number("base_step_ms", "10.0", "Time of a step, in milliseconds."),
        number(
            "step_per_sequence_ms",
            "1.0",
            "Time that each sequence adds to a step.",
        ),
        number(
            "prefill_tokens_per_ms",
            "8.0",
            "Speed of uncached prompt tokens.",
        ),
        count("prefix_cache_tokens", "16384", "Size of the prefix cache."),
        count(
            "max_tokens",
            "128",
            "Longest answer where the body names none.",
        ),
        millis("report_lag_ms", "500", "Least age of the load report."),
        tables("loaded", artifact(), "What is loaded at the start."),
        millis("load_ms", "2000", "Time that loading one artifact takes."),
        seed(),
    ]);
    fields
}

fn plain() -> Vec<Field> {
    let mut fields = upstream("Its name; else plain- and its number.");
    fields.extend([millis("call_ms", "5", "Time that a call takes."), seed()]);
    fields
}

/// What all upstreams have.
fn upstream(name: &'static str) -> Vec<Field> {
    vec![
        Field::required("upstream", Kind::count(0, MOST), "Its number on the list."),
        Field::optional("name", Kind::Text, name),
        Field::default("pools", pools(), "[]", "Pools that it belongs to."),
        address("address", "Where it listens."),
        Field::default(
            "failure_domain",
            Kind::Text,
            "\"local\"",
            "Where it stands.",
        ),
    ]
}

fn artifact() -> Vec<Field> {
    vec![
        Field::required("model", Kind::Text, "Name of the model."),
        Field::required("version", Kind::Text, "Version of the model."),
        Field::optional("adapter", Kind::Text, "Name of the adapter, if it is one."),
    ]
}

fn address(key: &'static str, help: &'static str) -> Field {
    Field::default(key, Kind::Address(Use::Listen), ANY_PORT, help)
}

fn other(key: &'static str, help: &'static str) -> Field {
    Field::required(key, Kind::Address(Use::Connect), help)
}

fn domain() -> Field {
    Field::required("failure_domain", Kind::Text, "Where it stands.")
}

fn pools() -> Kind {
    list(Kind::Text)
}

fn tables(key: &'static str, fields: Vec<Field>, help: &'static str) -> Field {
    Field::default(key, list(Kind::Table(fields)), "[]", help)
}

fn list(of: Kind) -> Kind {
    Kind::List {
        of: Box::new(of),
        min: 0,
        max: MOST_SERVICES,
    }
}

fn millis(key: &'static str, json: &'static str, help: &'static str) -> Field {
    Field::default(key, Kind::millis(0, LONGEST_MS), json, help)
}

fn count(key: &'static str, json: &'static str, help: &'static str) -> Field {
    Field::default(key, Kind::count(0, MOST), json, help)
}

fn flag(key: &'static str, help: &'static str) -> Field {
    Field::default(key, Kind::Flag, "true", help)
}

fn seed() -> Field {
    Field::default(
        "seed",
        Kind::count(0, u64::MAX),
        "0",
        "Seed of losses that are drawn by probability.",
    )
}

fn number(key: &'static str, json: &'static str, help: &'static str) -> Field {
    let kind = Kind::Number {
        min: 0.0,
        max: 1e9,
        unit: "",
    };
    Field::default(key, kind, json, help)
}
