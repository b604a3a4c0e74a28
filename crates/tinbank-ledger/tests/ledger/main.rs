//! Tests of the state machine of a work shard. `world` simulates a log with hosts that crash, lag and append
//! duplicates; `model` is the reference implementation that it is checked against.

mod arbitrary;
mod claim_world;
mod claims;
mod fixture;
mod fold;
mod interleaving;
mod lease;
mod local_state;
mod model;
mod placement;
mod recovery;
mod world;
