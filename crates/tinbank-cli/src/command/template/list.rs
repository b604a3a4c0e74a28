//! `tinbank template list`.

use argh::FromArgs;
use tinbank_base::record::config::Object;

use crate::{context::Context, error::Error, exit::Exit, object, output::Output};

/// Lists the templates with their revisions and who made them.
#[derive(FromArgs)]
#[argh(subcommand, name = "list", example = "{command_name}")]
pub struct List {}

impl List {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        let wanted = |object: &Object| matches!(object, Object::Template(_));
        object::list(wanted, context, output).await
    }
}
