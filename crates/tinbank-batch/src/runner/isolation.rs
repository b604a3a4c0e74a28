//! Isolates items that are suspected of crashing upstreams. Pure.
//!
//! A suspect is sent to an upstream that runs no other item of this process, and no other item joins it, so that a
//! crash affects no other items and is certainly caused by the suspect.

use std::collections::HashMap;

use tinbank_base::id;

/// The load of this process in each upstream.
#[derive(Debug, Default)]
pub struct SuspectIsolation(HashMap<id::Upstream, UpstreamState>);

#[derive(Debug, Default)]
struct UpstreamState {
    running: u32,
    /// Whether a suspect runs in the upstream or waits for it to become empty.
    reserved: bool,
}

impl SuspectIsolation {
    /// Returns whether an item may be sent to the upstream now.
    pub fn admits(&self, upstream: id::Upstream, suspect: bool) -> bool {
        match self.0.get(&upstream) {
            None => true,
            Some(state) if suspect => state.running == 0,
            Some(state) => !state.reserved,
        }
    }

    /// Reserves the least busy of the upstreams for a suspect, so that it receives no further items. Does nothing if one of
    /// them is reserved already.
    pub fn reserve(&mut self, among: &[id::Upstream]) {
        let reserved = |upstream: &&id::Upstream| {
            let state = self.0.get(*upstream);
            state.is_some_and(|state| state.reserved)
        };
        if among.iter().any(|upstream| reserved(&upstream)) {
            return;
        }
        let running = |upstream: &&id::Upstream| self.running(**upstream);
        if let Some(upstream) = among.iter().min_by_key(running) {
            self.0.entry(*upstream).or_default().reserved = true;
        }
    }

    /// Records that an item was sent to the upstream.
    pub fn on_sent(&mut self, upstream: id::Upstream, suspect: bool) {
        let state = self.0.entry(upstream).or_default();
        state.running += 1;
        state.reserved = suspect;
    }

    /// Records that an item sent to the upstream has ended.
    pub fn on_returned(&mut self, upstream: id::Upstream, suspect: bool) {
        let Some(state) = self.0.get_mut(&upstream) else {
            return;
        };
        state.running = state.running.saturating_sub(1);
        if suspect {
            state.reserved = false;
        }
        if state.running == 0 && !state.reserved {
            self.0.remove(&upstream);
        }
    }

    /// Clears the reservations of idle upstreams. Called when no suspect waits.
    pub fn clear_reservations(&mut self) {
        self.0
            .retain(|_, state| state.running > 0 || !state.reserved);
    }

    /// Returns the number of items of this process in the upstream.
    pub fn running(&self, upstream: id::Upstream) -> u32 {
        self.0.get(&upstream).map_or(0, |state| state.running)
    }
}
