//! `heatherfall apply`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use heatherfall::ops::{GlobalContext, objects};

use crate::commands::diff::print_change;

/// Create or change the objects in files.
///
/// Every write is conditional on the version read just before: if another writer changes the
/// object in between, the other change is shown and the object is not written. Objects that come
/// before a failing one stay written.
#[derive(Args, Debug)]
pub(crate) struct ApplyArgs {
    /// Files with one object or an array of objects, JSON with comments.
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Validate the objects and show what would change; write nothing.
    #[arg(long)]
    dry_run: bool,
}

impl ApplyArgs {
    pub(crate) async fn exec(self, ctx: &GlobalContext) -> miette::Result<ExitCode> {
        let store = ctx.store();
        for file in &self.files {
            for manifest in objects::read_manifests(file)? {
                if self.dry_run {
                    print_change(&objects::plan(&store, manifest).await?);
                    continue;
                }
                let name = format!("{} {}", manifest.kind.as_str(), manifest.name);
                let effect = objects::apply(&store, manifest).await?;
                println!("{name} {}", effect.as_str());
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}
