//! Requests over TCP: length-prefixed sealed frames.
//!
//! Both sides draw a nonce per connection and every frame after the greeting carries both with a running number, so a
//! recorded frame is worth nothing on another connection or a second time on the same one.

pub(crate) mod client;
mod frame;
pub(crate) mod server;
