//! The ring keeps the newest events, counts what it drops, and stamps follow the causal order.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tinbank_base::{
    clock::Stamp,
    event::{Kind, Subject},
    id,
};
use tinbank_timeline::{
    Query, Recorder,
    query::{Error, Parameters},
};
use yare::parameterized;

const HOST_1: id::Process = process(1);
const HOST_2: id::Process = process(2);

#[test]
fn a_full_ring_drops_the_oldest_and_counts_them() {
    let recorder = recorder(HOST_1, 3, 1_000);
    for request in 0..5 {
        recorder.note(of_request(request), Kind::FirstToken);
    }

    let page = recorder.page(&Query::default());

    assert_eq!(page.lost, 2);
    assert_eq!(page.next, 5);
    assert_eq!(requests(&page), [2, 3, 4]);
    assert_eq!(page.oldest, Some(page.events[0].stamp));
}

#[test]
fn a_cursor_reads_on_and_tells_only_of_what_was_lost_after_it() {
    let recorder = recorder(HOST_1, 3, 1_000);
    recorder.note(of_request(0), Kind::FirstToken);
    let first = recorder.page(&Query::default());
    for request in 1..5 {
        recorder.note(of_request(request), Kind::FirstToken);
    }

    let second = recorder.page(&from(first.next));
    let third = recorder.page(&from(second.next));

    assert_eq!((second.lost, requests(&second)), (1, vec![2, 3, 4]));
    assert_eq!((third.lost, requests(&third)), (0, vec![]));
    assert_eq!(third.next, 5);
}

#[test]
fn a_cursor_of_an_earlier_start_gives_an_empty_page_with_a_cursor_to_go_on_from() {
    let recorder = recorder(HOST_1, 3, 1_000);
    recorder.note(of_request(0), Kind::FirstToken);

    let page = recorder.page(&from(900));

    assert_eq!((page.lost, page.next, page.events.len()), (0, 1, 0));
}

#[test]
fn a_page_has_at_most_its_limit_and_the_next_one_goes_on() {
    let recorder = recorder(HOST_1, 10, 1_000);
    for request in 0..5 {
        recorder.note(of_request(request), Kind::FirstToken);
    }
    let limited = |from| Query {
        from,
        limit: Some(2),
        ..Query::default()
    };

    let first = recorder.page(&limited(0));
    let second = recorder.page(&limited(first.next));

    assert_eq!(requests(&first), [0, 1]);
    assert_eq!(requests(&second), [2, 3]);
}

#[test]
fn stamps_rise_while_the_wall_clock_stands_still_or_goes_back() {
    let micros = Arc::new(AtomicU64::new(5_000));
    let recorder = on_clock(HOST_1, 10, &micros);

    let first = recorder.note(Subject::default(), Kind::Started);
    let second = recorder.note(Subject::default(), Kind::Ready);
    micros.store(4_000, Ordering::Relaxed);
    let third = recorder.note(Subject::default(), Kind::Leaving);

    assert!(first < second && second < third);
}

#[test]
fn what_observes_a_message_comes_after_it_though_clocks_differ() {
    let ahead = recorder(HOST_1, 10, 9_000_000);
    let behind = recorder(HOST_2, 10, 1_000_000);

    let cause = ahead.note(Subject::default(), Kind::Started);
    behind.observe(ahead.stamp());
    let effect = behind.note(Subject::default(), Kind::Joined);

    assert!(cause < effect);
}

#[test]
fn a_clock_that_is_wrong_by_far_drags_no_other() {
    let recorder = recorder(HOST_1, 10, 1_000_000);

    recorder.observe(Stamp {
        micros: 1_000_000_000_000,
        counter: 0,
    });

    assert_eq!(recorder.stamp().micros, 1_000_000);
}

#[test]
fn clones_note_into_one_ring() {
    let recorder = recorder(HOST_1, 10, 1_000);
    let clone = recorder.clone();

    clone.note(of_request(1), Kind::FirstToken);
    recorder.note(of_request(2), Kind::FirstToken);

    assert_eq!(requests(&clone.page(&Query::default())), [1, 2]);
}

#[parameterized(
    everything = { Query::default(), &[0, 1, 2, 3, 4] },
    of_a_request = { Query { request: Some(7), ..Query::default() }, &[0, 3] },
    of_a_job = { Query { job: Some(8), ..Query::default() }, &[1, 2, 3] },
    of_an_item_and_its_job = { Query { job: Some(8), item: Some(4), ..Query::default() }, &[1, 3] },
    of_another_host = { Query { host: Some(2), ..Query::default() }, &[4] },
    of_this_host = { Query { host: Some(1), ..Query::default() }, &[0, 1, 2, 3, 4] },
    since_before = { Query { since: Some(at(1_000)), ..Query::default() }, &[0, 1, 2, 3, 4] },
    since_after = { Query { since: Some(at(1_001)), ..Query::default() }, &[] },
)]
fn a_query_gives_what_it_names(query: Query, expected: &[usize]) {
    let subjects = [
        of_request(7),
        of_item(None, 8, None),
        of_item(None, 8, Some(3)),
        of_item(Some(7), 8, Some(4)),
        Subject {
            peer: Some(HOST_2),
            ..Subject::default()
        },
    ];
    let recorder = recorder(HOST_1, 10, 1_000);
    for subject in &subjects {
        recorder.note(subject.clone(), Kind::Cancelled);
    }

    let page = recorder.page(&query);

    let found: Vec<usize> = page
        .events
        .iter()
        .filter_map(|event| subjects.iter().position(|other| *other == event.subject))
        .collect();
    assert_eq!(found, expected);
}

#[test]
fn the_parameters_of_a_query_give_it_back() {
    let query = Query {
        from: 3,
        since: Some(at(77)),
        request: Some(1),
        job: Some(2),
        item: Some(3),
        host: Some(4),
        limit: Some(5),
    };

    let parameters = Parameters::from(&query);

    assert_eq!(Query::try_from(parameters.clone()), Ok(query));
    assert_eq!(
        parameters.to_string(),
        "from=3&since_us=77&item=3&host=4&limit=5&request=00000000000000000000000000000001\
         &job=00000000000000000000000000000002"
    );
}

#[test]
fn parameters_that_mean_nothing_are_refused() {
    let malformed = Parameters {
        request: Some("zz".to_owned()),
        ..Parameters::default()
    };
    let no_job = Parameters {
        item: Some(1),
        ..Parameters::default()
    };

    assert!(matches!(
        Query::try_from(malformed),
        Err(Error::Id {
            name: "request",
            ..
        })
    ));
    assert_eq!(Query::try_from(no_job), Err(Error::ItemWithoutJob));
}

const fn process(host: id::Host) -> id::Process {
    id::Process {
        host,
        role: id::Role::Online,
    }
}

fn recorder(process: id::Process, capacity: usize, micros: u64) -> Recorder {
    on_clock(process, capacity, &Arc::new(AtomicU64::new(micros)))
}

fn on_clock(process: id::Process, capacity: usize, micros: &Arc<AtomicU64>) -> Recorder {
    let micros = Arc::clone(micros);
    let clock = move || at(micros.load(Ordering::Relaxed));
    Recorder::with_clock(process, capacity, Arc::new(clock))
}

fn at(micros: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_micros(micros)
}

fn from(from: u64) -> Query {
    Query {
        from,
        ..Query::default()
    }
}

fn of_request(request: id::Request) -> Subject {
    Subject {
        request: Some(request),
        ..Subject::default()
    }
}

fn of_item(request: Option<id::Request>, job: id::Job, item: Option<id::Item>) -> Subject {
    Subject {
        request,
        job: Some(job),
        item,
        ..Subject::default()
    }
}

fn requests(page: &tinbank_timeline::Page) -> Vec<id::Request> {
    page.events
        .iter()
        .filter_map(|event| event.subject.request)
        .collect()
}
