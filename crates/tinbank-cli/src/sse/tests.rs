use proptest::prelude::*;
use tinbank_test_support::property;

use super::{Events, MAX_EVENT, TooLong};

const STREAM: &[u8] =
    b"data: {\"a\":1}\n\n: a comment\n\ndata: one\ndata: two\r\n\r\ndata:[DONE]\n\ndata: cut";

proptest! {
    #![proptest_config(property::config(256))]

    #[test]
    fn events_do_not_depend_on_where_the_bytes_are_cut(cuts in prop::collection::vec(0..STREAM.len(), 0..12)) {
        let mut cuts = cuts;
        cuts.extend([0, STREAM.len()]);
        cuts.sort_unstable();
        let mut events = Events::default();

        let mut found = Vec::new();
        for pair in cuts.windows(2) {
            found.extend(events.push(&STREAM[pair[0]..pair[1]]).expect("all events are short"));
        }

        prop_assert_eq!(found, ["{\"a\":1}", "one\ntwo", "[DONE]"]);
    }

    #[test]
    fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut events = Events::default();

        let _ = events.push(&bytes);
    }
}

#[test]
fn an_event_without_an_end_is_refused_before_it_fills_the_memory() {
    let mut events = Events::default();

    assert_eq!(events.push(&vec![b'x'; MAX_EVENT + 1]), Err(TooLong));
}
