//! `heatherfall apply`

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use heatherfall::ops::{GlobalContext, objects};

/// Create or change the objects in files.
#[derive(Args, Debug)]
pub(crate) struct ApplyArgs {
    /// Files with one object or an array of objects, JSON with comments.
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
}

impl ApplyArgs {
    pub(crate) async fn exec(self, ctx: &GlobalContext) -> miette::Result<ExitCode> {
        let store = ctx.store();
        for file in &self.files {
            for manifest in objects::read_manifests(file)? {
                let name = format!("{} {}", manifest.kind.as_str(), manifest.name);
                let effect = objects::apply(&store, manifest).await?;
                println!("{name} {}", effect.as_str());
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}
