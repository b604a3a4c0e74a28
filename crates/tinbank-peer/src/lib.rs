//! Moves frames between processes: UDP datagrams and TCP requests, each with a keyed MAC.
//!
//! See `docs/design/peers.md`.

mod clock;
mod endpoint;
mod receive;
mod replay;
mod stream;

pub use clock::Clock;
pub use endpoint::{Endpoint, Error, ReceivedHeartbeat, Settings};
pub use replay::Window;
