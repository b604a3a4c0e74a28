//! Puts the tables into the page.

use std::fmt::Write as _;

use super::{
    batch, control,
    figures::Figures,
    fleet, online,
    row::{HEAD, Row},
};

/// The generated parts of the page: marker and text.
pub fn tables(figures: &Figures) -> Vec<(&'static str, String)> {
    let parts = [
        ("control-bytes", control::bytes(figures)),
        ("control-time", control::time(figures)),
        ("control-memory", control::memory(figures)),
        ("configuration", control::configuration(figures)),
        ("online", online::rows(figures)),
        ("batch-owner", batch::owner(figures)),
        ("batch-admission", batch::admission(figures)),
        ("batch-intake", batch::intake(figures)),
        ("log", batch::log(figures)),
        ("fleet", fleet::rows(figures)),
    ];
    let mut tables: Vec<_> = parts
        .iter()
        .map(|(name, rows)| (*name, table(rows)))
        .collect();
    let all: Vec<&Row> = parts.iter().flat_map(|(_, rows)| rows).collect();
    tables.push(("failing", failing(&all)));
    tables.push(("slopes", slopes(figures)));
    tables
}

/// Replaces the part of a page between `<!-- NAME -->` and `<!-- end -->`; `None` if the page has no such part.
pub fn splice(page: &str, name: &str, generated: &str) -> Option<String> {
    tinbank_settings::document::splice(page, name, generated)
}

fn table(rows: &[Row]) -> String {
    let lines: Vec<_> = rows.iter().map(|row| row.line() + "\n").collect();
    format!("{HEAD}{}", lines.concat())
}

fn failing(rows: &[&Row]) -> String {
    let failing: Vec<_> = rows.iter().filter(|row| !row.holds()).collect();
    if failing.is_empty() {
        return "None.\n".to_owned();
    }
    let names = failing
        .iter()
        .map(|row| format!("- {} ({})\n", row.what.trim_matches('*'), row.unit));
    names.collect::<Vec<_>>().concat()
}

fn slopes(figures: &Figures) -> String {
    let mut text = String::from(
        "| series | per | cost | slope | at none | r² | points |\n| --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for series in figures.series() {
        let points: Vec<_> = series
            .points
            .iter()
            .map(|point| format!("{}: {:.1}", point.x, point.y))
            .collect();
        let fit = series.fit;
        // Writing to a text can't fail.
        let _ = writeln!(
            text,
            "| `{}` | {} | {} | {:.4} | {:.1} | {:.3} | {} |",
            series.name,
            series.x,
            series.y,
            fit.slope,
            fit.intercept,
            fit.r2,
            points.join("; ")
        );
    }
    text
}
