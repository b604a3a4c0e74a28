//! Options that go with every command, wherever they stand on the line, and `-` for stdin.

const SWITCHES: [&str; 1] = ["--json"];
const OPTIONS: [&str; 1] = ["--settings"];

/// Moves the options of the whole program to the front, where the parser wants them, and a lone `-` to the end behind
/// `--`, for the parser holds it for an option. After `--` all is left alone.
pub fn hoist(arguments: &[String]) -> Vec<String> {
    let mut front = Vec::new();
    let mut rest = Vec::new();
    let mut stdin = None;
    let mut remaining = arguments.iter();
    while let Some(argument) = remaining.next() {
        let name = argument.as_str();
        if name == "--" {
            rest.push(argument.clone());
            rest.extend(remaining.by_ref().cloned());
        } else if SWITCHES.contains(&name) {
            if !front.contains(argument) {
                front.push(argument.clone());
            }
        } else if OPTIONS.contains(&name) {
            front.push(argument.clone());
            front.extend(remaining.next().cloned());
        } else if name == "-" {
            stdin = Some(["--".to_owned(), argument.clone()]);
        } else {
            rest.push(argument.clone());
        }
    }
    front.extend(rest);
    front.extend(stdin.into_iter().flatten());
    front
}
