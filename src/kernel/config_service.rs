//! Follows the configuration objects and publishes compiled snapshots.
//!
//! ```text
//! list all kinds -> compile -> publish -> watch -> apply -> compile -> publish ...
//!      ^                                    |
//!      +---- error, compaction, silence ----+
//! ```

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kameo::error::ActorStopReason;
use kameo::message::{Context, Message};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::config::{ObjectSet, compile};
use crate::core::{CONFIG_KINDS, GenerationNumber, SharedSnapshot};
use crate::membership::ConfigFreshness;
use crate::platform::{PlatformStore, StoreError, WatchRequest};

/// Longest wait of one watch call; each answer confirms that the configuration is the newest.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Pause after a failed platform call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// What the service needs.
#[derive(Debug)]
pub struct ConfigServiceArgs<S> {
    /// The platform.
    pub store: Arc<S>,
    /// Where snapshots are published.
    pub snapshot: SharedSnapshot,
    /// Where confirmations are recorded.
    pub freshness: Arc<ConfigFreshness>,
}

/// The service.
#[derive(Debug)]
pub struct ConfigService<S: PlatformStore> {
    snapshot: SharedSnapshot,
    freshness: Arc<ConfigFreshness>,
    stop: CancellationToken,
    _store: std::marker::PhantomData<S>,
}

/// The objects as the platform had them at some time after `asked`.
struct ObjectsChanged {
    objects: ObjectSet,
    asked: Instant,
}

impl<S: PlatformStore> Actor for ConfigService<S> {
    type Args = ConfigServiceArgs<S>;
    type Error = Infallible;

    async fn on_start(args: Self::Args, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let stop = CancellationToken::new();
        tokio::spawn(follow(args.store, actor.downgrade(), stop.clone()));
        Ok(Self {
            snapshot: args.snapshot,
            freshness: args.freshness,
            stop,
            _store: std::marker::PhantomData,
        })
    }

    async fn on_stop(
        &mut self,
        _actor: WeakActorRef<Self>,
        _reason: ActorStopReason,
    ) -> Result<(), Infallible> {
        self.stop.cancel();
        Ok(())
    }
}

impl<S: PlatformStore> Message<ObjectsChanged> for ConfigService<S> {
    type Reply = ();

    async fn handle(&mut self, message: ObjectsChanged, _ctx: &mut Context<Self, Self::Reply>) {
        self.publish(&message.objects);
        self.freshness.confirm(message.asked.elapsed());
    }
}

impl<S: PlatformStore> ConfigService<S> {
    fn publish(&self, objects: &ObjectSet) {
        let generation = GenerationNumber(objects.revision());
        let previous = self.snapshot.load_full();
        if previous.as_ref().is_some_and(|previous| previous.generation >= generation) {
            return;
        }
        let outcome = compile(objects, generation, previous.as_deref());
        for fault in &outcome.faults {
            log::warn!(
                target: "config",
                "object left out kind={} name={} code={} reason={:?}",
                fault.kind.as_str(), fault.name, fault.code, fault.message,
            );
        }
        log::info!(target: "config", "generation in force number={generation}");
        self.snapshot.store(Some(Arc::new(outcome.snapshot)));
    }
}

async fn follow<S: PlatformStore>(
    store: Arc<S>,
    actor: WeakActorRef<ConfigService<S>>,
    stop: CancellationToken,
) {
    while !stop.is_cancelled() {
        let round = stop.run_until_cancelled(list_and_watch(&*store, &actor));
        if let Some(Err(error)) = round.await {
            log::warn!(target: "config", "platform call failed reason={error}");
            let _ = stop.run_until_cancelled(tokio::time::sleep(RETRY_PAUSE)).await;
        }
    }
}

async fn list_and_watch<S: PlatformStore>(
    store: &S,
    actor: &WeakActorRef<ConfigService<S>>,
) -> Result<(), StoreError> {
    let mut asked = Instant::now();
    let mut objects = ObjectSet::default();
    let mut lowest = u64::MAX;
    for kind in CONFIG_KINDS {
        let list = store.list(kind.as_str(), "").await?;
        lowest = lowest.min(list.revision);
        objects.replace_kind(kind.as_str(), list);
    }
    objects.set_revision(lowest);
    let kinds: Vec<String> = CONFIG_KINDS.iter().map(|kind| kind.as_str().to_owned()).collect();
    loop {
        let Some(actor) = actor.upgrade() else { return Ok(()) };
        let _ = actor.tell(ObjectsChanged { objects: objects.clone(), asked }).await;
        drop(actor);
        let since = objects.revision();
        let request = WatchRequest { kinds: kinds.clone(), since, wait: WATCH_WAIT };
        asked = Instant::now();
        objects.apply(store.watch(request).await?);
    }
}
