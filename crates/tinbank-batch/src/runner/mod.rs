//! Runs items: shares capacity between customers, sends to engines, retries, and hands ends to the owner.

pub mod share;
