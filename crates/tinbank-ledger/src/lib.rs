//! Folds a shard of work into leases, jobs, items and claims, with pure decisions about who owns and what runs.
