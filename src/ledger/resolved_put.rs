//! A conditional write that ends only when its effect is known.

use std::time::Duration;

use heatherfall_platform_api::{ObjectDraft, PlatformStore, Precondition, Revision, StoreError};

/// First pause before a write whose effect is unknown is sent again.
const MIN_RESOLVE_BACKOFF: Duration = Duration::from_millis(50);
/// Longest such pause.
const MAX_RESOLVE_BACKOFF: Duration = Duration::from_secs(1);

/// Called while a write's effect is unknown.
pub(super) trait StallObserver {
    /// The last write has neither succeeded nor failed.
    fn on_stall(&self);
}

/// How a write ended whose every doubt has been resolved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PutOutcome {
    /// The object is written, with this version.
    Written(Revision),
    /// Nothing was written and nothing will be.
    NoEffect,
    /// The object is not as the precondition wants it.
    Conflict,
}

/// Writes, and after a lost answer writes the same again until the platform says what happened:
/// a conflict with our own change id means that an earlier try took effect.
pub(super) async fn put_resolved<S: PlatformStore>(
    store: &S,
    draft: ObjectDraft,
    precondition: Precondition,
    observer: &impl StallObserver,
) -> PutOutcome {
    let mut is_in_doubt = false;
    let mut pause = MIN_RESOLVE_BACKOFF;
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
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_RESOLVE_BACKOFF);
    }
}
