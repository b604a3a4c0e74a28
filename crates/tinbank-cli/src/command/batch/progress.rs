//! Progress for people who watch.

use indicatif::{ProgressBar, ProgressStyle};

const UPLOAD: &str = "sending {bytes} of {total_bytes} {wide_bar} {bytes_per_sec}";
const ITEMS: &str = "{msg} {pos} of {len} items {wide_bar} {eta}";

/// How far the sending of a job is.
pub(super) fn upload(terminal: bool) -> ProgressBar {
    bar(terminal, UPLOAD)
}

/// How far a job is.
pub(super) fn items(terminal: bool) -> ProgressBar {
    bar(terminal, ITEMS)
}

fn bar(terminal: bool, template: &str) -> ProgressBar {
    if !terminal {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(0);
    match ProgressStyle::with_template(template) {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}
