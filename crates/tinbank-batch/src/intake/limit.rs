//! Limits on the body of one job.

/// Limits on the body of one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum line length in bytes, excluding the line feed.
    pub line_bytes: usize,
    /// Maximum length of a `custom_id` in bytes.
    pub custom_id_bytes: usize,
    /// Maximum number of items.
    pub items: u32,
    /// Maximum size of the body in bytes.
    pub body_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            line_bytes: 256 << 10,
            custom_id_bytes: 256,
            items: 1_000_000,
            body_bytes: 4 << 30,
        }
    }
}
