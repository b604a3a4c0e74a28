//! `tinbank template put`.

use argh::FromArgs;
use tinbank_base::{id, record::config::Object};

use crate::{
    context::Context,
    error::Error,
    exit::Exit,
    object::{self, Publish},
    output::Output,
};

/// Publishes a template and waits until it is known whether it was accepted.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "put",
    example = "{command_name} water-utility water-utility.jsonc\n{command_name} --base 12 water-utility water-utility.jsonc",
    note = "Without --base it is made from the newest revision. With --base it is overtaken (3) if another operator \
            was faster."
)]
pub struct Put {
    /// name of the template
    #[argh(positional)]
    name: String,
    /// file with its text in JSON with comments, or - for stdin
    #[argh(positional)]
    file: String,
    /// revision that the change was made from
    #[argh(option)]
    base: Option<id::Revision>,
    /// the template must not exist yet
    #[argh(switch)]
    new: bool,
    /// number of an earlier try of the same change, whose outcome is unknown
    #[argh(option)]
    change: Option<String>,
}

impl Put {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        let publish = Publish {
            object: Object::Template(self.name),
            file: self.file,
            base: self.base,
            new: self.new,
            change: self.change,
        };
        object::put(publish, context, output).await
    }
}
