//! Planning for engines that obey, ignore orders, report late and leave.

use std::time::{Duration, Instant};

use smallvec::smallvec;
use tinbank_base::{
    id,
    platform::{upstream::Report, weights::Artifact},
};
use tinbank_fleet::{
    desired::DesiredArtifacts,
    plan::{Action, Engine, Plan, REPEAT_AFTER, REPORT_VALID, ReceivedReport, STUCK_AFTER, Term},
};
use yare::parameterized;

const POOL: &str = "notes";

#[test]
fn an_engine_with_the_desired_artifacts_gets_no_order() {
    let now = Instant::now();
    let mut plan = Plan::default();

    let actions = plan.step(&desired("2"), &[engine(1, &["2"], now)], term(now), now);

    assert_eq!(actions, []);
}

#[test]
fn the_old_version_is_unloaded_after_the_new_one_is_loaded() {
    let now = Instant::now();
    let mut plan = Plan::default();
    let desired = desired("2");
    plan.step(&desired, &[engine(1, &["1"], now)], term(now), now);
    plan.on_ticket(1, artifact("2"), 77);

    let beside = plan.step(&desired, &[engine(1, &["1"], now)], term(now), now);
    let alone = plan.step(&desired, &[engine(1, &["1", "2"], now)], term(now), now);

    assert_eq!(sent(&beside), [(1, vec![artifact("1"), artifact("2")])]);
    assert_eq!(sent(&alone), [(1, vec![artifact("2")])]);
}

#[test]
fn an_order_without_effect_is_repeated() {
    let now = Instant::now();
    let mut plan = Plan::default();
    let desired = desired("2");
    plan.step(&desired, &[engine(1, &["1"], now)], term(now), now);
    plan.on_ticket(1, artifact("2"), 77);
    plan.step(&desired, &[engine(1, &["1"], now)], term(now), now);
    let later = now + REPEAT_AFTER;

    let waiting = plan.step(&desired, &[engine(1, &["1"], now)], term(now), now);
    let again = plan.step(&desired, &[engine(1, &["1"], later)], term(now), later);

    assert_eq!(sent(&waiting), []);
    assert_eq!(sent(&again), [(1, vec![artifact("1"), artifact("2")])]);
}

#[test]
fn an_engine_that_obeyed_a_stale_order_is_corrected() {
    let now = Instant::now();
    let mut plan = Plan::default();
    let target = engine(1, &["2"], now);
    plan.step(&desired("2"), &[target], term(now), now);

    let actions = plan.step(&desired("2"), &[engine(1, &["1"], now)], term(now), now);

    assert_eq!(
        actions,
        [Action::RequestTicket {
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

    let actions = plan.step(&desired("2"), &fleet, term(now), now);

    assert_eq!(actions.len(), expected);
}

#[test]
fn all_engines_of_a_pool_that_serves_nothing_load_at_a_time() {
    let now = Instant::now();
    let mut plan = Plan::default();
    let fleet: Vec<_> = (0..8).map(|upstream| engine(upstream, &[], now)).collect();

    let actions = plan.step(&desired("2"), &fleet, term(now), now);

    assert_eq!(actions.len(), 8);
}

#[test]
fn an_engine_that_never_obeys_does_not_prevent_others_from_loading() {
    let start = Instant::now();
    let mut plan = Plan::default();
    let desired = desired("2");
    let fleet = |at| [engine(1, &["1"], at), engine(2, &["1"], at)];
    plan.step(&desired, &fleet(start), term(start), start);
    plan.on_ticket(1, artifact("2"), 77);

    let rounds = (0..=STUCK_AFTER).map(|round| start + REPEAT_AFTER * round);
    let last = rounds.fold(Vec::new(), |_, now| {
        plan.step(&desired, &fleet(now), term(now), now)
    });

    let request_for_the_other = Action::RequestTicket {
        upstream: 2,
        artifact: artifact("2"),
    };
    assert!(last.contains(&request_for_the_other), "{last:?}");
}

#[test]
fn a_refusal_of_the_weight_store_delays_all_ticket_requests() {
    let now = Instant::now();
    let mut plan = Plan::default();
    let fleet = [engine(1, &[], now), engine(2, &[], now)];
    plan.step(&desired("2"), &fleet, term(now), now);
    let retry_at = now + Duration::from_secs(3);
    plan.on_ticket_refused(1, &artifact("2"), retry_at);

    let before = plan.step(&desired("2"), &fleet, term(now), now);
    let after = plan.step(&desired("2"), &fleet, term(now), retry_at);

    assert_eq!(before, []);
    assert_eq!(
        after,
        [Action::RequestTicket {
            upstream: 1,
            artifact: artifact("2")
        }]
    );
}

#[test]
fn nothing_is_sent_after_the_end_of_the_term() {
    let now = Instant::now();
    let mut plan = Plan::default();
    let term = term(now);

    let actions = plan.step(&desired("2"), &[engine(1, &["1"], now)], term, term.stop_at);

    assert_eq!(actions, []);
}

#[test]
fn an_old_report_is_ignored() {
    let now = Instant::now();
    let mut plan = Plan::default();
    let later = now + REPORT_VALID;

    let actions = plan.step(&desired("2"), &[engine(1, &["1"], now)], term(now), later);

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

    let actions = plan.step(&desired("2"), &[leaving], term(now), now);

    assert_eq!(actions, []);
}

fn desired(version: &str) -> DesiredArtifacts {
    let mut desired = DesiredArtifacts::default();
    desired.add(POOL, &artifact(version));
    desired
}

fn artifact(version: &str) -> Artifact {
    Artifact {
        model: "hydro".into(),
        version: version.into(),
        adapter: None,
    }
}

fn engine(upstream: id::Upstream, versions: &[&str], received_at: Instant) -> Engine {
    let loaded = versions.iter().map(|version| artifact(version)).collect();
    Engine {
        upstream,
        pools: smallvec![POOL.to_owned()],
        leaving: false,
        report: Some(ReceivedReport {
            report: Report {
                loaded,
                ..Report::default()
            },
            received_at,
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
            Action::SendOrder {
                upstream, order, ..
            } => Some((*upstream, order.loaded.to_vec())),
            Action::RequestTicket { .. } => None,
        })
        .collect()
}
