//! Logs: one logfmt line an event, on standard output.

use logforth::{append, bridge::log::LogBridge, core, layout::LogfmtLayout};

/// Starts logging.
pub fn start() {
    let stdout = append::Stdout::default().with_layout(LogfmtLayout::default());
    let logger = core::builder().dispatch(|dispatch| dispatch.append(stdout));
    let bridge = LogBridge::new(logger.build());
    if log::set_boxed_logger(Box::new(bridge)).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
}
