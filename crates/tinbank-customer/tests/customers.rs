//! Identification of customers by their keys.

use std::{rc::Rc, time::Instant};

use tinbank_allowance::Limit;
use tinbank_customer::{Caller, Customer, Customers, KeyDigest, Refusal, identify};
use yare::parameterized;

fn customer(name: &str, keys: &[&str]) -> Rc<Customer> {
    Rc::new(Customer {
        name: name.to_owned(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::from_secret(key.as_bytes()))
            .collect(),
        rank: Some(1),
        limit: Limit::new(90.0, 90.0),
        queued_tokens: None,
        allowed_regions: None,
    })
}

fn customers() -> Customers {
    vec![customer("one", &["a", "b"]), customer("two", &["c", "b"])].into()
}

#[parameterized(
    first_key = { Some("a"), false, Ok(Some("one")) },
    key_of_two_customers = { Some("b"), false, Ok(Some("one")) },
    other_customer = { Some("c"), false, Ok(Some("two")) },
    unknown = { Some("d"), false, Err(Refusal::Unknown) },
    missing = { None, false, Err(Refusal::Missing) },
    unknown_at_an_open_route = { Some("d"), true, Ok(None) },
    missing_at_an_open_route = { None, true, Ok(None) },
    known_at_an_open_route = { Some("c"), true, Ok(Some("two")) },
)]
fn a_key_identifies_its_customer(
    key: Option<&str>,
    is_open: bool,
    expected: Result<Option<&str>, Refusal>,
) {
    let customers = customers();
    let key = key.map(|key| KeyDigest::from_secret(key.as_bytes()));

    let caller = identify(Some(&customers), key.as_ref(), is_open);

    let name = caller.map(|it| it.name().cloned());
    assert_eq!(name, expected.map(|it| it.map(str::to_owned)));
}

#[test]
fn no_key_is_required_without_customers() {
    let caller = identify(None, None, false);

    assert_eq!(caller, Ok(Caller::Unchecked));
}

#[test]
fn a_key_is_required_even_if_the_customer_list_is_empty() {
    let customers = Customers::from(vec![]);

    let caller = identify(Some(&customers), Some(&KeyDigest::from_secret(b"a")), false);

    assert_eq!(caller, Err(Refusal::Unknown));
}

#[test]
fn customers_survive_a_serialization_round_trip() {
    let bytes = postcard::to_stdvec(&customers()).unwrap();

    let decoded: Customers = postcard::from_bytes(&bytes).unwrap();

    assert_eq!(decoded, customers());
}

#[test]
fn keys_are_neither_printed_nor_serialized() {
    let customers = vec![customer("one", &["wyy7yx5x42q492cqf75r"])].into();

    let serialized = postcard::to_stdvec::<Customers>(&customers).unwrap();

    let printed = format!("{customers:?}");
    assert!(!printed.contains("wyy7yx5x42q492cqf75r"));
    assert!(printed.contains("Key(..)"));
    assert!(!serialized.windows(8).any(|it| it == b"wyy7yx5x"));
}

/// Prints the cost of many customers: `cargo test --release -p tinbank-customer --test customers -- --ignored
/// --nocapture`.
#[test]
#[ignore = "prints measurements"]
fn lookup_among_thirteen_thousand_customers_measured() {
    let keys: Vec<String> = (0..26_000)
        .map(|index| format!("wyy7yx5x42q492c{index:05}"))
        .collect();
    let named = |index: usize| {
        let own = [&*keys[2 * index], &*keys[2 * index + 1]];
        customer(&format!("customer-{index}"), &own)
    };
    let all: Vec<_> = (0..13_000).map(named).collect();

    let began = Instant::now();
    let customers = Customers::from(all);
    let built_in = began.elapsed();
    let bytes = postcard::to_stdvec(&customers).unwrap();
    let began = Instant::now();
    let decoded: Customers = postcard::from_bytes(&bytes).unwrap();
    let decoded_in = began.elapsed();
    let began = Instant::now();
    let found = keys.iter().filter(|key| {
        let key = KeyDigest::from_secret(key.as_bytes());
        identify(Some(&decoded), Some(&key), false).is_ok()
    });
    let found = found.count();
    let each = began.elapsed() / 26_000;

    println!(
        "built in {built_in:?}, decoded from {} bytes in {decoded_in:?}, {each:?} per lookup, {found} found",
        bytes.len()
    );
}
