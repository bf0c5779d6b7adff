//! `heatherfall watch`

use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use heatherfall::ops::{GlobalContext, objects};
use heatherfall::platform::{PlatformStore, WatchEvent, WatchRequest};

/// Longest wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Print changes of objects as they happen.
#[derive(Args, Debug)]
pub(crate) struct WatchArgs {
    /// Kind of the objects.
    kind: String,
}

impl WatchArgs {
    pub(crate) async fn exec(self, ctx: &GlobalContext) -> miette::Result<ExitCode> {
        let kind = objects::kind_named(&self.kind)?.as_str();
        let store = ctx.store();
        let list = store.list(kind, "").await.map_err(|error| objects::unavailable(&error))?;
        let mut since = list.revision;
        loop {
            let request = WatchRequest { kinds: vec![kind.to_owned()], since, wait: WATCH_WAIT };
            let batch = store.watch(request).await.map_err(|error| objects::unavailable(&error))?;
            since = batch.revision;
            for event in batch.events {
                match event {
                    WatchEvent::Put { object } => {
                        println!("{} put {kind} {} {}", object.version, object.name, object.spec);
                    }
                    WatchEvent::Delete { name, revision, .. } => {
                        println!("{revision} delete {kind} {name}");
                    }
                }
            }
        }
    }
}
