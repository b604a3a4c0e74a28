//! A gate that divides a fixed part of each engine's slots among the batch processes and never withdraws requests.
//!
//! Serves as the baseline for measuring credits, see `docs/measurements.md`.

use std::{sync::Arc, time::Instant};

use tinbank_admission::{Gate, Pass};
use tinbank_base::{id, peer::Directory};
use tinbank_membership::rendezvous::{self, Key};
use tinbank_process::hosts::Watch;

use super::concurrency_gate::ConcurrencyGate;

/// A gate with a static partition of slots.
#[derive(Debug)]
pub struct Partition {
    me: id::Process,
    directory: Arc<dyn Directory>,
    hosts: Watch,
    slots_for_online: u16,
    concurrency_gate: ConcurrencyGate,
}

impl Partition {
    /// Creates a gate that leaves `slots_for_online` slots of each engine to online requests.
    pub fn new(
        me: id::Process,
        directory: Arc<dyn Directory>,
        hosts: Watch,
        slots_for_online: u16,
    ) -> Self {
        Self {
            me,
            directory,
            hosts,
            slots_for_online,
            concurrency_gate: ConcurrencyGate::new(0),
        }
    }

    /// Returns this process's share of the engine's slots.
    fn local_slots(&self, upstream: id::Upstream) -> u32 {
        let members = self.directory.members();
        let ranked = rendezvous::rank(members.ready(id::Role::Batch), Key::Upstream(upstream));
        let rank = ranked
            .iter()
            .position(|member| member.writer.process == self.me);
        rank.map_or(0, |rank| {
            slots_for_rank(self.slots_for_batch(upstream), ranked.len(), rank)
        })
    }

    fn slots_for_batch(&self, upstream: id::Upstream) -> u32 {
        let list = self.hosts.borrow();
        let upstreams = list.iter().flat_map(|list| &list.upstreams);
        let slots = upstreams
            .filter(|known| known.upstream == upstream)
            .find_map(|known| known.slots);
        slots
            .unwrap_or_default()
            .saturating_sub(self.slots_for_online.into())
    }
}

/// Returns the slots of the process at `rank` when all slots are allocated in turn.
pub fn slots_for_rank(slots: u32, processes: usize, rank: usize) -> u32 {
    let (processes, rank) = (processes as u32, rank as u32);
    slots / processes + u32::from(rank < slots % processes)
}

impl Gate for Partition {
    fn enter(&self, upstream: id::Upstream, _customer: &str, _now: Instant) -> Option<Pass> {
        self.concurrency_gate
            .try_enter(upstream, self.local_slots(upstream))
    }

    fn request_credits(&self, _: id::Upstream, _: &str, _: u16, _: Instant, _: Instant) {}
}
