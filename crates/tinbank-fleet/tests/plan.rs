//! The planner against engines that obey, ignore, lag and leave.

use std::time::{Duration, Instant};

use smallvec::smallvec;
use tinbank_base::{
    id,
    platform::{upstream::Report, weights::Artifact},
};
use tinbank_fleet::{
    plan::{Action, Engine, Plan, REPEAT_AFTER, REPORT_VALID, STUCK_AFTER, Seen, Term},
    wanted::Wanted,
};
use yare::parameterized;

const POOL: &str = "notes";

#[test]
fn an_engine_that_holds_the_target_gets_no_order() {
    let now = Instant::now();
    let mut plan = Plan::default();

    let actions = plan.step(&wanted("2"), &[engine(1, &["2"], now)], term(now), now);

    assert_eq!(actions, []);
}

#[test]
fn the_new_version_is_loaded_beside_the_old_one_which_goes_last() {
    let now = Instant::now();
    let mut plan = Plan::default();
    let wanted = wanted("2");
    plan.step(&wanted, &[engine(1, &["1"], now)], term(now), now);
    plan.ticket(1, artifact("2"), 77);

    let beside = plan.step(&wanted, &[engine(1, &["1"], now)], term(now), now);
    let alone = plan.step(&wanted, &[engine(1, &["1", "2"], now)], term(now), now);

    assert_eq!(sent(&beside), [(1, vec![artifact("1"), artifact("2")])]);
    assert_eq!(sent(&alone), [(1, vec![artifact("2")])]);
}

#[test]
fn an_order_is_repeated_until_the_report_shows_it() {
    let now = Instant::now();
    let mut plan = Plan::default();
    let wanted = wanted("2");
    plan.step(&wanted, &[engine(1, &["1"], now)], term(now), now);
    plan.ticket(1, artifact("2"), 77);
    plan.step(&wanted, &[engine(1, &["1"], now)], term(now), now);
    let later = now + REPEAT_AFTER;

    let waiting = plan.step(&wanted, &[engine(1, &["1"], now)], term(now), now);
    let again = plan.step(&wanted, &[engine(1, &["1"], later)], term(now), later);

    assert_eq!(sent(&waiting), []);
    assert_eq!(sent(&again), [(1, vec![artifact("1"), artifact("2")])]);
}

#[test]
fn a_stale_order_that_an_engine_obeyed_is_overwritten() {
    let now = Instant::now();
    let mut plan = Plan::default();
    let target = engine(1, &["2"], now);
    plan.step(&wanted("2"), &[target], term(now), now);

    let asked = plan.step(&wanted("2"), &[engine(1, &["1"], now)], term(now), now);

    assert_eq!(
        asked,
        [Action::Ask {
            upstream: 1,
            artifact: artifact("2")
        }]
    );
}

#[parameterized(
    one_of_four = { 4, 1 },
    one_of_eight = { 8, 1 },
    two_of_twenty = { 20, 2 },
    seventy_five_of_six_hundred = { 600, 75 },
)]
fn only_a_few_engines_of_a_serving_pool_load_at_a_time(engines: u32, expected: usize) {
    let now = Instant::now();
    let mut plan = Plan::default();
    let fleet: Vec<_> = (0..engines)
        .map(|upstream| engine(upstream, &["1"], now))
        .collect();

    let actions = plan.step(&wanted("2"), &fleet, term(now), now);

    assert_eq!(actions.len(), expected);
}

#[test]
fn a_pool_that_serves_nothing_loads_everywhere() {
    let now = Instant::now();
    let mut plan = Plan::default();
    let fleet: Vec<_> = (0..8).map(|upstream| engine(upstream, &[], now)).collect();

    let actions = plan.step(&wanted("2"), &fleet, term(now), now);

    assert_eq!(actions.len(), 8);
}

#[test]
fn an_engine_that_never_obeys_does_not_keep_the_others_from_loading() {
    let start = Instant::now();
    let mut plan = Plan::default();
    let wanted = wanted("2");
    let fleet = |at| [engine(1, &["1"], at), engine(2, &["1"], at)];
    plan.step(&wanted, &fleet(start), term(start), start);
    plan.ticket(1, artifact("2"), 77);

    let rounds = (0..=STUCK_AFTER).map(|round| start + REPEAT_AFTER * round);
    let last = rounds.fold(Vec::new(), |_, now| {
        plan.step(&wanted, &fleet(now), term(now), now)
    });

    let asks_for_the_other = Action::Ask {
        upstream: 2,
        artifact: artifact("2"),
    };
    assert!(last.contains(&asks_for_the_other), "{last:?}");
}

#[test]
fn a_refusal_of_the_weight_store_pauses_all_asking() {
    let now = Instant::now();
    let mut plan = Plan::default();
    let fleet = [engine(1, &[], now), engine(2, &[], now)];
    plan.step(&wanted("2"), &fleet, term(now), now);
    let retry_at = now + Duration::from_secs(3);
    plan.refused(1, &artifact("2"), retry_at);

    let before = plan.step(&wanted("2"), &fleet, term(now), now);
    let after = plan.step(&wanted("2"), &fleet, term(now), retry_at);

    assert_eq!(before, []);
    assert_eq!(
        after,
        [Action::Ask {
            upstream: 1,
            artifact: artifact("2")
        }]
    );
}

#[test]
fn nothing_is_sent_after_the_term_has_to_stop() {
    let now = Instant::now();
    let mut plan = Plan::default();
    let term = term(now);

    let actions = plan.step(&wanted("2"), &[engine(1, &["1"], now)], term, term.stop_at);

    assert_eq!(actions, []);
}

#[test]
fn an_old_report_is_not_acted_on() {
    let now = Instant::now();
    let mut plan = Plan::default();
    let later = now + REPORT_VALID;

    let actions = plan.step(&wanted("2"), &[engine(1, &["1"], now)], term(now), later);

    assert_eq!(actions, []);
}

#[test]
fn a_leaving_engine_gets_no_order() {
    let now = Instant::now();
    let mut plan = Plan::default();
    let leaving = Engine {
        leaving: true,
        ..engine(1, &["1"], now)
    };

    let actions = plan.step(&wanted("2"), &[leaving], term(now), now);

    assert_eq!(actions, []);
}

fn wanted(version: &str) -> Wanted {
    let mut wanted = Wanted::default();
    wanted.add(POOL, &artifact(version));
    wanted
}

fn artifact(version: &str) -> Artifact {
    Artifact {
        model: "hydro".into(),
        version: version.into(),
        adapter: None,
    }
}

fn engine(upstream: id::Upstream, versions: &[&str], at: Instant) -> Engine {
    let loaded = versions.iter().map(|version| artifact(version)).collect();
    Engine {
        upstream,
        pools: smallvec![POOL.to_owned()],
        leaving: false,
        report: Some(Seen {
            report: Report {
                loaded,
                ..Report::default()
            },
            at,
        }),
    }
}

fn term(now: Instant) -> Term {
    Term {
        fence: 9,
        stop_at: now + Duration::from_secs(60),
    }
}

fn sent(actions: &[Action]) -> Vec<(id::Upstream, Vec<Artifact>)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Send {
                upstream, order, ..
            } => Some((*upstream, order.loaded.to_vec())),
            Action::Ask { .. } => None,
        })
        .collect()
}
