//! An item in hand, from when its chunk is loaded until its end is told to the owner.

use std::{sync::Arc, time::SystemTime};

use bytes::Bytes;
use tinbank_base::{id, record::work::Completion};
use tinbank_configuration::service::Service;
use tinbank_ledger::suspect::Policy;
use tokio::sync::{oneshot, watch};

/// Which item, and under which term of its shard's lease it is in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// The shard of its chunk.
    pub shard: id::Shard,
    /// The owner's term.
    pub epoch: id::Epoch,
    /// Its job.
    pub job: id::Job,
    /// Its chunk.
    pub chunk: id::Chunk,
    /// The item.
    pub item: id::Item,
}

/// What a customer's share is counted for: services have pools of their own.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Flow {
    /// Whose work it is.
    pub customer: id::Customer,
    /// For which service.
    pub service: id::Service,
}

/// The part of an answer that was received before a stream ended early.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    /// Text of the tokens.
    pub text: String,
    /// How many tokens.
    pub tokens: u32,
}

/// An item in hand.
#[derive(Clone, Debug)]
pub struct Task {
    /// Which item.
    pub key: Key,
    /// Whose share it draws on.
    pub flow: Flow,
    /// The customer's weight.
    pub weight: u32,
    /// How many items of the customer this process may send at once; `None`: any number.
    pub at_once: Option<u32>,
    /// What runs it.
    pub service: Arc<Service>,
    /// When its job is due.
    pub due: SystemTime,
    /// What is sent.
    pub body: Bytes,
    /// Hash of the start of its prompt, by [`tinbank_routing::prefix::of_body`].
    pub prefix: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// How many times it was sent and may have run.
    pub attempts: u16,
    /// How many of the attempts failed; giving way to online requests is no failure.
    pub failures: u16,
    /// How many of the failures were the loss of the upstream.
    pub losses: u16,
    /// How many tries in a row ended without an answer, those that did not run included.
    pub tries: u32,
    /// The request of its latest attempt.
    pub request: Option<id::Request>,
    /// Tokens received so far.
    pub kept: Kept,
    /// Whether the item is still to be run here.
    pub stop: watch::Receiver<Stop>,
}

/// Whether items of a job are still to be run by this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stop {
    /// They are.
    #[default]
    Go,
    /// Those that were sent are to be finished, the others are given up.
    Drain,
    /// None is: the job was cancelled, or the lease is gone.
    Now,
}

impl Task {
    /// Whether it is no longer to be sent.
    pub fn stopped(&self) -> bool {
        *self.stop.borrow() != Stop::Go
    }

    /// Whether it is suspected of taking upstreams down, and so is only sent where nothing else of ours is.
    pub fn suspect(&self) -> bool {
        self.losses >= Policy::default().alone_after
    }

    /// Whether it took so many upstreams down that it is given up.
    pub fn hopeless(&self) -> bool {
        self.losses >= Policy::default().give_up_after
    }
}

/// What the runner tells the owner. Each task ends with exactly one of `Ended` and `Returned`.
#[derive(Debug)]
pub enum Report {
    /// The item may not be repeated and is about to be sent: it has to be dispatched in the log first.
    Dispatch {
        /// Which item.
        key: Key,
        /// Whether it may be sent.
        reply: oneshot::Sender<Permit>,
    },
    /// The item has ended.
    Ended {
        /// Which item.
        key: Key,
        /// How.
        completion: Completion,
    },
    /// The item was given up here without an end.
    Returned {
        /// Which item.
        key: Key,
    },
}

/// Whether an item that may not be repeated may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Its dispatch was read back as the first.
    Send,
    /// It was not dispatched, and may be tried again later.
    Later,
    /// Another dispatch counts: it must not be sent here.
    Never,
}
