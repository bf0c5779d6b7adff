//! Follows the VM list and publishes the membership view.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kameo::error::ActorStopReason;
use tokio_util::sync::CancellationToken;

use crate::core::{FailureDomain, VmId};
use crate::membership::{EntryRecord, EntryState, MembershipView, SharedMembership};
use crate::platform::{PlatformStore, VmList, VmState};

/// Time between two reads of the VM list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// What the service needs.
#[derive(Debug)]
pub struct MembershipServiceArgs<S> {
    /// The platform.
    pub store: Arc<S>,
    /// Where the view is published.
    pub membership: SharedMembership,
}

/// The service.
#[derive(Debug)]
pub struct MembershipService<S: PlatformStore> {
    stop: CancellationToken,
    _store: std::marker::PhantomData<S>,
}

impl<S: PlatformStore> Actor for MembershipService<S> {
    type Args = MembershipServiceArgs<S>;
    type Error = Infallible;

    async fn on_start(args: Self::Args, _actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let stop = CancellationToken::new();
        tokio::spawn(follow(args, stop.clone()));
        Ok(Self { stop, _store: std::marker::PhantomData })
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

async fn follow<S: PlatformStore>(args: MembershipServiceArgs<S>, stop: CancellationToken) {
    loop {
        match args.store.vms().await {
            Ok(list) => args.membership.store(Arc::new(view_of(list))),
            Err(error) => log::warn!(target: "membership", "vm list failed reason={error}"),
        }
        if stop.run_until_cancelled(tokio::time::sleep(POLL_INTERVAL)).await.is_none() {
            return;
        }
    }
}

fn view_of(list: VmList) -> MembershipView {
    let mut entries = Vec::with_capacity(list.vms.len());
    for vm in list.vms {
        let (Ok(caller_address), Ok(peer_address)) = (vm.address.parse(), vm.peer_address.parse())
        else {
            log::warn!(target: "membership", "address unreadable vm={}", vm.id);
            continue;
        };
        let state = match vm.state {
            VmState::Live => EntryState::Ready,
            VmState::Leaving => EntryState::Leaving,
        };
        entries.push(EntryRecord {
            vm: VmId::new(&vm.id),
            failure_domain: FailureDomain::new(&vm.failure_domain),
            caller_address,
            peer_address,
            state,
        });
    }
    MembershipView { entries }
}
