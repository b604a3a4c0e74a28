//! Tests which failure domains count as evacuated.

use tinbank_relay::evacuation::{Change, Evacuations};

fn evacuated(domains: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    evacuations.replace(domains.iter().map(|it| (*it).to_owned()));
    evacuations
}

#[test]
fn an_evacuation_order_applies_until_it_is_withdrawn() {
    let mut evacuations = evacuated(&["north"]);

    let again = evacuations.add("north".to_owned());
    let other = evacuations.add("south".to_owned());
    let withdrawn = evacuations.remove("north".to_owned());
    let unknown = evacuations.remove("east".to_owned());

    assert_eq!(again, None);
    assert_eq!(other, Some(Change::Evacuated("south".to_owned())));
    assert_eq!(withdrawn, Some(Change::Reinstated("north".to_owned())));
    assert_eq!(unknown, None);
    assert!(evacuations.covers("south") && !evacuations.covers("north"));
}

#[test]
fn orders_missing_from_a_full_read_are_withdrawn() {
    let mut evacuations = evacuated(&["east", "north"]);

    let changes = evacuations.replace(["north".to_owned(), "south".to_owned()]);

    let expected = [
        Change::Reinstated("east".to_owned()),
        Change::Evacuated("south".to_owned()),
    ];
    assert_eq!(changes.as_slice(), expected);
    let domains: Vec<&str> = evacuations.domains().map(String::as_str).collect();
    assert_eq!(domains, ["north", "south"]);
}
