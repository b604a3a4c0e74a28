//! Tests of the fold of a work shard. `world` is a small log with hosts that crash, lag and write twice;
//! `model` is the naive fold that they are checked against.

mod arbitrary;
mod claim_world;
mod claims;
mod fixture;
mod fold;
mod interleaving;
mod lease;
mod model;
mod placement;
mod recovery;
mod soft;
mod world;
