//! `heatherfall delete`.

use std::process::ExitCode;

use clap::Args;
use heatherfall::ops::{GlobalContext, objects};

/// Delete an object.
#[derive(Args, Debug)]
pub(crate) struct DeleteArgs {
    /// Kind of the object.
    kind: String,
    /// Name of the object.
    name: String,
}

impl DeleteArgs {
    pub(crate) async fn exec(self, ctx: &GlobalContext) -> miette::Result<ExitCode> {
        let kind = objects::parse_kind(&self.kind)?;
        objects::delete(&ctx.store(), kind, &self.name).await?;
        println!("{} {} deleted", kind.as_str(), self.name);
        Ok(ExitCode::SUCCESS)
    }
}
