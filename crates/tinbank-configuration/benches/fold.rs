//! Benchmarks of the fold with 13,000 customers. Also prints the memory use and the size of a checkpoint.

use std::{fs, hint::black_box};

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use tinbank_base::{
    clock::Stamp,
    digest, id,
    platform::log::Entry,
    record::{
        Envelope, Writer,
        config::{Object, Put, Record},
    },
};
use tinbank_configuration::fold::{Fold, checkpoint};

const CUSTOMERS: u64 = 13_000;
const PAGE_BYTES: u64 = 4_096;

const TEMPLATE: &str = include_str!("../../../examples/water-authority/template.jsonc");

fn envelope(sequence: u64, record: Record) -> Envelope<Record> {
    let role = id::Role::Tool;
    Envelope {
        writer: Writer {
            process: id::Process { host: 0, role },
            incarnation: 1,
        },
        sequence,
        stamp: Stamp::default(),
        records: vec![record],
    }
}

fn entry(fold: &Fold, object: Object, body: String) -> Entry {
    let offset = fold.state().next();
    let put = Put {
        change: offset.into(),
        base: fold.state().get(&object).map(|held| held.revision),
        object,
        body: Some(body),
        author: "an operator".to_owned(),
    };
    Entry {
        offset,
        payload: envelope(offset + 1, Record::Put(put)).encode(),
    }
}

fn customer(number: u64, share: u32) -> (Object, String) {
    let hex = |key: String| -> String {
        let digest = digest::of(key.as_bytes());
        digest.iter().map(|byte| format!("{byte:02x}")).collect()
    };
    let (first, second) = (hex(format!("a{number}")), hex(format!("b{number}")));
    let body = format!(
        r#"{{
  "template": "t{}",
  "key_sha256": ["{first}", "{second}"],
  "limits": {{ "requests_per_second": 50, "batch_at_once": 512 }},
  "share": {share}
}}"#,
        number % 28
    );
    (Object::Customer(format!("customer-{number:05}")), body)
}

fn template(number: u64) -> (Object, String) {
    (Object::Template(format!("t{number}")), TEMPLATE.to_owned())
}

fn filled_fold() -> Fold {
    let mut fold = Fold::default();
    let objects = (0..28).map(template);
    for (object, body) in objects.chain((0..CUSTOMERS).map(|number| customer(number, 1))) {
        let entry = entry(&fold, object, body);
        fold.apply(&entry);
    }
    fold
}

fn synthetic_checkpoint(fold: &Fold) -> Vec<Entry> {
    fold.synthetic_checkpoint(|part| envelope(0, part).encode())
}

/// Returns the resident memory of this process, in bytes.
fn resident() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

fn report(fold: &Fold, before: u64) {
    let snapshot = fold.state().snapshot();
    let state = resident().saturating_sub(before);
    let parts = checkpoint::parts(fold.state()).len();
    let bytes: usize = synthetic_checkpoint(fold)
        .iter()
        .map(|entry| entry.payload.len())
        .sum();
    println!(
        "customers={} resident_bytes_added={state} checkpoint_bytes={bytes} checkpoint_parts={parts}",
        snapshot.customers.len()
    );
}

fn measure(criterion: &mut Criterion) {
    let before = resident();
    let fold = filled_fold();
    report(&fold, before);

    let (object, body) = customer(77, 2);
    let change = entry(&fold, object, body);
    criterion.bench_function("one customer's change at 13,000", |bencher| {
        bencher.iter_batched_ref(
            || fold.clone(),
            |fold| black_box(fold.apply(&change)),
            BatchSize::PerIteration,
        );
    });
    let (object, body) = template(3);
    let change = entry(&fold, object, body);
    criterion.bench_function("a template's change with 464 customers", |bencher| {
        bencher.iter_batched_ref(
            || fold.clone(),
            |fold| black_box(fold.apply(&change)),
            BatchSize::PerIteration,
        );
    });
    criterion.bench_function("a snapshot of 13,000", |bencher| {
        bencher.iter(|| black_box(fold.state().snapshot()));
    });
    let checkpoint = synthetic_checkpoint(&fold);
    criterion.bench_function("a start from a checkpoint of 13,000", |bencher| {
        bencher.iter(|| {
            let mut fresh = Fold::default();
            black_box(fresh.apply_from_peer(&checkpoint));
            fresh
        });
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20);
    targets = measure
}
criterion_main!(benches);
