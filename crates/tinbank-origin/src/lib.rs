//! Remembers which build of an upstream began a stream, so that the stream only goes on at that build. Does no I/O.
//!
//! Upstreams of several software versions may serve one service side by side, and what two of them write does not fit together.

pub mod origin;

pub use origin::Origin;
