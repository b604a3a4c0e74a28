//! `tinbank check`.

use argh::FromArgs;
use serde_json::Value;
use tinbank_configuration::check;
use tinbank_settings::parse;

use crate::{configuration, error::Error, exit::Exit, object, output::Output, settings::Settings};

/// Checks a file and shows all findings with their places, without asking anybody.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} moreton-basin.jsonc\n{command_name} --as template water-utility.jsonc",
    note = "Settings of the servers are checked by the servers themselves: `tinbank-online --check FILE`. Whether a \
            customer fits its template is shown by `tinbank customer diff`."
)]
pub struct Check {
    /// file to check, or - for stdin
    #[argh(positional)]
    file: String,
    /// what it is: template, customer or settings (of the command line); guessed if not given
    #[argh(option, long = "as", from_str_fn(kind))]
    kind: Option<Kind>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Template,
    Customer,
    Settings,
}

impl Check {
    pub(crate) fn run(self, output: &mut Output) -> Result<Exit, Error> {
        let text = object::read(&self.file)?;
        let kind = self.kind.unwrap_or_else(|| guess(&text));
        match kind {
            Kind::Template => check::template(&text).map(|_| ()),
            Kind::Customer => check::customer(&text).map(|_| ()),
            Kind::Settings => {
                parse::<Settings>(&text, &self.file)?;
                Ok(())
            }
        }
        .map_err(|findings| configuration::invalid(&findings).at(self.file.clone()))?;
        output.line(format!("{}: {}, no findings", self.file, name(kind)))?;
        Ok(Exit::Done)
    }
}

/// Only a customer names its template, and only templates have services without doing so.
fn guess(text: &str) -> Kind {
    let parsed =
        jsonc_parser::parse_to_serde_value::<Value>(text, &jsonc_parser::ParseOptions::default());
    match parsed {
        Ok(Value::Object(fields)) if fields.contains_key("template") => Kind::Customer,
        Ok(Value::Object(fields)) if fields.contains_key("services") => Kind::Template,
        Ok(Value::Object(fields)) if fields.contains_key("log") => Kind::Settings,
        _ => Kind::Customer,
    }
}

fn kind(text: &str) -> Result<Kind, String> {
    let kinds = [Kind::Template, Kind::Customer, Kind::Settings];
    let found = kinds.into_iter().find(|kind| name(*kind) == text);
    found.ok_or_else(|| format!("`{text}` is none of template, customer, settings"))
}

fn name(kind: Kind) -> &'static str {
    match kind {
        Kind::Template => "template",
        Kind::Customer => "customer",
        Kind::Settings => "settings",
    }
}
