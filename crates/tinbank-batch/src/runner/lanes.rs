//! Which upstreams take an item that is suspected of taking them down. Pure.
//!
//! A suspect is sent where nothing else of this process is, and nothing joins it there, so that its neighbours don't
//! suffer and a further loss is surely its own.

use std::collections::HashMap;

use tinbank_base::id;

/// What this process has in each upstream.
#[derive(Debug, Default)]
pub struct Lanes(HashMap<id::Upstream, Lane>);

#[derive(Debug, Default)]
struct Lane {
    running: u32,
    /// A suspect is there, or waits for the lane to empty.
    reserved: bool,
}

impl Lanes {
    /// Whether an item may go there now.
    pub fn open(&self, upstream: id::Upstream, suspect: bool) -> bool {
        match self.0.get(&upstream) {
            None => true,
            Some(lane) if suspect => lane.running == 0,
            Some(lane) => !lane.reserved,
        }
    }

    /// Keeps further items out of the least busy of these upstreams, so that it empties for a suspect.
    pub fn reserve(&mut self, among: &[id::Upstream]) {
        let reserved = |upstream: &&id::Upstream| {
            let lane = self.0.get(*upstream);
            lane.is_some_and(|lane| lane.reserved)
        };
        if among.iter().any(|upstream| reserved(&upstream)) {
            return;
        }
        let running = |upstream: &&id::Upstream| self.running(**upstream);
        if let Some(upstream) = among.iter().min_by_key(running) {
            self.0.entry(*upstream).or_default().reserved = true;
        }
    }

    /// An item was sent there.
    pub fn enter(&mut self, upstream: id::Upstream, suspect: bool) {
        let lane = self.0.entry(upstream).or_default();
        lane.running += 1;
        lane.reserved = suspect;
    }

    /// An item that was sent there is back.
    pub fn leave(&mut self, upstream: id::Upstream, suspect: bool) {
        let Some(lane) = self.0.get_mut(&upstream) else {
            return;
        };
        lane.running = lane.running.saturating_sub(1);
        if suspect {
            lane.reserved = false;
        }
        if lane.running == 0 && !lane.reserved {
            self.0.remove(&upstream);
        }
    }

    /// Lifts all reservations of suspects that have not come yet; called when no suspect waits.
    pub fn lift(&mut self) {
        self.0.retain(|_, lane| lane.running > 0 || !lane.reserved);
    }

    /// How many items of this process are there.
    pub fn running(&self, upstream: id::Upstream) -> u32 {
        self.0.get(&upstream).map_or(0, |lane| lane.running)
    }
}
