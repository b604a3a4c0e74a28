//! What a note costs: `cargo bench -p tinbank-timeline`.

use criterion::{Criterion, criterion_group, criterion_main};
use tinbank_base::{
    event::{Kind, Subject},
    id,
};
use tinbank_timeline::{Query, Recorder, recorder::DEFAULT_CAPACITY};

const PROCESS: id::Process = id::Process {
    host: 1,
    role: id::Role::Online,
};

fn recorder(c: &mut Criterion) {
    let recorder = Recorder::new(PROCESS, DEFAULT_CAPACITY);
    c.bench_function("note", |bencher| {
        let mut request = 0;
        bencher.iter(|| {
            request += 1;
            let subject = Subject {
                request: Some(request),
                upstream: Some(7),
                ..Subject::default()
            };
            recorder.note(subject, Kind::FirstToken)
        });
    });
    c.bench_function("note_accepted", |bencher| {
        bencher.iter(|| {
            let kind = Kind::Accepted {
                customer: "moreton-basin".to_owned(),
                service: "logger-notes".to_owned(),
            };
            recorder.note(Subject::default(), kind)
        });
    });
    c.bench_function("page_of_one_request_in_a_full_ring", |bencher| {
        let query = Query {
            request: Some(u128::MAX),
            ..Query::default()
        };
        bencher.iter(|| recorder.page(&query));
    });
}

criterion_group!(benches, recorder);
criterion_main!(benches);
