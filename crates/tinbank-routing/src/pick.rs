//! Choice among candidates: prefix affinity by rendezvous hashing, bounded by load. Free of I/O and state.
//!
//! See `docs/design/routing.md` for the alternatives.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;
use tinbank_base::id;

/// Largest number of in-flight requests of this process at an upstream, in per cent of the mean, up to which affinity
/// applies.
pub const LOAD_BOUND_PERCENT: u32 = 125;

/// Properties of an upstream that the choice depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub upstream: id::Upstream,
    /// Number of requests that this process has in flight there.
    pub own: u32,
    /// Number of requests of other processes there, from its last report.
    pub others: u32,
    /// Number of requests queued in it, from its last report.
    pub waiting: u32,
    /// Number of requests it runs concurrently; 0 if unknown.
    pub slots: u32,
    /// Whether it is in the failure domain of this process.
    pub near: bool,
    /// Whether it is known to have loaded the service's artifact.
    pub loaded: bool,
    /// Whether it is ejected and not due for a probe.
    pub ejected: bool,
}

impl Candidate {
    /// Returns whether another request is expected to be queued in it.
    pub fn is_full(&self) -> bool {
        let load = self.own.saturating_add(self.others);
        self.waiting > 0 || (self.slots > 0 && load >= self.slots)
    }
}

/// The chosen candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Index of the candidate.
    pub index: usize,
    /// Reason of the choice, for the timeline.
    pub reason: &'static str,
}

/// The preferred upstream of the prefix.
pub const AFFINITY: &str = "affinity";
/// The preferred upstream is full or above the load bound, so another one was chosen.
pub const BOUNDED: &str = "bounded";
/// No upstream in this failure domain has room.
pub const FAR: &str = "far";
/// No upstream has room, so the least loaded was chosen.
pub const LEAST_LOADED: &str = "least_loaded";
/// All upstreams are ejected.
pub const LAST_RESORT: &str = "last_resort";

/// Chooses among candidates. Returns `None` if there are none.
///
/// Uses the first nonempty tier: not ejected and known to be loaded, not ejected, all. Within a tier it prefers near
/// candidates with room in the rendezvous order of the prefix, then far ones with room, then the least loaded.
pub fn choose(candidates: &[Candidate], prefix: u64) -> Option<Pick> {
    let is_ready = |candidate: &Candidate| !candidate.ejected && candidate.loaded;
    let is_unknown = |candidate: &Candidate| !candidate.ejected && !candidate.loaded;
    let tier: Vec<usize> = [
        indexes(candidates, is_ready),
        indexes(candidates, is_unknown),
        indexes(candidates, |_| true),
    ]
    .into_iter()
    .find(|tier| !tier.is_empty())?;
    let near = filter_indexes(&tier, |index| candidates[index].near);
    let far = filter_indexes(&tier, |index| !candidates[index].near);
    let pick = preferred_with_room(candidates, &near, prefix)
        .or_else(|| preferred_with_room(candidates, &far, prefix).map(|pick| mark_far(pick, &near)))
        .or_else(|| least_loaded(candidates, &tier, prefix))?;
    if candidates[pick.index].ejected {
        return Some(Pick {
            reason: LAST_RESORT,
            ..pick
        });
    }
    Some(pick)
}

/// Returns the rendezvous weight of an upstream for a prefix. The largest wins.
pub fn weight(prefix: u64, upstream: id::Upstream) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(prefix);
    hasher.write_u32(upstream);
    hasher.finish()
}

fn indexes(candidates: &[Candidate], keep: impl Fn(&Candidate) -> bool) -> Vec<usize> {
    (0..candidates.len())
        .filter(|index| keep(&candidates[*index]))
        .collect()
}

fn filter_indexes(tier: &[usize], keep: impl Fn(usize) -> bool) -> Vec<usize> {
    tier.iter().copied().filter(|index| keep(*index)).collect()
}

fn mark_far(pick: Pick, near: &[usize]) -> Pick {
    let reason = if near.is_empty() { pick.reason } else { FAR };
    Pick { reason, ..pick }
}

/// Picks the candidate with the largest weight among those that are neither full nor at the load bound.
fn preferred_with_room(candidates: &[Candidate], group: &[usize], prefix: u64) -> Option<Pick> {
    let preferred = max_weight(candidates, group.iter().copied(), prefix)?;
    let bound = bound(candidates, group);
    let available = group.iter().copied().filter(|index| {
        let candidate = &candidates[*index];
        !candidate.is_full() && candidate.own < bound
    });
    let index = max_weight(candidates, available, prefix)?;
    let reason = if index == preferred {
        AFFINITY
    } else {
        BOUNDED
    };
    Some(Pick { index, reason })
}

/// Returns the bound on this process's in-flight requests at one upstream, including the new one:
/// [`LOAD_BOUND_PERCENT`] of the mean, rounded up.
fn bound(candidates: &[Candidate], group: &[usize]) -> u32 {
    let own: u64 = group
        .iter()
        .map(|index| u64::from(candidates[*index].own))
        .sum();
    let members = group.len().max(1) as u64;
    let scaled = (own + 1) * u64::from(LOAD_BOUND_PERCENT);
    u32::try_from(scaled.div_ceil(members * 100)).unwrap_or(u32::MAX)
}

/// Picks the least loaded candidate: by own counts, which are exact, then by reports, which lag, then by rendezvous
/// order.
fn least_loaded(candidates: &[Candidate], group: &[usize], prefix: u64) -> Option<Pick> {
    let index = group.iter().copied().min_by_key(|index| {
        let candidate = &candidates[*index];
        let slots = u64::from(candidate.slots.max(1));
        let own = u64::from(candidate.own) * 1_000 / slots;
        let others = u64::from(candidate.others.saturating_add(candidate.waiting)) * 1_000 / slots;
        let rank = u64::MAX - weight(prefix, candidate.upstream);
        (own, others, !candidate.near, rank, candidate.upstream)
    })?;
    Some(Pick {
        index,
        reason: LEAST_LOADED,
    })
}

fn max_weight(
    candidates: &[Candidate],
    group: impl Iterator<Item = usize>,
    prefix: u64,
) -> Option<usize> {
    group.max_by_key(|index| {
        let upstream = candidates[*index].upstream;
        (weight(prefix, upstream), upstream)
    })
}
