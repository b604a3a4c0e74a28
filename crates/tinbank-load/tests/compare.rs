//! Counting of the comparison.

use tinbank_load::compare::{Spread, Work};
use tinbank_standin::account::{End, Run};
use yare::parameterized;

fn run(reference: &str, resumed_from: u32, tokens: u32, end: End) -> Run {
    Run {
        request: None,
        reference: Some(reference.to_owned()),
        prompt: 0,
        resumed_from,
        tokens,
        end,
    }
}

#[parameterized(
    whole = { vec![run("batch-a", 0, 30, End::Completed)], 0 },
    resumed = { vec![run("batch-a", 0, 10, End::Cancelled), run("batch-a", 10, 20, End::Completed)], 0 },
    begun_anew = { vec![run("batch-a", 0, 10, End::Cancelled), run("batch-a", 0, 30, End::Completed)], 10 },
    never_ended = { vec![run("batch-a", 0, 10, End::Cancelled)], 10 },
    ran_twice = { vec![run("batch-a", 0, 30, End::Completed), run("batch-a", 0, 30, End::Completed)], 30 },
    online = { vec![run("online-a", 0, 10, End::Cancelled)], 0 },
)]
fn tokens_that_no_result_used_are_wasted(runs: Vec<Run>, wasted: u64) {
    let work = Work::of(runs.iter(), "batch-");

    assert_eq!(work.wasted, wasted);
}

#[test]
fn runs_are_counted_by_their_end() {
    let runs = [
        run("batch-a", 0, 3, End::Cancelled),
        run("batch-a", 3, 4, End::Completed),
        run("batch-a", 0, 7, End::Completed),
        run("batch-b", 0, 5, End::Completed),
    ];

    let work = Work::of(runs.iter(), "batch-");

    let counted = (work.completed, work.cancelled, work.reruns, work.tokens);
    assert_eq!(counted, (2, 1, 1, 19));
}

#[parameterized(
    none = { vec![], 0.0, 0.0, 0.0 },
    one = { vec![3.0], 3.0, 3.0, 3.0 },
    even = { vec![4.0, 1.0], 1.0, 2.5, 4.0 },
    odd = { vec![9.0, 1.0, 2.0], 1.0, 2.0, 9.0 },
)]
fn spread_has_both_ends_and_the_middle(values: Vec<f64>, least: f64, median: f64, most: f64) {
    let spread = Spread::of(values);

    assert_eq!(
        spread,
        Spread {
            least,
            median,
            most
        }
    );
}
