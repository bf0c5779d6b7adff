//! Follows the VM list and publishes the addresses for callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kameo::error::ActorStopReason;
use tokio_util::sync::CancellationToken;

use crate::core::{FailureDomain, VmId};
use crate::membership::{AddressBook, AddressEntry};
use crate::platform::{PlatformStore, VmList, VmState};

/// Time between two reads of the VM list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// What the service needs.
#[derive(Debug)]
pub struct MembershipServiceArgs<S> {
    /// The platform.
    pub store: Arc<S>,
    /// Where addresses are published.
    pub addresses: Arc<AddressBook>,
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
            Ok(list) => args.addresses.replace(live_entries(list)),
            Err(error) => log::warn!(target: "membership", "vm list failed reason={error}"),
        }
        if stop.run_until_cancelled(tokio::time::sleep(POLL_INTERVAL)).await.is_none() {
            return;
        }
    }
}

fn live_entries(list: VmList) -> Vec<AddressEntry> {
    let mut entries = Vec::with_capacity(list.vms.len());
    for vm in list.vms {
        if vm.state != VmState::Live {
            continue;
        }
        entries.push(AddressEntry {
            vm: VmId::new(&vm.id),
            address: vm.address,
            failure_domain: FailureDomain::new(&vm.failure_domain),
        });
    }
    entries
}
