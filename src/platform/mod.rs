//! The platform's object store: its interface and a client over HTTP.

mod http_store;
mod json_client;

pub use heatherfall_platform_api::{
    FieldShape, LabelMap, MAX_VALUE_BYTES, ObjectDraft, ObjectEnvelope, ObjectList, PlatformStore,
    Precondition, Revision, SpecShape, StoreEra, StoreError, StorePosition, VmList, VmRecord,
    VmState, WatchBatch, WatchEvent, WatchRequest,
};

pub use self::http_store::{HttpStore, HttpStoreSettings};
pub use self::json_client::{JsonClient, JsonRequest, JsonResponse};
