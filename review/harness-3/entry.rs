//! Entries as separate processes, started with the command of the deploy file, and the platform that
//! starts them again and kills those over their memory.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/heatherfall-entry";
/// Memory of a machine, as on the sheet of the smallest deployment.
pub const MEMORY_MB: u64 = 260;
/// Pause before a process that has ended starts again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const FIRST_PORT: u16 = 7400;

/// What an entry needs.
#[derive(Clone)]
pub struct EntryPlan {
    pub name: String,
    pub zone: String,
    /// Settings beside identity and addresses, without braces.
    pub settings: String,
}

/// A machine with an entry.
pub struct Entry {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Arc<Mutex<Child>>,
    is_over: Arc<AtomicBool>,
    /// Times that the process ended by itself or by its memory.
    pub ends: Arc<AtomicU64>,
    pub peak_kb: Arc<AtomicU64>,
    folder: PathBuf,
}

fn address(index: usize, port: u16) -> SocketAddr {
    let process = std::process::id();
    let (high, low) = (64 + (process >> 8) % 128, process % 256);
    SocketAddr::from(([127, high as u8, low as u8, index as u8 + 1], FIRST_PORT + port))
}

fn start(folder: &PathBuf, log: &str) -> io::Result<Child> {
    let log = std::fs::OpenOptions::new().create(true).append(true).open(folder.join(log))?;
    let settings = folder.join("boot.conf");
    let mut command = Command::new(PROGRAM);
    command.env_clear().env("HEATHERFALL_BOOT", settings);
    command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
    command.spawn()
}

/// Value of a field of `/proc/PID/status` in KiB.
fn status_kb(pid: u32, field: &str) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with(field))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

impl Entry {
    pub fn start(
        index: usize,
        plan: &EntryPlan,
        store: SocketAddr,
        record: &Record,
    ) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-3-{}-{index}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let EntryPlan { name, zone, settings } = plan;
        let at = |port| address(index, port);
        let text = format!(
            "{{\"vm\":\"{name}\",\"failure_domain\":\"{zone}\",\"listen\":{{\"callers\":\"{}\",\"ready\":\"{}\",\"directory\":\"{}\",\"control\":\"{}\",\"peers\":\"{}\"}},\"store\":\"{store}\",{settings}}}",
            at(0),
            at(1),
            at(2),
            at(3),
            at(4)
        );
        std::fs::write(folder.join("boot.conf"), text)?;
        let child = Arc::new(Mutex::new(start(&folder, "log.txt")?));
        let entry = Self {
            callers: at(0),
            ready: at(1),
            child,
            is_over: Arc::default(),
            ends: Arc::default(),
            peak_kb: Arc::default(),
            folder,
        };
        entry.watch(name, record);
        Ok(entry)
    }

    /// Does what the platform does: kills a process over its memory, and starts ended ones again.
    fn watch(&self, name: &str, record: &Record) {
        let (child, is_over, ends) =
            (Arc::clone(&self.child), Arc::clone(&self.is_over), Arc::clone(&self.ends));
        let (peak_kb, folder) = (Arc::clone(&self.peak_kb), self.folder.clone());
        let (name, record) = (name.to_owned(), record.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
                let mut running = child.lock().unwrap();
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let peak = status_kb(running.id(), "VmHWM:").unwrap_or(0);
                peak_kb.fetch_max(peak, Ordering::SeqCst);
                let is_too_large = peak > MEMORY_MB * 1024;
                if is_too_large {
                    record.line(&format!("platform: {name} exceeds {MEMORY_MB} MB, killed"));
                    let _ = running.kill();
                    let _ = running.wait();
                }
                let has_ended = is_too_large || running.try_wait().is_ok_and(|end| end.is_some());
                if !has_ended {
                    continue;
                }
                ends.fetch_add(1, Ordering::SeqCst);
                record.line(&format!("platform: {name} has ended"));
                thread::sleep(RESTART_DELAY);
                if let Ok(next) = start(&folder, "log.txt") {
                    *running = next;
                }
            }
        });
    }

    /// Kills the process; the platform starts it again.
    pub fn kill(&self) {
        let _ = self.child.lock().unwrap().kill();
    }

    pub fn ends(&self) -> u64 {
        self.ends.load(Ordering::SeqCst)
    }

    pub fn peak_mb(&self) -> u64 {
        self.peak_kb.load(Ordering::SeqCst) / 1024
    }

    pub fn is_ready(&self) -> bool {
        crate::http::is_ready(self.ready)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
