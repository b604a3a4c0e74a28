//! `tinbank customer diff`.

use argh::FromArgs;
use tinbank_base::{id, record::config::Object};

use crate::{
    context::Context,
    error::Error,
    exit::Exit,
    object::{self, Publish},
    output::Output,
};

/// Shows what a change of a customer would do, with all findings and their places, without publishing it.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "diff",
    example = "{command_name} moreton-basin moreton-basin.jsonc\n\
               {command_name} --base 12 moreton-basin moreton-basin.jsonc",
    note = "It judges by the rule that all hosts follow. It ends with 2 if there are findings, and with 3 if --base \
            has been overtaken."
)]
pub struct Diff {
    /// name of the customer
    #[argh(positional)]
    name: String,
    /// file with its text in JSON with comments, or - for stdin
    #[argh(positional)]
    file: String,
    /// revision that the change was made from
    #[argh(option)]
    base: Option<id::Revision>,
}

impl Diff {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        let publish = Publish {
            object: Object::Customer(self.name),
            file: self.file,
            base: self.base,
            new: false,
            change: None,
        };
        object::diff(publish, context, output).await
    }
}
