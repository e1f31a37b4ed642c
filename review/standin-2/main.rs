//! Stand-ins for the cases of the second review: the platform's store, a proxy in front of it, backends and clients, and
//! the nodes as child processes. It uses the standard library only.
//!
//! `review-2-standin CASE RECORD` plays one case and writes what was sent, answered and run to the file RECORD. It exits
//! with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the environment, it
//! plays the same case without the disruption.

use std::{
    collections::BTreeMap,
    env, fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio, id as process_id},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

mod backend;
mod cases;
mod client;
mod nodes;
mod store;

/// Program that the deploy file starts on each machine.
const NODE_PROGRAM: &str = "target/release/laurelstall-sidecar";

/// What was sent, answered and run, with times in ms since the start of the case.
struct Record {
    start: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    fn new() -> Arc<Self> {
        Arc::new(Self { start: Instant::now(), lines: Mutex::default() })
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn note(&self, text: impl Into<String>) {
        let line = (self.now_ms(), text.into());
        lock(&self.lines).push(line);
    }

    fn write(&self, path: &Path) -> io::Result<()> {
        let mut text = String::new();
        for (at_ms, line) in lock(&self.lines).iter() {
            text += &format!("{:>7}.{:03} s  {line}\n", at_ms / 1_000, at_ms % 1_000);
        }
        fs::write(path, text)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption is played.
fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

/// The head of a request or an answer.
#[derive(Debug, Default, Clone)]
struct Head {
    first_line: String,
    /// Names in lower case.
    headers: Vec<(String, String)>,
}

impl Head {
    fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut head = Self::default();
        let mut line = String::new();
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            let text = line.trim_end();
            if text.is_empty() {
                if head.first_line.is_empty() {
                    continue;
                }
                return Ok(Some(head));
            }
            if head.first_line.is_empty() {
                head.first_line = text.to_owned();
            } else if let Some((name, value)) = text.split_once(':') {
                head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    fn content_length(&self) -> usize {
        self.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }

    /// Method and path of a request.
    fn request_line(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }
}

/// Reads the body that belongs to `head`; fails if the connection ends before it does.
fn read_body(head: &Head, reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    if !head.is_chunked() {
        let mut body = vec![0; head.content_length()];
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk)?;
        chunk.truncate(length);
        if length == 0 {
            return Ok(body);
        }
        body.extend(chunk);
    }
}

fn main() -> ExitCode {
    let arguments = env::args().collect::<Vec<_>>();
    let [_, case, record_path] = arguments.as_slice() else {
        eprintln!("wanted: CASE RECORD");
        return ExitCode::from(2);
    };
    nodes::watch_time();
    let record = Record::new();
    let result = cases::play(case, &record);
    let code = match &result {
        Ok(broken) if broken.is_empty() => {
            record.note("the rule held");
            0
        }
        Ok(broken) => {
            for line in broken {
                record.note(format!("BROKEN: {line}"));
                println!("BROKEN: {line}");
            }
            1
        }
        Err(error) => {
            record.note(format!("the case could not run: {error}"));
            eprintln!("the case could not run: {error}");
            2
        }
    };
    if let Err(error) = record.write(Path::new(record_path)) {
        eprintln!("{record_path}: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
