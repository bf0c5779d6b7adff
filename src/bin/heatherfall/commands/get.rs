//! `heatherfall get`.

use std::process::ExitCode;

use clap::Args;
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use heatherfall::ops::{GlobalContext, ObjectError, objects};
use heatherfall::platform::PlatformStore;
use miette::IntoDiagnostic;

/// Show objects as a table, or in full with `--json`.
///
/// Exit codes: 0 shown, 1 the named object does not exist; others as in `heatherfall --help`.
#[derive(Args, Debug)]
pub(crate) struct GetArgs {
    /// Kind of the objects.
    kind: String,
    /// Name of one object; without it, all objects of the kind are shown.
    name: Option<String>,
}

impl GetArgs {
    pub(crate) async fn exec(self, ctx: &GlobalContext) -> miette::Result<ExitCode> {
        let kind = objects::parse_kind(&self.kind)?;
        let store = ctx.store();
        let list = store.list(kind.as_str(), self.name.as_deref().unwrap_or_default()).await;
        let mut items = list.map_err(ObjectError::Unavailable)?.items;
        if let Some(name) = &self.name {
            items.retain(|object| object.name == *name);
        }
        if ctx.is_json {
            println!("{}", serde_json::to_string_pretty(&items).into_diagnostic()?);
        } else {
            let mut table = Table::new();
            table.load_style(NOTHING).set_header(["NAME", "VERSION", "SPEC", "STATUS"]);
            for object in &items {
                table.add_row([
                    object.name.clone(),
                    object.spec_version.to_string(),
                    object.spec.to_string(),
                    object.status.to_string(),
                ]);
            }
            println!("{}", table.trim_fmt());
        }
        let is_missing = self.name.is_some() && items.is_empty();
        Ok(if is_missing { ExitCode::FAILURE } else { ExitCode::SUCCESS })
    }
}
