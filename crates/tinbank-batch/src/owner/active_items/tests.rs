use std::time::Duration;

use super::*;

fn flow() -> Flow {
    Flow {
        customer: "moreton".to_owned(),
        service: "notes".to_owned(),
    }
}

fn loaded(now: Instant) -> ActiveItems {
    let mut active_items = ActiveItems::default();
    active_items.begin_load(1, 0, flow(), now);
    active_items.on_loaded(1, 0, [0, 1], now);
    active_items
}

#[test]
fn an_item_is_active_until_its_completion_is_read_back() {
    let now = Instant::now();
    let mut active_items = loaded(now);

    assert!(active_items.on_ended(1, 0, 0));
    assert!(!active_items.on_ended(1, 0, 0), "an item ended twice");
    assert_eq!(active_items.in_flight(), 2);
    active_items.on_read_back(1, 0, &[0]);
    assert_eq!(active_items.in_flight(), 1);
    active_items.on_ended(1, 0, 1);
    active_items.on_read_back(1, 0, &[1]);
    active_items.remove_finished(now);

    assert!(!active_items.contains(1, 0));
}

#[test]
fn a_chunk_with_nothing_to_run_stays_active_until_its_reload_time() {
    let now = Instant::now();
    let reload_at = now + Duration::from_secs(1);
    let mut active_items = ActiveItems::default();
    active_items.begin_load(1, 0, flow(), now);
    active_items.on_loaded(1, 0, [], reload_at);

    active_items.remove_finished(now);
    let before = active_items.contains(1, 0);
    active_items.remove_finished(reload_at);

    assert_eq!((before, active_items.contains(1, 0)), (true, false));
}

#[test]
fn a_job_that_becomes_active_during_a_drain_is_not_started() {
    let mut active_items = loaded(Instant::now());
    active_items.set_run_mode(RunMode::Drain);

    let run_mode = active_items.run_mode(2);

    assert_eq!(*run_mode.borrow(), RunMode::Drain);
}

#[test]
fn dropping_a_job_aborts_only_that_job() {
    let now = Instant::now();
    let mut active_items = loaded(now);
    active_items.begin_load(2, 0, flow(), now);
    active_items.on_loaded(2, 0, [7], now);
    let (first, second) = (active_items.run_mode(1), active_items.run_mode(2));

    active_items.drop_job(1);

    assert_eq!(
        (*first.borrow(), *second.borrow()),
        (RunMode::Abort, RunMode::Run)
    );
    assert_eq!(active_items.in_flight(), 1);
}
