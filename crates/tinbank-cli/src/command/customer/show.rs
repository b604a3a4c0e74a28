//! `tinbank customer show`.

use argh::FromArgs;
use tinbank_base::record::config::Object;

use crate::{context::Context, error::Error, exit::Exit, object, output::Output};

/// Shows a customer as it was published; its revision goes to stderr.
#[derive(FromArgs)]
#[argh(subcommand, name = "show", example = "{command_name} moreton-basin")]
pub struct Show {
    /// name of the customer
    #[argh(positional)]
    name: String,
}

impl Show {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        object::show(&Object::Customer(self.name), context, output).await
    }
}
