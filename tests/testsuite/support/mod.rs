//! Builders and small clients that the tests share.

mod caller;
mod daemon;

pub(crate) use self::caller::TestCaller;
pub(crate) use self::daemon::DaemonProcess;
