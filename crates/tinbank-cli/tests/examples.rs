//! Every command has help and examples, and every example is a command line that the program takes.

use std::io::Write;

use argh::FromArgs as _;
use tinbank_cli::{command::Tinbank, exit::Exit, output::Output};

mod world;
use world::{Captured, words};

#[tokio::test]
async fn every_command_has_an_example_and_every_example_is_taken() {
    let mut groups = vec![Vec::new()];
    let mut commands = 0;
    while let Some(path) = groups.pop() {
        let help = help(&path).await;
        let inner = section(&help, "Commands:");
        for line in &inner {
            let name = line.split_whitespace().next().unwrap_or_default();
            let mut path = path.clone();
            path.push(name.to_owned());
            groups.push(path);
        }
        if !inner.is_empty() {
            continue;
        }
        commands += 1;
        let examples = section(&help, "Examples:");
        assert!(!examples.is_empty(), "{path:?} has no example");
        for example in examples {
            assert_taken(&example, &path);
        }
    }
    assert!(commands >= 17, "only {commands} commands were found");
}

#[tokio::test]
async fn wrong_arguments_end_with_2_and_say_what_to_do() {
    for line in [
        "",
        "frobnicate",
        "batch",
        "batch submit",
        "timeline --since yesterday",
    ] {
        let arguments = words(line);
        let captured = Captured::default();

        let exit = tinbank_cli::run(&arguments, &mut captured.output()).await;

        assert_eq!(exit, Exit::Input, "{line:?}");
        assert!(
            captured.err().contains("--help"),
            "{line:?}: {}",
            captured.err()
        );
    }
}

#[tokio::test]
async fn a_command_without_settings_says_how_to_name_them() {
    let captured = Captured::default();
    let arguments = words("hosts --settings /nowhere/tinbank.jsonc --json");

    let exit = tinbank_cli::run(&arguments, &mut captured.output()).await;

    assert_eq!(exit, Exit::Input);
    let error: serde_json::Value = serde_json::from_str(&captured.err()).expect("it is JSON");
    assert_eq!(error["exit"], 2);
    assert!(
        error["what"]
            .as_str()
            .is_some_and(|what| what.contains("/nowhere/tinbank.jsonc"))
    );
}

#[tokio::test]
async fn a_closed_pipe_ends_the_command_in_peace() {
    struct Closed;
    impl Write for Closed {
        fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
            Err(std::io::ErrorKind::BrokenPipe.into())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Err(std::io::ErrorKind::BrokenPipe.into())
        }
    }
    let mut output = Output::new(Box::new(Closed), Box::new(Closed));

    let exit = tinbank_cli::run(&words("--help"), &mut output).await;

    assert_eq!(exit, Exit::Done);
}

async fn help(path: &[String]) -> String {
    let mut arguments = path.to_vec();
    arguments.push("--help".to_owned());
    let captured = Captured::default();
    let exit = tinbank_cli::run(&arguments, &mut captured.output()).await;
    assert_eq!(exit, Exit::Done, "{path:?}");
    captured.out()
}

/// The lines of a section of the help.
fn section(help: &str, title: &str) -> Vec<String> {
    help.lines()
        .skip_while(|line| *line != title)
        .skip(1)
        .take_while(|line| line.starts_with("  "))
        .filter(|line| !line.starts_with("   "))
        .map(|line| line.trim().to_owned())
        .collect()
}

fn assert_taken(example: &str, path: &[String]) {
    let words = words(example);
    let (program, arguments) = words.split_first().expect("an example has words");
    assert_eq!(program, "tinbank", "{example}");
    assert!(arguments.starts_with(path), "{example} is not of {path:?}");
    let arguments = tinbank_cli::global::hoist(arguments);
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    if let Err(early) = Tinbank::from_args(&["tinbank"], &arguments) {
        panic!("{example}: {}", early.output);
    }
}
