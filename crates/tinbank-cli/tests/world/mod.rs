//! Runs command lines against stand-ins in this process, and captures what they write.

#![allow(dead_code, reason = "each test file uses its part")]

pub mod deployment;

use std::{
    fs,
    io::Write,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
};

use serde_json::{Value, json};
use tempfile::TempDir;
use tinbank_cli::{exit::Exit, output::Output};

/// A directory of files with the settings of the command line in it.
pub struct World {
    directory: TempDir,
}

/// What became of a command.
#[derive(Debug)]
pub struct Ran {
    pub exit: Exit,
    pub out: String,
    pub err: String,
}

/// Addresses for the settings.
#[derive(Clone, Debug, Default)]
pub struct Addresses {
    pub log: Option<SocketAddr>,
    pub hosts: Option<SocketAddr>,
    pub online: Vec<SocketAddr>,
    pub batch: Vec<SocketAddr>,
    pub key: Option<&'static str>,
}

impl World {
    pub fn new() -> Self {
        Self {
            directory: TempDir::new().expect("the system has a directory for temporary files"),
        }
    }

    /// Writes settings; the author is the name of the file.
    pub fn settings(&self, author: &str, addresses: &Addresses) {
        let mut settings = json!({
            "online": addresses.online,
            "batch": addresses.batch,
            "author": author,
        });
        let optional = [
            ("log", addresses.log.map(|log| log.to_string())),
            ("hosts", addresses.hosts.map(|hosts| hosts.to_string())),
            ("key", addresses.key.map(str::to_owned)),
        ];
        for (name, value) in optional {
            if let Some(value) = value {
                settings[name] = Value::from(value);
            }
        }
        self.file(author, &settings.to_string());
    }

    /// Lets ann and bob run the same change at once: one wins, and the other is told by whom it was overtaken.
    pub async fn race(&self, line: &str) {
        let (ann, bob) = tokio::join!(self.run("ann", line), self.run("bob", line));

        let (winner, loser) = match ann.exit {
            Exit::Done => ("ann", bob),
            _ => ("bob", ann),
        };
        assert_eq!(loser.exit, Exit::Overtaken, "{}", loser.err);
        assert!(
            loser.err.contains(&format!("overtaken by {winner}")),
            "{}",
            loser.err
        );
    }

    /// Writes a file.
    pub fn file(&self, name: &str, text: &str) {
        fs::write(self.path(name), text).expect("the directory is ours");
    }

    pub fn path(&self, name: &str) -> String {
        Path::new(self.directory.path())
            .join(name)
            .to_string_lossy()
            .into_owned()
    }

    /// Runs a command as an author. A word that names a file of ours becomes its path.
    pub async fn run(&self, author: &str, line: &str) -> Ran {
        let mut arguments = vec!["--settings".to_owned(), self.path(author)];
        arguments.extend(words(line).into_iter().map(|word| self.resolve(word)));
        let captured = Captured::default();
        let exit = tinbank_cli::run(&arguments, &mut captured.output()).await;
        Ran {
            exit,
            out: captured.out(),
            err: captured.err(),
        }
    }

    fn resolve(&self, word: String) -> String {
        match word.contains('.') && Path::new(&self.path(&word)).exists() {
            true => self.path(&word),
            false => word,
        }
    }
}

impl Ran {
    /// What was written, if the command ended well.
    #[track_caller]
    pub fn done(self) -> String {
        assert_eq!(self.exit, Exit::Done, "{}", self.err);
        self.out
    }

    /// What was written as JSON, if the command ended well.
    #[track_caller]
    pub fn json(self) -> Value {
        serde_json::from_str(&self.done()).expect("the command writes JSON")
    }
}

/// Splits a line the way a shell does, as far as the tests need it.
pub fn words(line: &str) -> Vec<String> {
    line.split('"')
        .enumerate()
        .flat_map(|(index, part)| match index % 2 {
            0 => part.split_whitespace().map(str::to_owned).collect(),
            _ => vec![part.to_owned()],
        })
        .collect()
}

/// The two streams of a command.
#[derive(Clone, Default)]
pub struct Captured {
    out: Stream,
    err: Stream,
}

#[derive(Clone, Default)]
struct Stream(Arc<Mutex<Vec<u8>>>);

impl Captured {
    /// An output that is captured.
    pub fn output(&self) -> Output {
        Output::new(Box::new(self.out.clone()), Box::new(self.err.clone()))
    }

    /// What went to stdout.
    pub fn out(&self) -> String {
        self.out.text()
    }

    /// What went to stderr.
    pub fn err(&self) -> String {
        self.err.text()
    }
}

impl Stream {
    fn text(&self) -> String {
        let bytes = self.0.lock().expect("no writer panics");
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl Write for Stream {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0
            .lock()
            .expect("no writer panics")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
