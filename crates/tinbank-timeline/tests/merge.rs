//! Merging keeps the causal order and every event, on whatever clocks and messages.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, UNIX_EPOCH},
};

use proptest::prelude::*;
use tinbank_base::{
    clock::Stamp,
    event::{Kind, Subject},
    id,
};
use tinbank_test_support::property;
use tinbank_timeline::{
    Query, Recorder, merge,
    merge::{Answer, Cause, Timeline},
};

const PROCESSES: usize = 4;

/// One step of a run of some processes. Events are numbered by the request that they name.
#[derive(Clone, Debug)]
enum Step {
    /// A process notes an event.
    Note(usize),
    /// A process sends to another, which takes it in at once.
    Send(usize, usize),
    /// A wall clock moves, also backwards.
    Clock(usize, i32),
}

proptest! {
    #![proptest_config(property::config(256))]

    #[test]
    fn causes_come_first_and_nothing_is_dropped(steps in steps(), offsets in offsets()) {
        let run = Run::new(&offsets).play(&steps);

        let timeline = merge(run.answers());

        let mut place = HashMap::new();
        for (index, event) in timeline.events.iter().enumerate() {
            let twice = place.insert(event.subject.request, index);
            prop_assert_eq!(twice, None);
        }
        prop_assert_eq!(place.len(), run.past.len());
        for (request, causes) in &run.past {
            for cause in causes {
                prop_assert!(place[&Some(*cause)] < place[&Some(*request)]);
            }
        }
    }

    #[test]
    fn the_order_of_the_answers_does_not_matter(steps in steps(), offsets in offsets()) {
        let run = Run::new(&offsets).play(&steps);
        let mut backwards = run.answers();
        backwards.reverse();

        prop_assert_eq!(merge(run.answers()), merge(backwards));
    }
}

#[test]
fn what_is_missing_is_said() {
    let recorder = Recorder::with_clock(process(0), 2, Arc::new(|| UNIX_EPOCH));
    for _ in 0..5 {
        recorder.note(Subject::default(), Kind::Ready);
    }
    let page = recorder.page(&Query::default());
    let before = page.oldest;

    let timeline = merge(vec![
        Answer::Unreachable {
            process: process(1),
            reason: "connection refused".to_owned(),
        },
        Answer::Page(page),
    ]);

    assert_eq!(timeline.processes, [process(0), process(1)]);
    let causes: Vec<_> = timeline.gaps.iter().map(|gap| &gap.cause).collect();
    let lost = Cause::Lost { events: 3, before };
    let unreachable = Cause::Unreachable {
        reason: "connection refused".to_owned(),
    };
    assert_eq!(causes, [&lost, &unreachable]);
}

#[test]
fn a_time_line_survives_its_json_form() {
    let run = Run::new(&[0, 5, -5, 9]).play(&[Step::Note(0), Step::Send(0, 3), Step::Note(3)]);
    let timeline = merge(run.answers());

    let text = tinbank_timeline::render::json(&timeline).expect("it has a JSON form");

    let back: Timeline = serde_json::from_str(&text).expect("it is our own form");
    assert_eq!(back, timeline);
}

/// Processes with clocks of their own, and for each event all that came before it.
struct Run {
    clocks: Vec<Arc<AtomicU64>>,
    recorders: Vec<Recorder>,
    known: Vec<Vec<id::Request>>,
    past: HashMap<id::Request, Vec<id::Request>>,
}

impl Run {
    fn new(offsets: &[i32]) -> Self {
        let clocks: Vec<_> = offsets.iter().map(|offset| clock(*offset)).collect();
        let recorders = clocks.iter().enumerate().map(recorder).collect();
        Self {
            known: vec![Vec::new(); clocks.len()],
            clocks,
            recorders,
            past: HashMap::new(),
        }
    }

    fn play(mut self, steps: &[Step]) -> Self {
        for step in steps {
            match *step {
                Step::Note(at) => self.note(at),
                Step::Send(from, to) => self.send(from, to),
                Step::Clock(at, by) => self.turn(at, by),
            }
        }
        self
    }

    fn note(&mut self, at: usize) {
        let request = self.past.len() as id::Request;
        let subject = Subject {
            request: Some(request),
            ..Subject::default()
        };
        self.recorders[at].note(subject, Kind::FirstToken);
        self.past.insert(request, self.known[at].clone());
        self.known[at].push(request);
    }

    fn send(&mut self, from: usize, to: usize) {
        let stamp: Stamp = self.recorders[from].stamp();
        self.recorders[to].observe(stamp);
        let news = self.known[from].clone();
        self.known[to].extend(news);
    }

    fn turn(&mut self, at: usize, by: i32) {
        let clock = &self.clocks[at];
        let micros = clock.load(Ordering::Relaxed);
        clock.store(micros.saturating_add_signed(by.into()), Ordering::Relaxed);
    }

    fn answers(&self) -> Vec<Answer> {
        self.recorders
            .iter()
            .map(|recorder| Answer::Page(recorder.page(&Query::default())))
            .collect()
    }
}

fn clock(offset: i32) -> Arc<AtomicU64> {
    let start = 1_000_000_000_u64.saturating_add_signed(offset.into());
    Arc::new(AtomicU64::new(start))
}

fn recorder((index, clock): (usize, &Arc<AtomicU64>)) -> Recorder {
    let clock = Arc::clone(clock);
    let now = move || UNIX_EPOCH + Duration::from_micros(clock.load(Ordering::Relaxed));
    Recorder::with_clock(process(index as id::Host), 1_000, Arc::new(now))
}

const fn process(host: id::Host) -> id::Process {
    id::Process {
        host,
        role: id::Role::Batch,
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..PROCESSES).prop_map(Step::Note),
        3 => (0..PROCESSES, 0..PROCESSES).prop_map(|(from, to)| Step::Send(from, to)),
        2 => (0..PROCESSES, -3_000..3_000).prop_map(|(at, by)| Step::Clock(at, by)),
    ];
    prop::collection::vec(step, 0..120)
}

/// Clocks that differ by up to ten seconds, well within what a process takes from another.
fn offsets() -> impl Strategy<Value = Vec<i32>> {
    prop::collection::vec(-5_000_000..5_000_000, PROCESSES)
}
