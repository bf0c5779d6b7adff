//! `heatherfall diff`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use heatherfall::ops::GlobalContext;
use heatherfall::ops::objects::{self, ApplyEffect, ObjectChange};
use serde_json::{Value, json};

/// Show what `apply` would change; writes nothing.
///
/// Exit codes: 0 no differences, 1 differences; others as in `heatherfall --help`.
#[derive(Args, Debug)]
pub(crate) struct DiffArgs {
    /// Files with one object or an array of objects, JSON with comments.
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
}

impl DiffArgs {
    pub(crate) async fn exec(self, ctx: &GlobalContext) -> miette::Result<ExitCode> {
        let store = ctx.store();
        let mut has_differences = false;
        for file in &self.files {
            for manifest in objects::read_manifests(file)? {
                let change = objects::plan(&store, manifest).await?;
                has_differences |= change.effect() != ApplyEffect::Unchanged;
                print_change(&change);
            }
        }
        Ok(if has_differences { ExitCode::FAILURE } else { ExitCode::SUCCESS })
    }
}

/// Prints the planned change of one object, one line per field value.
pub(crate) fn print_change(change: &ObjectChange) {
    let manifest = &change.manifest;
    println!("{} {} {}", manifest.kind.as_str(), manifest.name, change.effect().as_str());
    let before = match &change.current {
        Some(current) => json!({ "labels": current.labels, "spec": current.spec }),
        None => json!({}),
    };
    let after = json!({ "labels": manifest.labels, "spec": manifest.spec });
    print_difference("", Some(&before), Some(&after));
}

fn print_difference(path: &str, before: Option<&Value>, after: Option<&Value>) {
    if before == after {
        return;
    }
    let empty = serde_json::Map::new();
    let fields = |value: Option<&Value>| value.and_then(Value::as_object).cloned();
    let (old, new) = (fields(before), fields(after));
    if old.is_none() && new.is_none() {
        if let Some(before) = before {
            println!("  - {path}: {before}");
        }
        if let Some(after) = after {
            println!("  + {path}: {after}");
        }
        return;
    }
    let (old, new) = (old.unwrap_or_else(|| empty.clone()), new.unwrap_or(empty));
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        print_difference(&path, old.get(name), new.get(name));
    }
}
