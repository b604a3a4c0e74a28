//! docs/CAPACITY.md follows from docs/figures/slopes.json. `TINBANK_WRITE_DOCS=1 cargo test -p tinbank-load` writes its
//! tables anew.

use std::{collections::BTreeSet, env, fs, path::Path};

use tinbank_load::{
    capacity::{self, Figures},
    slopes::Fit,
};

const DOCS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs");

fn read(name: &str) -> String {
    fs::read_to_string(Path::new(DOCS).join(name)).expect("the file is there")
}

fn figures() -> Figures {
    Figures::parse(&read("figures/slopes.json")).expect("the figures can be read")
}

#[test]
fn the_tables_follow_from_the_figures() {
    let page = read("CAPACITY.md");
    let figures = figures();

    let tables = capacity::tables(&figures);
    let fresh = tables.iter().fold(page.clone(), |page, (name, table)| {
        capacity::splice(&page, name, table)
            .unwrap_or_else(|| panic!("the page has no part {name}"))
    });

    if env::var_os("TINBANK_WRITE_DOCS").is_some() {
        return fs::write(Path::new(DOCS).join("CAPACITY.md"), &fresh)
            .expect("the page is writable");
    }
    assert_eq!(page, fresh, "run it once with TINBANK_WRITE_DOCS=1");
}

#[test]
fn every_series_that_is_used_was_measured() {
    let figures = figures();

    let _ = capacity::tables(&figures);

    assert_eq!(figures.missing(), Vec::<String>::new());
    assert!(!figures.used().is_empty());
}

#[test]
fn every_series_that_the_page_names_was_measured() {
    let page = read("CAPACITY.md");
    let figures = figures();
    let measured: BTreeSet<&str> = figures
        .series()
        .iter()
        .map(|series| &*series.name)
        .collect();
    let series_column = |line: &str| line.split('|').nth(7).unwrap_or_default().to_owned();
    let rows = page
        .lines()
        .filter(|line| line.starts_with('|') && line.split('|').count() == 9);

    let columns: Vec<_> = rows.map(series_column).collect();
    let named: Vec<_> = columns
        .iter()
        .flat_map(|column| column.split('`').skip(1).step_by(2))
        .collect();

    assert!(!named.is_empty());
    let unknown: Vec<_> = named
        .into_iter()
        .filter(|name| !measured.contains(name))
        .collect();
    assert_eq!(unknown, Vec::<&str>::new());
}

#[test]
fn the_lines_fit_the_points() {
    for series in figures().series() {
        let fit = Fit::through(&series.points);
        let close = |a: f64, b: f64| (a - b).abs() <= 1e-6 * a.abs().max(b.abs()).max(1.0);
        assert!(
            series.points.len() >= 3,
            "{} has too few sizes",
            series.name
        );
        assert!(close(fit.slope, series.fit.slope), "{}", series.name);
        assert!(
            close(fit.intercept, series.fit.intercept),
            "{}",
            series.name
        );
    }
}

#[test]
fn a_figure_is_what_was_measured_or_on_the_line() {
    let json = r#"[{"name": "n", "x": "x", "y": "y", "points": [{"x": 1.0, "y": 2.5}, {"x": 2.0, "y": 4.0}, {"x": 3.0, "y": 6.0}],
        "fit": {"slope": 2.0, "intercept": 0.0, "r2": 1.0}}]"#;
    let figures = Figures::parse(json).expect("it is well formed");

    assert_eq!(figures.at("n", 1.0), 2.5);
    assert_eq!(figures.at("n", 10.0), 20.0);
    assert_eq!(figures.slope("n"), 2.0);
    assert!(figures.at("other", 1.0).is_nan());
    assert_eq!(figures.missing(), ["other"]);
}
