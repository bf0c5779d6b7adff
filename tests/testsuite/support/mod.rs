//! Builders and small clients that the tests share.

mod caller;
mod control_fleet;
mod daemon;
mod fake_upstream;
pub(crate) mod fleet;
mod gated_store;
mod ledger_nodes;
mod raw_http;

pub(crate) use self::caller::{CallerReply, TestCaller};
pub(crate) use self::control_fleet::{ControlFleet, FleetNode, MemoryNetwork, MemoryTransport};
pub(crate) use self::daemon::DaemonProcess;
pub(crate) use self::fake_upstream::{
    FakeClient, FakeStep, RunLedger, plane_fixture, snapshot_for,
};
pub(crate) use self::gated_store::{GatedStore, PausePoint};
pub(crate) use self::ledger_nodes::{
    FreezePoint, LedgerNode, LedgerNodes, TEST_ORIGIN_MS, TestLedger, claim_intent,
    ledger_settings, single_ledger, vm_names,
};
pub(crate) use self::raw_http::{EntryFixture, RawAnswer, RawUpstream, exchange_raw};
