//! The table of metrics, its page and the source agree. `TINBANK_WRITE_DOCS=1 cargo test -p tinbank-server` writes the page anew.

use std::{
    collections::BTreeSet,
    env, fs,
    path::{Path, PathBuf},
};

use tinbank_server::metrics::catalog::{self, Kind, METRICS};
use tinbank_settings::document;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/metrics.md");
const CRATES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/..");
const MACROS: [&str; 3] = ["counter!(", "gauge!(", "histogram!("];

#[test]
fn the_page_is_generated_from_the_table() {
    let page = fs::read_to_string(PAGE).expect("the page is there");

    let fresh = document::splice(&page, "metrics", &catalog::table());
    let fresh = fresh.expect("the page has the part");

    if env::var_os("TINBANK_WRITE_DOCS").is_some() {
        return fs::write(PAGE, &fresh).expect("the page is writable");
    }
    assert_eq!(page, fresh, "run it once with TINBANK_WRITE_DOCS=1");
}

#[test]
fn the_source_records_what_the_table_lists() {
    let recorded: BTreeSet<String> = sources().iter().flat_map(|path| names(path)).collect();
    let listed: BTreeSet<String> = METRICS
        .iter()
        .map(|metric| metric.name.to_owned())
        .collect();

    let unlisted: Vec<_> = recorded.difference(&listed).collect();
    let unused: Vec<_> = listed.difference(&recorded).collect();

    assert!(
        unlisted.is_empty(),
        "not in metrics/catalog.rs: {unlisted:?}"
    );
    assert!(unused.is_empty(), "recorded nowhere: {unused:?}");
}

#[test]
fn names_follow_one_form() {
    for metric in METRICS {
        let total = metric.name.ends_with("_total");
        assert!(metric.name.starts_with("tinbank_"), "{}", metric.name);
        assert_eq!(total, metric.kind == Kind::Counter, "{}", metric.name);
    }
    assert!(METRICS.is_sorted_by_key(|metric| metric.name));
}

#[test]
fn unlisted_names_are_found_in_prometheus_text() {
    let text = "# HELP a b\ntinbank_online_request_seconds_bucket{le=\"1\"} 2\n\
                tinbank_configuration_offset 7\nstray_total{code=\"x\"} 1\n";

    let unlisted = catalog::unlisted(text);

    assert_eq!(unlisted, ["stray_total"]);
}

#[test]
fn unlisted_labels_are_found_in_prometheus_text() {
    let text = "tinbank_online_request_seconds_bucket{le=\"1\"} 2\n\
                tinbank_peer_asks_failed_total{phase=\"a\",reason=\"b\",customer=\"c\"} 1\n";

    let unlisted = catalog::unlisted_labels(text);

    assert_eq!(unlisted, ["tinbank_peer_asks_failed_total{customer}"]);
}

/// A label's values have to be few and fixed: none may name what comes with requests, jobs or customers.
#[test]
fn no_label_grows_with_the_traffic() {
    const GROWING: [&str; 9] = [
        "customer", "request", "job", "item", "key", "service", "shard", "upstream", "peer",
    ];
    for metric in METRICS {
        let growing: Vec<_> = metric
            .labels
            .iter()
            .filter(|label| GROWING.contains(label))
            .collect();
        assert!(growing.is_empty(), "{}: {growing:?}", metric.name);
    }
}

/// All source files of all crates.
fn sources() -> Vec<PathBuf> {
    let crates = entries(Path::new(CRATES));
    let mut open: Vec<PathBuf> = crates.into_iter().map(|path| path.join("src")).collect();
    let mut files = Vec::new();
    while let Some(path) = open.pop() {
        if path.is_dir() {
            open.extend(entries(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

fn entries(directory: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(directory).expect("a directory");
    entries
        .map(|entry| entry.expect("an entry").path())
        .collect()
}

/// Names of the metrics that a source file records. They are literals, so that they can be searched for.
fn names(path: &Path) -> Vec<String> {
    let text = fs::read_to_string(path).expect("a source file");
    let code: String = text
        .lines()
        .filter(|line| !line.trim_start().starts_with("//"))
        .flat_map(|line| [line, "\n"])
        .collect();
    let uses = MACROS
        .iter()
        .flat_map(|name| code.split(name).skip(1))
        .filter(|rest| !rest.starts_with("metric.name"));
    uses.map(|rest| {
        let literal = rest.trim_start().strip_prefix('"');
        let name = literal.and_then(|literal| literal.split('"').next());
        let shown = path.display();
        name.unwrap_or_else(|| panic!("{shown}: a metric's name is no literal"))
            .to_owned()
    })
    .collect()
}
