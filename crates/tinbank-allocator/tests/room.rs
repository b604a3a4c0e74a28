//! Reports of free slots, and the choice of the failure domain that follows from them.

#[allow(dead_code, reason = "each test file uses its part")]
mod harness;

use std::time::{Duration, Instant};

use harness::{Harness, SLOTS, batch};
use tinbank_allocator::{
    frame::{Queue, Room, ServiceRoom},
    home,
    lease::Class,
    room::{REPORT_LIFETIME, Rooms},
};
use yare::parameterized;

const SERVICE: &str = "notes";
const MILLISECOND: Duration = Duration::from_millis(1);

fn room(free: u32, waiting: u32) -> Room {
    let service = ServiceRoom {
        service: SERVICE.to_owned(),
        free,
        free_for_batch: free / 2,
        waiting,
    };
    Room {
        services: [service].into_iter().collect(),
    }
}

fn rooms(reports: &[(&str, Room)], now: Instant) -> Rooms {
    let mut rooms = Rooms::default();
    for (domain, room) in reports {
        rooms.record(domain, room.clone(), now);
    }
    rooms
}

fn available(rooms: &Rooms, class: Class, now: Instant) -> Option<u32> {
    rooms.available("south", SERVICE, class, now)
}

fn order(rooms: &Rooms, draw: u64, now: Instant) -> Vec<String> {
    let others = ["south".to_owned(), "west".to_owned()];
    home::order_others(&others, rooms, SERVICE, Class::Online, draw, now).into_vec()
}

#[test]
fn an_allocator_reports_free_slots_and_waiting_requests() {
    let mut harness = Harness::reporting_room(2);
    harness.request(0, batch(9), Queue::No);
    for _ in 0..SLOTS {
        harness.request(1, Class::Online, Queue::No);
    }
    harness.now += 20 * MILLISECOND;

    harness.send_heartbeat(0);

    let expected = ServiceRoom {
        service: SERVICE.to_owned(),
        free: SLOTS as u32,
        free_for_batch: (SLOTS - 1 - 2) as u32,
        waiting: 0,
    };
    assert_eq!(harness.reported.unwrap().services.to_vec(), [expected]);
}

/// An allocator that does not know all leases would report slots as free that are in use.
#[test]
fn a_learning_allocator_reports_no_room() {
    let mut harness = Harness::reporting_room(2);
    harness.now += Duration::from_secs(10);

    harness.send_heartbeat(0);

    assert_eq!(harness.reported, None);
}

#[test]
fn no_room_is_reported_without_the_setting() {
    let mut harness = Harness::after_learning(2);

    harness.send_heartbeat(0);

    assert_eq!(harness.reported, None);
    assert_eq!(harness.allocator.room(harness.now), None);
}

/// Counting all slots for each of a burst of denials would take the allocator's processor time.
#[test]
fn room_is_not_counted_anew_for_each_datagram() {
    let mut harness = Harness::reporting_room(1);
    harness.send_heartbeat(0);
    let before = harness.reported.clone();
    harness.request(0, Class::Online, Queue::No);

    harness.send_heartbeat(0);
    let same = harness.reported.clone();
    harness.now += 20 * MILLISECOND;
    harness.send_heartbeat(0);

    assert_eq!(same, before);
    assert_ne!(harness.reported, before);
    assert!(harness.reported.is_some());
}

#[test]
fn what_this_host_sent_since_the_report_and_what_waits_is_not_free() {
    let now = Instant::now();
    let mut rooms = rooms(&[("south", room(8, 2))], now);

    rooms.record_sent("south", SERVICE, now + MILLISECOND);

    assert_eq!(available(&rooms, Class::Online, now), Some(5));
    assert_eq!(available(&rooms, batch(1), now), Some(1));
}

/// A report that was passed on by a third host may arrive after a newer one, or after this host has sent more.
#[test]
fn a_report_counts_from_when_it_was_made() {
    let now = Instant::now();
    let mut rooms = rooms(&[("south", room(8, 0))], now);
    rooms.record_sent("south", SERVICE, now + MILLISECOND);
    rooms.record_sent("south", SERVICE, now + 3 * MILLISECOND);

    rooms.record("south", room(6, 0), now + 2 * MILLISECOND);
    rooms.record("south", room(8, 0), now + MILLISECOND);

    assert_eq!(available(&rooms, Class::Online, now), Some(5));
}

#[test]
fn a_denial_takes_all_room_until_the_next_report() {
    let now = Instant::now();
    let mut rooms = rooms(&[("south", room(8, 0))], now);

    rooms.record_denied("south", SERVICE, batch(1));
    let after_batch = available(&rooms, Class::Online, now);
    rooms.record_denied("south", SERVICE, Class::Online);
    let after_online = available(&rooms, Class::Online, now);
    rooms.record("south", room(1, 0), now + MILLISECOND);

    assert_eq!((after_batch, after_online), (Some(8), Some(0)));
    assert_eq!(available(&rooms, Class::Online, now), Some(1));
}

#[parameterized(
    recent = { REPORT_LIFETIME - MILLISECOND, Some(8) },
    old = { REPORT_LIFETIME, None },
)]
fn an_old_report_does_not_count(age: Duration, expected: Option<u32>) {
    let now = Instant::now();
    let rooms = rooms(&[("south", room(8, 0))], now);

    assert_eq!(available(&rooms, Class::Online, now + age), expected);
    assert_eq!(rooms.recent(now + age).count(), expected.iter().count());
}

/// If all hosts chose the failure domain with the most room, they would fill it at once.
#[test]
fn failure_domains_are_chosen_in_proportion_to_their_room() {
    let now = Instant::now();
    let rooms = rooms(&[("south", room(6, 0)), ("west", room(2, 0))], now);

    let chosen: Vec<_> = (0..8).map(|draw| order(&rooms, draw, now)).collect();

    let south = chosen.iter().filter(|it| **it == ["south"]);
    let west = chosen.iter().filter(|it| **it == ["west"]);
    assert_eq!((south.count(), west.count()), (6, 2));
}

#[parameterized(
    none_has_room = { &[("south", room(0, 0)), ("west", room(3, 4))], &[] },
    reports_are_missing = { &[], &["south", "west"] },
    one_report_is_missing = { &[("west", room(3, 0))], &["west", "south"] },
    the_other_has_no_room = { &[("south", room(0, 0))], &["west"] },
)]
fn a_failure_domain_is_asked_if_it_has_room_or_is_unknown(
    reports: &[(&str, Room)],
    expected: &[&str],
) {
    let now = Instant::now();

    assert_eq!(order(&rooms(reports, now), 5, now), expected);
}
