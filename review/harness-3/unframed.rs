//! A target's answer has no length and ends with its connection, which is reset halfway.

use std::io::Read;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{Connection, request};
use crate::target::Mode;
use crate::world::{Size, World};

/// One in so many of the answers of one of the two targets: a share of 0.05.
const EVERY: u32 = 20;
/// The trouble comes so often, for so long, with a pause after it.
const TIMES: usize = 5;
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const CALM_TIME: Duration = Duration::from_secs(1);
/// Larger than what a target reads at once, so that some of it stays unread.
const REQUEST_BYTES: usize = 200_000;

/// Whether an answer that ends with the orderly end of its connection is complete for its reader.
fn looks_complete(answer: &[u8]) -> bool {
    let Some(end) = answer.windows(4).position(|four| four == b"\r\n\r\n") else { return false };
    let head = String::from_utf8_lossy(&answer[..end]).to_lowercase();
    let body = &answer[end + 4..];
    if !head.split("\r\n").next().is_some_and(|line| line.contains(" 200")) {
        return false;
    }
    if head.contains("transfer-encoding: chunked") {
        return body.ends_with(b"0\r\n\r\n");
    }
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    match length.map(|length| length.parse::<usize>()) {
        Some(Ok(length)) => body.len() >= length,
        Some(Err(_)) => false,
        // The end of the connection ends the answer.
        None => true,
    }
}

pub fn run(folder: PathBuf) -> Verdict {
    let world = World::start(folder, Size { lookup: 2, other: 0, packs: 2, entries: 1 })?;
    let faulty = world.service("packs")[0].clone();
    let began = Instant::now();
    let whole = TIMES as u32 * (TROUBLE_TIME + CALM_TIME);
    let (mut mixed, mut number) = (0, 0);
    while began.elapsed() < whole {
        let into = began.elapsed().as_millis() % (TROUBLE_TIME + CALM_TIME).as_millis();
        let is_faulty = world.has_trouble && into < TROUBLE_TIME.as_millis();
        faulty.set_mode(match is_faulty {
            true => Mode::ResetsUnframed("HTTP/1.0", EVERY),
            false => Mode::Sound(20),
        });
        number += 1;
        let id = format!("u{number}");
        let mut connection = Connection::open(world.entries[0].callers, Duration::from_secs(4))?;
        let mut bytes = request("POST", "/pay/1", &id, 3000, &vec![b'o'; REQUEST_BYTES]);
        let close = b"Connection: close\r\n";
        let at = bytes.windows(2).position(|two| two == b"\r\n").map_or(0, |at| at + 2);
        bytes.splice(at..at, close.iter().copied());
        world.record.line(&format!("client sends {id}"));
        connection.write(&bytes)?;
        let mut answer = Vec::new();
        let end = connection.stream.read_to_end(&mut answer);
        let first = answer.split(|byte| *byte == b'\r').next().unwrap_or_default();
        let is_complete = end.is_ok() && looks_complete(&answer);
        world.record.line(&format!(
            "client gets {id} {:?} bytes={} end={end:?} looks complete: {is_complete}",
            String::from_utf8_lossy(first),
            answer.len()
        ));
        // A target that has answered whole has sent the id back.
        let is_whole = answer.windows(id.len()).rposition(|part| part == id.as_bytes());
        let is_whole = is_whole.is_some_and(|at| at + id.len() + 8 > answer.len());
        mixed += usize::from(is_complete && !is_whole);
        std::thread::sleep(Duration::from_millis(20));
    }
    world.record.say(&format!("answers: {number}, cut short and complete for the caller: {mixed}"));
    Ok(mixed == 0)
}
