//! Which builds have served, and what follows where nobody remembers a stream.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant, SystemTime},
};

use tinbank_base::id;
use tinbank_origin::{
    Answer, Choice, Evidence, History, Origin, RETENTION, Refusal,
    choice::{Answers, Source},
    history::{Change, Entry},
};
use yare::parameterized;

const SERVICES: [&str; 1] = ["notes"];

fn origin(build: &str) -> Origin {
    Origin {
        service: SERVICES[0].to_owned(),
        build: build.into(),
    }
}

fn now() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000)
}

/// Applies what an allocator writes that lists these builds.
fn write(history: &mut History, builds: &[&str], at: SystemTime) -> Vec<Change> {
    let listed: BTreeSet<Origin> = builds.iter().map(|it| origin(it)).collect();
    let changes = history.changes("north", &listed, at);
    changes.iter().cloned().for_each(|it| history.apply(it));
    changes
}

#[test]
fn a_build_is_written_when_it_appears_and_when_it_is_gone_and_removed_later() {
    let mut history = History::default();

    let appeared = write(&mut history, &["v1"], now());
    let unchanged = write(&mut history, &["v1"], now() + Duration::from_secs(9));
    let gone_at = now() + Duration::from_secs(10);
    let replaced = write(&mut history, &["v2"], gone_at);
    let removed = write(&mut history, &["v2"], gone_at + Duration::from_secs(301));

    assert_eq!(appeared.len(), 1);
    assert_eq!(unchanged, []);
    let [Change::Put(v2), Change::Put(v1)] = &replaced[..] else {
        panic!("two entries, not {replaced:?}");
    };
    assert_eq!((v2.gone_at, v1.gone_at), (None, Some(gone_at)));
    assert_eq!(removed, [Change::Remove(v1.place.clone())]);
}

#[test]
fn a_build_that_returns_counts_as_listed() {
    let mut history = History::default();
    write(&mut history, &["v1"], now());
    write(&mut history, &[], now());

    assert!(!history.is_listed(&origin("v1")));
    write(&mut history, &["v1"], now());

    assert!(history.is_listed(&origin("v1")));
}

#[test]
fn the_entries_of_other_failure_domains_are_left_alone() {
    let mut history = History::default();
    write(&mut history, &["v1"], now());

    let changes = history.changes("south", &BTreeSet::new(), now());

    assert_eq!(changes, []);
}

#[parameterized(
    one_build = { &["v1"], &["v1"], Duration::ZERO, Some("v1") },
    two_builds = { &["v1", "v2"], &["v1", "v2"], Duration::ZERO, None },
    just_replaced = { &["v1"], &["v2"], RETENTION - Duration::from_secs(1), None },
    replaced_long_ago = { &["v1"], &["v2"], RETENTION, Some("v2") },
    nothing_written = { &[], &[], Duration::ZERO, None },
)]
fn only_one_build_can_have_begun_a_stream(
    before: &[&str],
    after: &[&str],
    since: Duration,
    sole: Option<&str>,
) {
    let mut history = History::default();
    write(&mut history, before, now() - Duration::from_secs(500));
    write(&mut history, after, now() - since);

    let build = history.sole_build(&SERVICES, now());

    assert_eq!(build.map(|it| &**it), sole);
}

#[parameterized(
    a_host_knows_it = { &[None, Some("v2")], &["v1"], None, Choice::At(origin("v2"), Source::Peer) },
    one_build_has_served = { &[None], &["v1"], Some(0), Choice::Build("v1".into()) },
    read_just_before_the_caller_came = { &[Some("")], &["v1"], Some(-1), Choice::Refused(Refusal::ListOutdated) },
    not_read = { &[], &["v1"], None, Choice::Refused(Refusal::ListOutdated) },
    list_newer_than_the_history = { &[], &["v1", "v2"], Some(0), Choice::Refused(Refusal::Forgotten) },
)]
fn a_stream_goes_on_where_it_began_or_nowhere(
    answers: &[Option<&str>],
    listed: &[&str],
    read_after_ms: Option<i64>,
    expected: Choice,
) {
    let mut history = History::default();
    write(&mut history, &["v1"], now() - Duration::from_secs(500));
    let answer = |build: &str| match build {
        "" => Answer::Unknown,
        build => Answer::Known(origin(build)),
    };
    let answers = answers.iter().map(|it| it.map(answer));
    let answers: Answers = answers.collect();
    let listed: Vec<id::Build> = listed.iter().map(|it| (*it).into()).collect();

    let start = Instant::now();
    let since_start = |ms: i64| start + Duration::from_millis((1_000 + ms) as u64);

    let evidence = Evidence {
        services: Some(&SERVICES),
        listed: &listed,
        history: Some(&history),
        read_requested_at: read_after_ms.map(since_start),
        arrived_at: since_start(0),
        arrived_at_wall: now(),
    };

    assert_eq!(evidence.choose(&answers), expected);
}

/// Guards against a conclusion about services that the route may not have any more.
#[test]
fn no_build_is_the_only_one_while_the_configuration_may_be_outdated() {
    let mut history = History::default();
    write(&mut history, &["v1"], now());
    let arrived_at = Instant::now();

    let evidence = Evidence {
        services: None,
        listed: &[],
        history: Some(&history),
        read_requested_at: Some(arrived_at),
        arrived_at,
        arrived_at_wall: now(),
    };

    let refused = Choice::Refused(Refusal::ListOutdated);
    assert_eq!(evidence.choose(&Answers::new()), refused);
}

#[parameterized(
    all_answered = { &[Some(Answer::Unknown)], Refusal::Forgotten, false },
    one_did_not_answer = { &[Some(Answer::Unknown), None], Refusal::NoAnswer, true },
    two_origins = { &[Some(Answer::Unknown), Some(Answer::Conflicting)], Refusal::Conflicting, false },
)]
fn a_wait_helps_only_where_a_host_may_still_answer(
    answers: &[Option<Answer>],
    expected: Refusal,
    is_temporary: bool,
) {
    let mut history = History::default();
    write(&mut history, &["v1", "v2"], now());
    let answers: Answers = answers.iter().cloned().collect();

    let arrived_at = Instant::now();

    let evidence = Evidence {
        services: Some(&SERVICES),
        listed: &[],
        history: Some(&history),
        read_requested_at: Some(arrived_at),
        arrived_at,
        arrived_at_wall: now(),
    };

    assert_eq!(evidence.choose(&answers), Choice::Refused(expected));
    assert_eq!(expected.is_temporary(), is_temporary);
}

#[test]
fn entries_replace_what_was_known() {
    let mut history = History::default();
    write(&mut history, &["v1", "v2"], now());
    let entries: Vec<Entry> = history.entries();

    let mut other = History::default();
    write(&mut other, &["v0"], now());
    other.replace(entries.clone());

    assert_eq!(other.entries(), entries);
}
