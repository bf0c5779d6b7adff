//! Conversion between the ledger's types and the messages that entries send each other.

use std::sync::Arc;

use crate::core::{GenerationNumber, TenantId, VmId};
use crate::ledger::key::{KeyId, LedgerKey};
use crate::ledger::table::{ClaimCompletion, EntryIdentity, KeyClaim, KeyState};
use crate::peer::generated::ledger::{ClaimReply, ClaimRequest, ClaimVerdict, FinishRequest};

/// Reply with `verdict` and without a stored response.
pub(super) fn reply(verdict: ClaimVerdict) -> ClaimReply {
    ClaimReply { verdict: verdict.into(), outcome: None }
}

/// Parses the claim of a request; `None` if it is malformed.
pub(super) fn parse_claim(request: &ClaimRequest) -> Option<KeyClaim> {
    let key = LedgerKey::parse(&TenantId::new(&request.tenant), &request.key)?;
    Some(KeyClaim {
        key,
        digest: request.request_digest.get(..16)?.try_into().ok()?,
        claim_id: request.claim_id.as_ref().try_into().ok()?,
        entry: EntryIdentity {
            vm: VmId::new(&request.entry_vm),
            incarnation: request.entry_incarnation,
        },
        generation: GenerationNumber(request.generation),
    })
}

/// Parses the outcome of a request; `None` if its claim id is malformed. The key's identity is left
/// zero for the caller to set.
pub(super) fn parse_completion(request: &FinishRequest) -> Option<ClaimCompletion> {
    let state = match &request.outcome {
        Some(outcome) => KeyState::Ran(Arc::new(outcome.clone().into())),
        None if request.did_not_run => KeyState::Released,
        None => KeyState::Unknown,
    };
    let claim_id = request.claim_id.as_ref().try_into().ok()?;
    Some(ClaimCompletion { id: KeyId([0; 16]), claim_id, state })
}
