//! Logging to standard output: one line of key=value pairs per event, rate-limited and non-blocking.

mod line;
mod output;
mod rate;

use logforth::{bridge::log::LogBridge, core};

#[cfg(test)]
mod tests;

pub use output::Flush;

/// Installs the logger, unless one is installed already. The returned guard writes pending lines when it is dropped.
pub fn start() -> Flush {
    let (output, flush) = output::open(std::io::stdout());
    let logger = core::builder().dispatch(|dispatch| dispatch.append(output));
    let bridge = LogBridge::new(logger.build());
    if log::set_boxed_logger(Box::new(bridge)).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
    flush
}
