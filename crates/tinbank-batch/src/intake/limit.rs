//! Bounds of one job's body.

/// What one job may bring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest line, in bytes, without its line feed.
    pub line_bytes: usize,
    /// Longest `custom_id`, in bytes.
    pub custom_id_bytes: usize,
    /// Most items of a job.
    pub items: u32,
    /// Largest body, in bytes.
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
