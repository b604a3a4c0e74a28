//! Sends and receives authenticated frames between processes, as UDP datagrams and TCP requests.
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
