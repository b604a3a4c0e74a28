//! The fold of the configuration: time a change and bytes a customer, as customers grow.

use tinbank_base::{
    clock::Stamp,
    id::{Process, Role},
    platform::log::Entry,
    record::{
        Envelope, Writer,
        config::{Object, Put, Record},
    },
};
use tinbank_configuration::fold::State;

use super::{Allocated, Point, Series, micros, point, processor_time, weight};

const SIZES: [usize; 4] = [1_625, 3_250, 6_500, 13_000];
/// Changes a point, so that one is long enough to be timed.
const CHANGES: usize = 64;
const TEMPLATE: &str = include_str!("template.json");

pub(super) fn change() -> Series {
    let points = points(|customers| {
        let state = state(customers);
        let time = processor_time(|| state.clone(), |state| change_some(state, customers));
        micros(time) / CHANGES as f64
    });
    Series::new(
        "configuration change",
        "customer, at each change put in force",
        "µs",
        points,
    )
}

pub(super) fn bytes(allocated: Allocated) -> Series {
    let points = points(|customers| {
        weight(allocated, || {
            let state = state(customers);
            let snapshot = state.snapshot();
            (state, snapshot)
        })
    });
    Series::new(
        "configuration bytes",
        "customer, state and snapshot",
        "bytes",
        points,
    )
}

fn points(measure: impl Fn(usize) -> f64) -> Vec<Point> {
    SIZES
        .iter()
        .map(|customers| point(*customers, measure(*customers)))
        .collect()
}

fn change_some(state: State, customers: usize) {
    let mut state = state;
    for change in 0..CHANGES {
        let customer = change * customers / CHANGES;
        let base = Some(customer as u64 + 1);
        let entry = put(
            state.next(),
            Object::Customer(name(customer)),
            base,
            customer_text(customer, 2),
        );
        let verdicts = state.apply(&entry);
        assert_eq!(verdicts.len(), 1, "each entry holds one change");
        std::hint::black_box(state.snapshot());
    }
}

fn state(customers: usize) -> State {
    let mut state = State::default();
    state.apply(&put(
        0,
        Object::Template("common".into()),
        None,
        TEMPLATE.into(),
    ));
    for customer in 0..customers {
        let object = Object::Customer(name(customer));
        state.apply(&put(state.next(), object, None, customer_text(customer, 1)));
    }
    state
}

fn name(customer: usize) -> String {
    format!("customer-{customer:05}")
}

fn customer_text(customer: usize, share: u32) -> String {
    format!(r#"{{"template":"common","key_sha256":["{customer:064x}"],"share":{share}}}"#)
}

fn put(offset: u64, object: Object, base: Option<u64>, body: String) -> Entry {
    let record = Record::Put(Put {
        change: u128::from(offset) + 1,
        object,
        base,
        body: Some(body),
        author: "operator".into(),
    });
    let envelope = Envelope {
        writer: Writer {
            process: Process {
                host: 1,
                role: Role::Tool,
            },
            incarnation: 1,
        },
        sequence: offset + 1,
        stamp: Stamp {
            micros: offset,
            counter: 0,
        },
        records: vec![record],
    };
    Entry {
        offset,
        payload: envelope.encode(),
    }
}
