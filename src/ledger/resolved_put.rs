//! A conditional write that is retried until its effect is known.

use std::time::Duration;

use heatherfall_platform_api::{ObjectDraft, PlatformStore, Precondition, Revision, StoreError};

/// First wait before a write whose effect is unknown is retried.
const MIN_RESOLVE_BACKOFF: Duration = Duration::from_millis(50);
/// Upper bound of that wait, which doubles with each retry.
const MAX_RESOLVE_BACKOFF: Duration = Duration::from_secs(1);

/// Told while the effect of a write is unknown.
pub(super) trait StallObserver {
    /// Called before each retry of a write whose effect is unknown.
    fn on_stall(&self);
}

/// Effect of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PutOutcome {
    /// The object was written, with this spec version.
    Written(Revision),
    /// Nothing was written, and no write is still under way.
    NoEffect,
    /// The precondition failed: another writer has changed the object.
    Conflict,
}

/// Writes `draft`, and after a lost response retries the same write until the platform tells its
/// effect: a conflict with an object that has the draft's change id means that an earlier attempt
/// took effect.
pub(super) async fn put_resolved<S: PlatformStore>(
    store: &S,
    draft: ObjectDraft,
    precondition: Precondition,
    observer: &impl StallObserver,
) -> PutOutcome {
    let mut is_in_doubt = false;
    let mut backoff = MIN_RESOLVE_BACKOFF;
    loop {
        match store.put(draft.clone(), precondition).await {
            Ok(object) => return PutOutcome::Written(object.spec_version),
            Err(StoreError::Conflict(Some(object))) if object.change_id == draft.change_id => {
                return PutOutcome::Written(object.spec_version);
            }
            Err(StoreError::Conflict(Some(_))) => return PutOutcome::Conflict,
            Err(StoreError::Conflict(None)) => match store.get(&draft.kind, &draft.name).await {
                Ok(object) if object.change_id == draft.change_id => {
                    return PutOutcome::Written(object.spec_version);
                }
                Ok(_) | Err(StoreError::NotFound) => return PutOutcome::Conflict,
                Err(_) => is_in_doubt = true,
            },
            Err(error) => {
                is_in_doubt |= error.is_effect_unknown();
                if !is_in_doubt {
                    return PutOutcome::NoEffect;
                }
            }
        }
        observer.on_stall();
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_RESOLVE_BACKOFF);
    }
}
