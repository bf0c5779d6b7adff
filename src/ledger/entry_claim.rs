//! The entry's side of a claim: sends it to the owner and maps the reply for the request plane.

use bytes::Bytes;
use heatherfall_platform_api::PlatformStore;
use tokio::time::Instant;

use crate::core::ResultCode;
use crate::ledger::claim::{ClaimDecision, ClaimGrant, ClaimIntent, ClaimLedger, ClaimOutcome};
use crate::ledger::claim_message::reply;
use crate::ledger::key::LedgerKey;
use crate::ledger::node_ledger::NodeLedger;
use crate::ledger::table::ClaimId;
use crate::ledger::transport::LedgerTransport;
use crate::peer::generated::ledger::{ClaimRequest, ClaimVerdict, FinishRequest};

impl<S: PlatformStore, T: LedgerTransport> ClaimLedger for NodeLedger<S, T> {
    async fn claim(&self, intent: ClaimIntent) -> ClaimDecision {
        let Some(key) = LedgerKey::parse(&intent.tenant, &intent.key) else {
            return ClaimDecision::Refused(ResultCode::KeyMalformed);
        };
        if self.check_key_time(key.time_ms) == Some(ClaimVerdict::Malformed) {
            return ClaimDecision::Refused(ResultCode::KeyMalformed);
        }
        let identity = &self.shared.context.ownership.identity;
        let claim_id = self.new_claim_id();
        let request = ClaimRequest {
            tenant: intent.tenant.as_str().to_owned(),
            key: intent.key.clone(),
            request_digest: Bytes::copy_from_slice(&intent.digest),
            claim_id: Bytes::copy_from_slice(&claim_id),
            generation: intent.generation.0,
            entry_vm: identity.vm.as_str().to_owned(),
            entry_incarnation: identity.incarnation,
            is_owner_unreachable: false,
        };
        let grant = ClaimGrant { tenant: intent.tenant, key: intent.key, claim_id };
        let decide_by = Instant::now() + self.shared.context.settings.claim_timeout;
        let end = decide_by.min(intent.deadline);
        let decided = tokio::time::timeout_at(end, self.claim_until_decided(&request)).await;
        let decided = decided.unwrap_or_else(|_| reply(ClaimVerdict::Unavailable));
        match decided.verdict() {
            ClaimVerdict::Granted => ClaimDecision::Granted(grant),
            ClaimVerdict::Finished => {
                ClaimDecision::Finished(decided.outcome.unwrap_or_default().into())
            }
            ClaimVerdict::InProgress => ClaimDecision::Refused(ResultCode::KeyInProgress),
            ClaimVerdict::Unknown => ClaimDecision::Refused(ResultCode::OutcomeUnknown),
            ClaimVerdict::Mismatch => ClaimDecision::Refused(ResultCode::KeyMismatch),
            ClaimVerdict::Expired => ClaimDecision::Refused(ResultCode::KeyExpired),
            ClaimVerdict::Malformed => ClaimDecision::Refused(ResultCode::KeyMalformed),
            ClaimVerdict::Full => ClaimDecision::Refused(ResultCode::LedgerFull),
            ClaimVerdict::Unspecified | ClaimVerdict::NotOwner | ClaimVerdict::Unavailable => {
                self.release_ungranted(grant);
                ClaimDecision::Refused(ResultCode::LedgerUnavailable)
            }
        }
    }

    async fn finish(&self, grant: ClaimGrant, outcome: ClaimOutcome) {
        self.finish_until_recorded(self.finish_request(grant, outcome)).await;
    }
}

impl<S: PlatformStore, T: LedgerTransport> NodeLedger<S, T> {
    fn new_claim_id(&self) -> ClaimId {
        let mut id = [0; 16];
        id[..8].copy_from_slice(&self.random_bits().to_be_bytes());
        id[8..].copy_from_slice(&self.random_bits().to_be_bytes());
        id
    }

    fn finish_request(&self, grant: ClaimGrant, outcome: ClaimOutcome) -> FinishRequest {
        let did_not_run = outcome == ClaimOutcome::DidNotRun;
        let response = match &outcome {
            ClaimOutcome::Ran(response) => Some(response.into()),
            ClaimOutcome::DidNotRun | ClaimOutcome::Unknown => None,
        };
        FinishRequest {
            tenant: grant.tenant.as_str().to_owned(),
            key: grant.key,
            claim_id: Bytes::copy_from_slice(&grant.claim_id),
            outcome: response,
            did_not_run,
            is_owner_unreachable: false,
        }
    }

    /// Releases the key of a claim that was refused without a decision: an owner may have made it
    /// durable, and the key would otherwise stay held by a request that was never dispatched.
    fn release_ungranted(&self, grant: ClaimGrant) {
        let ledger = self.clone();
        let request = self.finish_request(grant, ClaimOutcome::DidNotRun);
        tokio::spawn(async move { ledger.finish_until_recorded(request).await });
    }
}
