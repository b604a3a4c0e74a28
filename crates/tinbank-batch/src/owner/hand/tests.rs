use std::time::Duration;

use super::*;

fn flow() -> Flow {
    Flow {
        customer: "moreton".to_owned(),
        service: "notes".to_owned(),
    }
}

fn loaded(now: Instant) -> Hand {
    let mut hand = Hand::default();
    hand.begin(1, 0, flow(), now);
    hand.run(1, 0, [0, 1], now);
    hand
}

#[test]
fn an_item_is_in_hand_until_its_end_is_read_back() {
    let now = Instant::now();
    let mut hand = loaded(now);

    assert!(hand.end(1, 0, 0));
    assert!(!hand.end(1, 0, 0), "an item ended twice");
    assert_eq!(hand.in_flight(), 2);
    hand.read_back(1, 0, &[0]);
    assert_eq!(hand.in_flight(), 1);
    hand.end(1, 0, 1);
    hand.read_back(1, 0, &[1]);
    hand.tidy(now);

    assert!(!hand.holds(1, 0));
}

#[test]
fn a_chunk_that_has_nothing_to_run_rests() {
    let now = Instant::now();
    let rest = now + Duration::from_secs(1);
    let mut hand = Hand::default();
    hand.begin(1, 0, flow(), now);
    hand.run(1, 0, [], rest);

    hand.tidy(now);
    let before = hand.holds(1, 0);
    hand.tidy(rest);

    assert_eq!((before, hand.holds(1, 0)), (true, false));
}

#[test]
fn a_job_that_comes_in_hand_during_a_drain_is_not_started() {
    let mut hand = loaded(Instant::now());
    hand.set(RunMode::Drain);

    let stop = hand.stop(2);

    assert_eq!(*stop.borrow(), RunMode::Drain);
}

#[test]
fn a_cancelled_job_stops_and_its_neighbour_goes_on() {
    let now = Instant::now();
    let mut hand = loaded(now);
    hand.begin(2, 0, flow(), now);
    hand.run(2, 0, [7], now);
    let (first, second) = (hand.stop(1), hand.stop(2));

    hand.drop_job(1);

    assert_eq!((*first.borrow(), *second.borrow()), (RunMode::Abort, RunMode::Run));
    assert_eq!(hand.in_flight(), 1);
}
