//! Runs requests against scripted upstreams and peers, under virtual time.

mod chat;
mod claimed;
mod fixture;
mod limits;
mod plain;
mod storm;
