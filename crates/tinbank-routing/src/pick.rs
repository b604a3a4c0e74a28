//! The choice itself: prefix affinity by rendezvous hashing, bounded by load. Pure.
//!
//! See `docs/design/routing.md` for the ways that were weighed.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;
use tinbank_base::id;

/// How far above the mean an upstream's own in-flight count may rise before affinity yields, in per cent.
pub const BOUND_PERCENT: u32 = 125;

/// An upstream as the choice sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Which upstream.
    pub upstream: id::Upstream,
    /// Requests that this process has in flight there.
    pub own: u32,
    /// Requests of others there, by its last report.
    pub others: u32,
    /// Requests that waited inside it, by its last report.
    pub waiting: u32,
    /// Requests that it runs at once; 0 when not known.
    pub slots: u32,
    /// Whether it stands in our failure domain.
    pub near: bool,
    /// Whether it is known to have what the service needs; `false` when nothing is known yet.
    pub loaded: bool,
    /// Whether it is ejected and not yet due for a probe.
    pub ejected: bool,
}

impl Candidate {
    /// Whether another request would wait inside it, as far as we know.
    pub fn is_full(&self) -> bool {
        let load = self.own.saturating_add(self.others);
        self.waiting > 0 || (self.slots > 0 && load >= self.slots)
    }
}

/// What was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Index of the candidate.
    pub index: usize,
    /// Why, for the time line.
    pub reason: &'static str,
}

/// The first choice of the prefix.
pub const AFFINITY: &str = "affinity";
/// The prefix's first choice has too much to do.
pub const BOUNDED: &str = "bounded";
/// Nothing near has room.
pub const FAR: &str = "far";
/// Nothing has room: the least loaded.
pub const LEAST_LOADED: &str = "least_loaded";
/// All are ejected.
pub const LAST_RESORT: &str = "last_resort";

/// Chooses among candidates; `None` when there are none.
///
/// Tiers in order: not ejected and known to be loaded, not ejected, ejected. Within a tier: those near with room, in
/// the prefix's rendezvous order; those far with room; the least loaded of all.
pub fn choose(candidates: &[Candidate], prefix: u64) -> Option<Pick> {
    let sound = |candidate: &Candidate| !candidate.ejected && candidate.loaded;
    let unknown = |candidate: &Candidate| !candidate.ejected && !candidate.loaded;
    let tier: Vec<usize> = [
        indexes(candidates, sound),
        indexes(candidates, unknown),
        indexes(candidates, |_| true),
    ]
    .into_iter()
    .find(|tier| !tier.is_empty())?;
    let near = indexes_of(&tier, |index| candidates[index].near);
    let far = indexes_of(&tier, |index| !candidates[index].near);
    let pick = with_room(candidates, &near, prefix)
        .or_else(|| with_room(candidates, &far, prefix).map(|pick| far_pick(pick, &near)))
        .or_else(|| least_loaded(candidates, &tier, prefix))?;
    if candidates[pick.index].ejected {
        return Some(Pick {
            reason: LAST_RESORT,
            ..pick
        });
    }
    Some(pick)
}

/// Rendezvous weight of an upstream for a prefix: the largest wins.
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

fn indexes_of(tier: &[usize], keep: impl Fn(usize) -> bool) -> Vec<usize> {
    tier.iter().copied().filter(|index| keep(*index)).collect()
}

fn far_pick(pick: Pick, near: &[usize]) -> Pick {
    let reason = if near.is_empty() { pick.reason } else { FAR };
    Pick { reason, ..pick }
}

/// The largest weight among those that are neither full nor above the bound on own in-flight counts.
fn with_room(candidates: &[Candidate], group: &[usize], prefix: u64) -> Option<Pick> {
    let favourite = heaviest(candidates, group.iter().copied(), prefix)?;
    let bound = bound(candidates, group);
    let roomy = group.iter().copied().filter(|index| {
        let candidate = &candidates[*index];
        !candidate.is_full() && candidate.own < bound
    });
    let index = heaviest(candidates, roomy, prefix)?;
    let reason = if index == favourite {
        AFFINITY
    } else {
        BOUNDED
    };
    Some(Pick { index, reason })
}

/// Bound on the own in-flight count of one upstream, this request included: [`BOUND_PERCENT`] of the mean, rounded up.
fn bound(candidates: &[Candidate], group: &[usize]) -> u32 {
    let own: u64 = group
        .iter()
        .map(|index| u64::from(candidates[*index].own))
        .sum();
    let members = group.len().max(1) as u64;
    let scaled = (own + 1) * u64::from(BOUND_PERCENT);
    u32::try_from(scaled.div_ceil(members * 100)).unwrap_or(u32::MAX)
}

/// Own counts first, since they are exact; reports second, since they lag; the prefix's order last.
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

fn heaviest(
    candidates: &[Candidate],
    group: impl Iterator<Item = usize>,
    prefix: u64,
) -> Option<usize> {
    group.max_by_key(|index| {
        let upstream = candidates[*index].upstream;
        (weight(prefix, upstream), upstream)
    })
}
