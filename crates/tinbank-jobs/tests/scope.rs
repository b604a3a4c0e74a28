//! Internal job names, and quotas of customers.

use std::time::{Duration, SystemTime};

use proptest::prelude::*;
use tinbank_jobs::{
    Table,
    change::{Change, Verdict},
    record::{Attachment, Item, Record, Stored, Submission},
    scope::job_id,
};
use tinbank_test_support::property;

fn record(customer: Option<&str>, job: &str) -> Record {
    let item = Item {
        id: "item".to_owned(),
        path: "/p/x".to_owned(),
        tokens: 10,
    };
    let submission = Submission {
        job: job_id(customer, job),
        call: 1,
        host: "one.example".to_owned(),
        route: "sweep".to_owned(),
        quota: Some(10),
        max_attempts: 3,
        submitted_at: SystemTime::UNIX_EPOCH,
        retention: Duration::from_secs(60),
        target: Duration::from_secs(18),
        items: vec![item],
        contents: Attachment::Stored(Stored::default()),
        position: None,
    };
    Record::submitted(customer.map(str::to_owned), submission)
}

#[test]
fn a_job_without_a_customer_keeps_its_name() {
    assert_eq!(job_id(None, "7c41e09b52d6a3f8"), "7c41e09b52d6a3f8");
}

proptest! {
    #![proptest_config(property::config(256))]

    #[test]
    fn internal_names_are_equal_only_for_the_same_customer_and_job(
        one in (proptest::option::of("[a/%]{1,3}"), "[a/%]{0,3}"),
        other in (proptest::option::of("[a/%]{1,3}"), "[a/%]{0,3}"),
    ) {
        let id = |(customer, job): &(Option<String>, String)| job_id(customer.as_deref(), job);

        prop_assert_eq!(id(&one) == id(&other), one == other);
    }
}

#[test]
fn each_customer_of_a_route_has_its_own_quota() {
    let mut table = Table::default();
    let submissions = [
        record(Some("one"), "a"),
        record(Some("one"), "b"),
        record(Some("two"), "a"),
        record(None, "a"),
    ];

    let verdicts = submissions.map(|record| match table.apply(1, record) {
        Change::Submitted { verdict, .. } => verdict,
        other => panic!("unexpected {other:?}"),
    });

    let over = Verdict::OverQuota { waiting: 10 };
    assert_eq!(
        verdicts,
        [
            Verdict::Accepted,
            over,
            Verdict::Accepted,
            Verdict::Accepted
        ]
    );
    let customer = Some("two".to_owned());
    assert_eq!(table.waiting_tokens("sweep", customer.as_ref()), 10);
}

#[test]
fn a_submission_encoded_before_customers_were_added_is_decoded() {
    let bytes = [
        &[2, 0, 1][..],
        b"j",
        &[1, 1],
        b"h",
        &[1],
        b"r",
        &[0, 3, 0, 1, 1, 0, 1, 0, 0, 0, 0],
    ]
    .concat();

    let record = Record::decode(&bytes).unwrap();

    assert!(matches!(record, Record::Submitted(submission) if submission.job == "j"));
}
