//! Options of the whole program may stand anywhere.

use tinbank_cli::global::hoist;
use yare::parameterized;

#[parameterized(
    nothing = { "batch status X", "batch status X" },
    behind = { "batch status X --json", "--json batch status X" },
    both = { "batch --settings S status --json X", "--settings S --json batch status X" },
    twice = { "--json hosts --json", "--json hosts" },
    stdin = { "batch submit - --service S", "batch submit --service S -- -" },
    protected = { "chat -- --json", "chat -- --json" },
    without_value = { "hosts --settings", "--settings hosts" },
)]
fn options_of_the_program_move_to_the_front(line: &str, expected: &str) {
    let arguments: Vec<String> = line.split(' ').map(str::to_owned).collect();

    let hoisted = hoist(&arguments);

    assert_eq!(hoisted.join(" "), expected);
}
