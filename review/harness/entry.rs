//! Processes of the program of the deploy file, with settings as the template makes them.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{Conn, Response, message};
use crate::record::Record;

/// The program that `deploy/system.toml` runs, from the root of the repository.
const PROGRAM: &str = "target/release/heatherfall-entry";

pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    record: Record,
}

/// Settings that differ from one case to the next.
pub struct Deployment<'a> {
    pub store: SocketAddr,
    pub zones: &'a [&'a str],
    pub grace: &'a str,
    /// Settings that the template has only where the platform names them.
    pub optional: &'a str,
    pub folder: &'a Path,
}

/// First of the five ports of an entry.
const FIRST_PORT: u16 = 7001;

/// Address of an entry. Each entry of each run has a loopback address of its own, so that its ports
/// are free.
fn entry_address(port: u16, entry: usize) -> SocketAddr {
    let process = std::process::id();
    let (high, low) = (64 + (process >> 8) % 128, process % 256);
    SocketAddr::from(([127, high as u8, low as u8, entry as u8 + 1], FIRST_PORT + port))
}

impl Entry {
    /// Starts the entry with this index.
    pub fn start(
        index: usize,
        name: &str,
        zone: &str,
        deployment: &Deployment<'_>,
        record: &Record,
    ) -> Self {
        let [callers, ready, directory, control, peers] =
            [0, 1, 2, 3, 4].map(|port| entry_address(port, index));
        let mut regions = Vec::new();
        for zone in deployment.zones {
            regions.push(format!("\"{zone}\":\"region\""));
        }
        let text = format!(
            r#"// Settings of an entry. The platform fills in its fields.
{{
  "vm": "{name}",
  "failure_domain": "{zone}",
  "listen": {{
    "callers": "{callers}",
    "ready": "{ready}",
    "directory": "{directory}",
    "control": "{control}",
    "peers": "{peers}"
  }},
  "store": "{store}",
  "repeats": {{ "ratio": 0.2, "extra": 62, "window": "10s" }},
  "changes": {{ "config": "2000ms", "drain": "2000ms", "heartbeat": "1500ms" }},
  "probes": {{ "max_per_second": 60 }},
  "directory": {{ "lifetime": "5s" }},
  "memory_mb": 260,
  "pipelining": {{ "max_ahead": 8 }},
  "regions": {{{regions}}},
  {optional}
  "shutdown": {{ "grace": "{grace}" }},
  "log": {{ "format": "json", "level": "INFO" }}
}}
"#,
            store = deployment.store,
            regions = regions.join(","),
            grace = deployment.grace,
            optional = deployment.optional,
        );
        let settings = deployment.folder.join(format!("{name}.conf"));
        let log = deployment.folder.join(format!("{name}.log"));
        std::fs::write(&settings, text).expect("the settings can be written");
        let child = spawn(&settings, &log);
        record.line(&format!("entry {name} in zone {zone} started, pid {}", child.id()));
        let (name, record) = (name.to_owned(), record.clone());
        Self { name, callers, ready, directory, settings, log, child, record }
    }

    /// Sends a signal to the process by its id.
    pub fn signal(&self, signal: &str) {
        self.record.line(&format!("entry {} gets SIG{signal}", self.name));
        let command = format!("kill -{signal} {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Ends the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.settings, &self.log);
        self.record.line(&format!("entry {} started again, pid {}", self.name, self.child.id()));
    }

    /// Whether the readiness check gets a 200 response.
    pub fn is_ready(&self) -> bool {
        get(self.ready, "/-/ready").is_some_and(|response| response.status == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("a log file");
    Command::new(PROGRAM)
        .env("HEATHERFALL_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log file"))
        .stderr(log)
        .spawn()
        .expect("the program is built and the folder is the root of the repository")
}

/// A GET call to one of the addresses of an entry that are not for requests.
pub fn get(address: SocketAddr, path: &str) -> Option<Response> {
    let mut conn = Conn::open(address, Duration::from_secs(1)).ok()?;
    let fields = [("Host", address.to_string()), ("Connection", "close".to_owned())];
    conn.send(&message(&format!("GET {path} HTTP/1.1"), &fields, b"")).ok()?;
    conn.read_response(Instant::now() + Duration::from_secs(1)).ok()
}
