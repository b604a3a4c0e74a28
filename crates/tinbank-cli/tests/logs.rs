//! `tinbank logs`.

use std::{fs, path::PathBuf};

use tempfile::TempDir;
use tinbank_cli::exit::Exit;

mod world;
use world::Captured;

const FIRST: &str = r#"t=1786943789000 level=INFO event=started host=logan-1 callers=10.1.0.7:8161
t=1786943789170 level=WARN event="log of jobs lost" offset=209
t=1786943789364 level=INFO event="job not taken in here, nothing of it runs" job=183f93c1 why="log of jobs not read to its end"
"#;
const SECOND: &str = r#"t=1786943789200 level=INFO event="job submitted" job=183f93c1 offset=210 verdict=Accepted
thread 'main' panicked
"#;

/// Two log files in a folder.
fn files(folder: &TempDir) -> [PathBuf; 2] {
    [("first.log", FIRST), ("second.log", SECOND)].map(|(name, text)| {
        let path = folder.path().join(name);
        fs::write(&path, text).unwrap();
        path
    })
}

async fn run(files: &[PathBuf], rest: &[&str]) -> (Exit, Captured) {
    let mut arguments = vec!["logs".to_owned()];
    arguments.extend(files.iter().map(|file| file.display().to_string()));
    arguments.extend(rest.iter().map(|it| (*it).to_owned()));
    let captured = Captured::default();
    let exit = tinbank_cli::run(&arguments, &mut captured.output()).await;
    (exit, captured)
}

#[tokio::test]
async fn lines_about_a_job_come_from_all_hosts_in_order_with_what_they_believed() {
    let folder = TempDir::new().unwrap();
    let files = files(&folder);

    let (exit, captured) = run(&files, &["--about", "183f93c1", "--around", "500"]).await;

    let shown: Vec<String> = captured.out().lines().map(str::to_owned).collect();
    assert_eq!(shown.len(), 4, "{shown:?}");
    assert!(shown[0].contains("logan-1 started"), "{shown:?}");
    assert!(shown[1].contains("logan-1 log of jobs lost offset=209"));
    assert!(shown[2].contains("second  job submitted"));
    assert!(shown[3].contains("why=log of jobs not read to its end"));
    assert_eq!(exit, Exit::Partial);
    assert!(captured.err().contains("second.log:2"));
}

#[tokio::test]
async fn files_without_a_line_that_is_none_end_well() {
    let folder = TempDir::new().unwrap();
    let files = files(&folder);

    let (exit, captured) = run(&files[..1], &["--json"]).await;

    assert_eq!(exit, Exit::Done);
    let shown: serde_json::Value = serde_json::from_str(&captured.out()).unwrap();
    assert_eq!(shown["lines"].as_array().unwrap().len(), 3);
    assert_eq!(shown["lines"][0]["host"], "logan-1");
}

#[tokio::test]
async fn no_file_is_wrong_input() {
    let (exit, captured) = run(&[], &[]).await;

    assert_eq!(exit, Exit::Input);
    assert!(captured.err().contains("no log file"));
}
