//! What the platform gives, as small trait objects. Another wire form of the platform is one new
//! adapter (`tinbank-platform` has the HTTP one, `tinbank-test-support` the one in memory).

pub mod hosts;
pub mod log;
pub mod upstream;
pub mod weights;
