//! Fixtures, fakes and small clients that the tests share.

mod caller;
mod control_fleet;
mod daemon;
mod fake_upstream;
pub(crate) mod fleet;
mod gated_store;
mod ledger_cluster;
pub(crate) mod quota_fleet;
mod raw_http;
pub(crate) mod timed_upstream;

pub(crate) use self::caller::{CallerResponse, TestCaller};
pub(crate) use self::control_fleet::{ControlFleet, FleetNode, InMemoryNetwork, InMemoryTransport};
pub(crate) use self::daemon::DaemonProcess;
pub(crate) use self::fake_upstream::{
    AttemptRecorder, FakeBehaviour, FakeUpstreamClient, snapshot_for, three_upstream_snapshot,
};
pub(crate) use self::gated_store::{GatedStore, PausePoint};
pub(crate) use self::ledger_cluster::{
    LedgerCluster, LedgerNode, NodePause, TEST_EPOCH_MS, TestLedger, claim_intent, ledger_settings,
    single_node_ledger, vm_names,
};
pub(crate) use self::raw_http::{EntryFixture, RawResponse, RawUpstream, send_raw};
