//! `tinbank template show`.

use argh::FromArgs;
use tinbank_base::record::config::Object;

use crate::{context::Context, error::Error, exit::Exit, object, output::Output};

/// Shows a template as it was published; its revision goes to stderr.
#[derive(FromArgs)]
#[argh(subcommand, name = "show", example = "{command_name} water-utility")]
pub struct Show {
    /// name of the template
    #[argh(positional)]
    name: String,
}

impl Show {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        object::show(&Object::Template(self.name), context, output).await
    }
}
