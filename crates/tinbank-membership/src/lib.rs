//! Heartbeats, suspicion, leaving and the merge with the platform's host list.
