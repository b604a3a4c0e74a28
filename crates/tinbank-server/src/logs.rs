//! Logs: one logfmt line an event, on stderr.

use jiff::tz::TimeZone;
use logforth::{
    Diagnostic, Error, Layout, append, bridge::log::LogBridge, core, layout::LogfmtLayout,
    record::Record,
};

/// Starts logging at level `info`. Safe to call again: the first call counts.
pub fn start() {
    start_at(log::LevelFilter::Info);
}

/// Starts logging at a level. Safe to call again: the first call counts.
pub fn start_at(level: log::LevelFilter) {
    let stderr = append::Stderr::default().with_layout(Line::default());
    let logger = core::builder().dispatch(|dispatch| dispatch.append(stderr));
    let bridge = LogBridge::new(logger.build());
    if log::set_boxed_logger(Box::new(bridge)).is_ok() {
        log::set_max_level(level);
    }
}

/// The logfmt layout in UTC, kept to one line an event: the library quotes values with spaces, but lets the line
/// breaks of others pass.
#[derive(Debug)]
pub struct Line(LogfmtLayout);

impl Default for Line {
    fn default() -> Self {
        Self(LogfmtLayout::default().timezone(TimeZone::UTC))
    }
}

impl Layout for Line {
    fn format(
        &self,
        record: &Record,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<Vec<u8>, Error> {
        let line = self.0.format(record, diagnostics)?;
        if !line.iter().any(u8::is_ascii_control) {
            return Ok(line);
        }
        let text = String::from_utf8_lossy(&line);
        Ok(text
            .chars()
            .flat_map(escape)
            .collect::<String>()
            .into_bytes())
    }
}

fn escape(char: char) -> Vec<char> {
    match char.is_control() {
        true => char.escape_default().collect(),
        false => vec![char],
    }
}

/// The level of a name from the settings; an unknown name means `info`.
pub fn level(name: &str) -> log::LevelFilter {
    name.parse().unwrap_or(log::LevelFilter::Info)
}

/// A drain that forwards what dropshot says from `warning` on to `log`.
#[derive(Debug)]
struct Forward;

impl slog::Drain for Forward {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        let level = match record.level() {
            slog::Level::Critical | slog::Level::Error => log::Level::Error,
            slog::Level::Warning => log::Level::Warn,
            _ => return Ok(()),
        };
        log::log!(target: "dropshot", level, "{}", record.msg());
        Ok(())
    }
}

/// The logger that dropshot asks for.
pub fn dropshot() -> slog::Logger {
    slog::Logger::root(Forward, slog::o!())
}
