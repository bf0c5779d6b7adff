//! Makes the next generation from the objects and publishes it.
//!
//! Whoever holds the compiler's lease tries, but only the conditional write of
//! `ConfigGeneration/current` decides: it fails if anybody has published since the version that
//! this round started from was read. A round that looks at older objects than the generation
//! before it was made from publishes nothing.

use std::sync::Arc;

use bytes::Bytes;
use heatherfall_platform_api::{
    MAX_VALUE_BYTES, ObjectDraft, ObjectEnvelope, PlatformStore, Precondition, Revision, StoreError,
};

use crate::config::compile::check_object;
use crate::config::generation::{
    GENERATION_KIND, GENERATION_NAME, GenerationContent, GenerationObject, MAX_FORMAT,
    RejectedObject,
};
use crate::config::generation_applier::{GenerationApplier, OfferOutcome};
use crate::config::object_set::ObjectSet;
use crate::core::{CONFIG_KINDS, GenerationNumber, ResultCode};

/// Attempts at reading back a write whose answer was lost.
const READ_BACK_ATTEMPTS: u32 = 3;

/// How a round ended without an error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PublishOutcome {
    /// A new generation is published.
    Published(GenerationNumber),
    /// The newest generation already says what the objects say.
    Unchanged(GenerationNumber),
}

/// Why a round published nothing.
#[derive(Clone, Debug, thiserror::Error)]
pub enum PublishError {
    /// The objects are older than those of the newest generation.
    #[error("objects at revision {found} are older than generation {generation} of {wanted}")]
    Stale {
        /// The newest generation.
        generation: GenerationNumber,
        /// Revision or version that it was made from.
        wanted: Revision,
        /// Revision or version that this round looked at.
        found: Revision,
    },
    /// Somebody else has published.
    #[error("another compiler has published")]
    Conflict,
    /// The content is larger than a value of the platform may be.
    #[error("content of {0} bytes is over the platform's limit")]
    TooLarge(usize),
    /// A live node does not read the format.
    #[error("a live node reads formats up to {max_common_format} only")]
    UnsupportedFormat {
        /// Newest format that every live node reads.
        max_common_format: u32,
    },
    /// The newest generation cannot be read by this node, which must not replace it.
    #[error("newest generation is unreadable: {0}")]
    Unreadable(String),
    /// The platform failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

impl PublishError {
    /// Result code of the error.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Stale { .. } => ResultCode::PlatformStale,
            Self::Conflict => ResultCode::WriteConflict,
            Self::TooLarge(_) => ResultCode::GenerationTooLarge,
            Self::UnsupportedFormat { .. } | Self::Unreadable(_) => {
                ResultCode::GenerationUnreadable
            }
            Self::Store(_) => ResultCode::PlatformUnavailable,
        }
    }
}

/// Publishes generations; one per node.
#[derive(Debug)]
pub struct GenerationPublisher<S> {
    store: Arc<S>,
    holder: Arc<GenerationApplier>,
}

/// The newest generation and the version of the object that holds it.
struct BaseGeneration {
    content: GenerationContent,
    precondition: Precondition,
    is_published: bool,
}

impl<S: PlatformStore> GenerationPublisher<S> {
    /// Creates a publisher that applies what it reads and writes to `holder`.
    pub fn new(store: Arc<S>, holder: Arc<GenerationApplier>) -> Self {
        Self { store, holder }
    }

    /// Publishes the next generation if `objects` differ from the newest one. `oldest_format` is
    /// the newest format that every live node reads.
    ///
    /// # Errors
    ///
    /// Returns why nothing was published.
    pub async fn publish(
        &self,
        objects: &ObjectSet,
        oldest_format: u32,
    ) -> Result<PublishOutcome, PublishError> {
        let base = self.read_base().await?;
        check_not_stale(&base.content, objects)?;
        let next = next_generation(&base.content, objects);
        if base.content.number == GenerationNumber(0) && next.objects.is_empty() {
            return Ok(PublishOutcome::Unchanged(base.content.number));
        }
        if base.is_published
            && next.objects == base.content.objects
            && next.rejected == base.content.rejected
        {
            return Ok(PublishOutcome::Unchanged(base.content.number));
        }
        if next.format > oldest_format {
            return Err(PublishError::UnsupportedFormat { max_common_format: oldest_format });
        }
        let number = next.number;
        self.write(next, base.precondition).await?;
        log::info!(target: "config", "generation published number={number}");
        Ok(PublishOutcome::Published(number))
    }

    /// Reads the newest generation. A node that knows a newer one than the platform shows starts
    /// from its own, so that a lost or restored object cannot take numbers back.
    async fn read_base(&self) -> Result<BaseGeneration, PublishError> {
        let (published, precondition) = match self.store.get(GENERATION_KIND, GENERATION_NAME).await
        {
            Ok(object) => {
                let precondition = Precondition::SpecVersion(object.spec_version);
                (Some(self.take(&object)?), precondition)
            }
            Err(StoreError::NotFound) => (None, Precondition::Absent),
            Err(error) => return Err(error.into()),
        };
        let held = self.holder.current().map(|held| held.content.clone());
        let published_number = published.as_ref().map(|content| content.number);
        match held {
            Some(held) if published_number.is_none_or(|number| number < held.number) => {
                Ok(BaseGeneration { content: held, precondition, is_published: false })
            }
            _ => {
                let is_published = published.is_some();
                let content = published.unwrap_or_default();
                Ok(BaseGeneration { content, precondition, is_published })
            }
        }
    }

    fn take(&self, object: &ObjectEnvelope) -> Result<GenerationContent, PublishError> {
        let bytes = Bytes::from(object.spec.to_string());
        if let OfferOutcome::Rejected { message, .. } = self.holder.offer(&bytes) {
            return Err(PublishError::Unreadable(message));
        }
        serde_json::from_slice(&bytes).map_err(|error| PublishError::Unreadable(error.to_string()))
    }

    async fn write(
        &self,
        next: GenerationContent,
        precondition: Precondition,
    ) -> Result<(), PublishError> {
        let spec =
            serde_json::to_value(&next).map_err(|error| StoreError::Protocol(error.to_string()))?;
        let bytes = Bytes::from(spec.to_string());
        if bytes.len() > MAX_VALUE_BYTES {
            return Err(PublishError::TooLarge(bytes.len()));
        }
        let change_id = uuid::Uuid::now_v7().to_string();
        let draft = ObjectDraft {
            kind: GENERATION_KIND.to_owned(),
            name: GENERATION_NAME.to_owned(),
            spec,
            change_id: change_id.clone(),
            ..ObjectDraft::default()
        };
        match self.store.put(draft, precondition).await {
            Ok(_) => {}
            Err(StoreError::Conflict(_)) => return Err(PublishError::Conflict),
            Err(StoreError::TooLarge(bytes)) => return Err(PublishError::TooLarge(bytes)),
            Err(error) if error.is_effect_unknown() => self.recognise(&change_id, error).await?,
            Err(error) => return Err(error.into()),
        }
        self.holder.offer(&bytes);
        Ok(())
    }

    /// Finds out whether a write whose answer was lost took effect.
    async fn recognise(&self, change_id: &str, lost: StoreError) -> Result<(), PublishError> {
        for _ in 0..READ_BACK_ATTEMPTS {
            match self.store.get(GENERATION_KIND, GENERATION_NAME).await {
                Ok(object) if object.change_id == change_id => return Ok(()),
                // A stale read shows the object before the write, so nothing follows from it.
                Ok(_) | Err(_) => continue,
            }
        }
        Err(lost.into())
    }
}

/// Refuses objects that are older than those of the newest generation.
fn check_not_stale(base: &GenerationContent, objects: &ObjectSet) -> Result<(), PublishError> {
    let generation = base.number;
    if objects.revision() < base.source_revision {
        let (wanted, found) = (base.source_revision, objects.revision());
        return Err(PublishError::Stale { generation, wanted, found });
    }
    for kind in CONFIG_KINDS {
        for object in objects.objects_of_kind(kind.as_str()) {
            let wanted = base.seen_version(&object.kind, &object.name);
            let found = object.spec_version;
            if found < wanted {
                return Err(PublishError::Stale { generation, wanted, found });
            }
        }
    }
    Ok(())
}

/// The generation after `base` that `objects` make. A faulty object is rejected, and the version
/// that `base` holds stays in force.
pub fn next_generation(base: &GenerationContent, objects: &ObjectSet) -> GenerationContent {
    let number = GenerationNumber(base.number.0 + 1);
    let mut next = GenerationContent {
        number,
        format: MAX_FORMAT,
        source_revision: objects.revision(),
        ..GenerationContent::default()
    };
    for kind in CONFIG_KINDS {
        for object in objects.objects_of_kind(kind.as_str()) {
            let known = base.find(&object.kind, &object.name);
            if let Some(known) = known
                && known.version == object.spec_version
            {
                next.objects.push(known.clone());
                continue;
            }
            match check_object(kind, &object.name, &object.spec) {
                Ok(()) => next.objects.push(GenerationObject {
                    kind: object.kind.clone(),
                    name: object.name.clone(),
                    labels: object.labels.clone(),
                    spec: object.spec.clone(),
                    version: object.spec_version,
                    since: number,
                }),
                Err(fault) => {
                    next.objects.extend(known.cloned());
                    next.rejected.push(RejectedObject {
                        kind: object.kind.clone(),
                        name: object.name.clone(),
                        version: object.spec_version,
                        code: fault.code.to_string(),
                        message: fault.message,
                    });
                }
            }
        }
    }
    next
}
