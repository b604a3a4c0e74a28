//! Where a request goes that finds no free slot in the failure domain of its host.

use std::time::Instant;

use smallvec::SmallVec;
use tinbank_base::id;

use crate::{lease::Class, room::Rooms};

/// Failure domains, in the order in which they are sent slot requests.
pub type Domains = SmallVec<[id::FailureDomain; 4]>;

/// Returns which of the other failure domains are asked for a free slot, in order: one with room, chosen at random in
/// proportion to its room, then those without a recent report as they stand in `others`. One that has reported no room is
/// not asked.
///
/// If all hosts chose the failure domain with the most room, they would fill it at once and be denied there until its next
/// report. `draw` is a random number.
pub fn order_others(
    others: &[id::FailureDomain],
    rooms: &Rooms,
    service: &str,
    class: Class,
    draw: u64,
    now: Instant,
) -> Domains {
    let room = |domain: &str| rooms.available(domain, service, class, now);
    let known = others.iter().filter_map(|it| Some((it, room(it)?)));
    let known: SmallVec<[(&id::FailureDomain, u32); 4]> = known.collect();
    let unknown = others.iter().filter(|it| room(it).is_none());
    let chosen = choose(&known, draw);
    chosen.into_iter().chain(unknown).cloned().collect()
}

fn choose<'a>(known: &[(&'a id::FailureDomain, u32)], draw: u64) -> Option<&'a id::FailureDomain> {
    let total: u64 = known.iter().map(|(_, room)| u64::from(*room)).sum();
    let mut left = draw.checked_rem(total)?;
    for (domain, room) in known {
        if left < u64::from(*room) {
            return Some(domain);
        }
        left -= u64::from(*room);
    }
    None
}
