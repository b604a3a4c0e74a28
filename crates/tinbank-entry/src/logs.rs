//! Logs: one line of key=value pairs an event, on standard output, bounded and never blocking.

mod line;
mod output;
mod rate;

use logforth::{bridge::log::LogBridge, core};

#[cfg(test)]
mod tests;

pub use output::Flush;

/// Starts logging. Safe to call again: the first call counts. What it returns writes out what waits when it is dropped.
pub fn start() -> Flush {
    let (output, flush) = output::open(std::io::stdout());
    let logger = core::builder().dispatch(|dispatch| dispatch.append(output));
    let bridge = LogBridge::new(logger.build());
    if log::set_boxed_logger(Box::new(bridge)).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
    flush
}
