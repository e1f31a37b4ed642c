//! Stand-ins for the scripts of the review: a backend as a process of its own, and a driver that plays the platform's
//! store and the clients, starts the project's nodes and judges what the clients saw.
//!
//! Uses the standard library only. Every address is a loopback address; each machine has an address of its own.

use std::{
    collections::BTreeMap,
    env,
    fs::{self, File},
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// `HeartbeatMs` of the settings; a backend's entry goes after three of them without a write.
const HEARTBEAT: Duration = Duration::from_millis(1500);
const SLOTS: u32 = 12;
const SERVICE: &str = "huvo11a";
const HOST: &str = "hulo84.example";
/// A service whose machines only take requests of clients in the scripts.
const OTHER_SERVICE: &str = "kafi81c";
const MACHINES: usize = 6;
const OTHER_MACHINES: usize = 3;
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1000);

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        [_, "backend", address, id, pieces, piece_bytes, piece_ms] => {
            let answer = AnswerPlan {
                pieces: pieces.parse().expect("pieces"),
                piece_bytes: piece_bytes.parse().expect("bytes"),
                pause: Duration::from_millis(piece_ms.parse().expect("ms")),
            };
            run_backend(address, id, answer);
            ExitCode::SUCCESS
        }
        [_, "silent-backend", folder] => silent_backend(Path::new(folder)),
        [_, "silent-connections", folder] => silent_connections(Path::new(folder)),
        _ => {
            eprintln!("usage: standin backend ADDRESS ID PIECES BYTES MS | standin silent-backend FOLDER | standin silent-connections FOLDER");
            ExitCode::from(2)
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// HTTP/1.1, as far as it is needed here

struct Head {
    line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }
}

/// Reads a head; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut text = String::new();
        if reader.read_line(&mut text).ok()? == 0 {
            return None;
        }
        let text = text.trim_end();
        if text.is_empty() {
            return Some(Head { line: line.trim_end().to_owned(), headers });
        }
        let (name, value) = text.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a body with a length or in chunks; `None` if it breaks off.
fn read_body(head: &Head, reader: &mut impl BufRead) -> Option<Vec<u8>> {
    if head.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut piece = vec![0; size + 2];
            reader.read_exact(&mut piece).ok()?;
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&piece[..size]);
        }
    }
    let mut body = vec![0; head.number("content-length").unwrap_or(0) as usize];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

// ---------------------------------------------------------------------------------------------------------------------
// The backend

/// How a backend sends the body of an answer: it sends each piece as its work yields it.
#[derive(Clone, Copy)]
struct AnswerPlan {
    pieces: usize,
    piece_bytes: usize,
    pause: Duration,
}

fn run_backend(address: &str, id: &str, answer: AnswerPlan) {
    let listener = TcpListener::bind(address).expect("the backend's address is free");
    let running = Arc::new(AtomicU32::new(0));
    for stream in listener.incoming().flatten() {
        let (id, running) = (id.to_owned(), running.clone());
        thread::spawn(move || serve_backend_connection(stream, &id, answer, &running));
    }
}

fn serve_backend_connection(stream: TcpStream, id: &str, answer: AnswerPlan, running: &AtomicU32) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let head = read_head(&mut reader)?;
        read_body(&head, &mut reader)?;
        let load = format!("X-Laurelstall-Server-Load: {},0,{SLOTS},100\r\n", running.load(Ordering::SeqCst));
        if head.line.starts_with("GET /health ") {
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Laurelstall-Instance-Id: {id}\r\n{load}Content-Length: 0\r\n\r\n"
            );
            writer.write_all(text.as_bytes()).ok()?;
            continue;
        }
        let Some(request) = head.get("x-laurelstall-request-id") else {
            let text = "HTTP/1.1 400 Bad Request\r\nX-Laurelstall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            writer.write_all(text.as_bytes()).ok()?;
            continue;
        };
        let echo = format!("X-Laurelstall-Request-Id: {request}\r\n");
        if head.get("x-laurelstall-expect-instance").is_some_and(|expected| expected != id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\n{echo}X-Laurelstall-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            writer.write_all(text.as_bytes()).ok()?;
            continue;
        }
        if running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            running.fetch_sub(1, Ordering::SeqCst);
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\n{echo}X-Laurelstall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            writer.write_all(text.as_bytes()).ok()?;
            continue;
        }
        // One write, so that lines of several threads do not mix.
        let _ = std::io::stdout().write_all(format!("{id} runs {request}\n").as_bytes());
        let until = head.number("x-laurelstall-deadline-ms").map(|ms| Instant::now() + Duration::from_millis(ms));
        let sent = send_answer(&mut writer, &echo, &load, answer, until);
        running.fetch_sub(1, Ordering::SeqCst);
        sent?;
    }
}

/// Sends the answer piece by piece; ends the connection at the deadline that the backend was handed.
fn send_answer(
    writer: &mut TcpStream,
    echo: &str,
    load: &str,
    answer: AnswerPlan,
    until: Option<Instant>,
) -> Option<()> {
    let length = answer.pieces * answer.piece_bytes;
    let head = format!(
        "HTTP/1.1 200 OK\r\n{echo}X-Laurelstall-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n{load}Content-Length: {length}\r\n\r\n"
    );
    writer.write_all(head.as_bytes()).ok()?;
    for _ in 0..answer.pieces {
        if until.is_some_and(|until| Instant::now() >= until) {
            return None;
        }
        writer.write_all(&vec![b'b'; answer.piece_bytes]).ok()?;
        thread::sleep(answer.pause);
    }
    Some(())
}

// ---------------------------------------------------------------------------------------------------------------------
// The platform's store

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, (Option<String>, u64, u64)>,
    revision: u64,
}

/// The platform's store: `kv-range`, `kv-watch` and `kv-key`, each answer of one moment.
#[derive(Clone)]
struct Store {
    address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let store = Self { address: listener.local_addr().expect("bound"), state: Arc::default() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn write(&self, key: &str, value: Option<&str>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let made = state.items.get(key).filter(|item| item.0.is_some()).map_or(revision, |item| item.2);
        state.items.insert(key.to_owned(), (value.map(|value| base64(value.as_bytes())), revision, made));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let head = read_head(&mut reader)?;
            let target = head.line.split(' ').nth(1)?.to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let value = |name: &str| {
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')).map(unescape)
            };
            let prefix = value("PathPrefix").unwrap_or_default();
            let (status, body) = match path {
                "/kv-range" => (200, self.range(&prefix, &value("after").unwrap_or_default())),
                "/kv-watch" => {
                    let after = value("after").and_then(|text| text.parse().ok()).unwrap_or(0);
                    let wait = value("WaitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                    (200, self.watch(&prefix, after, Duration::from_millis(wait)))
                }
                "/kv-key" => {
                    let (state, _) = &*self.state;
                    let state = state.lock().unwrap();
                    let key = value("TlsKey").unwrap_or_default();
                    match state.items.get(&key).filter(|item| item.0.is_some()) {
                        Some(item) => (200, item_json(&key, item, Some(state.revision))),
                        None => (404, String::new()),
                    }
                }
                _ => (404, String::new()),
            };
            let text = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            writer.write_all(text.as_bytes()).ok()?;
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let (state, _) = &*self.state;
        let state = state.lock().unwrap();
        let live = state.items.iter().filter(|(key, item)| {
            item.0.is_some() && key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let items: Vec<String> = live.map(|(key, item)| item_json(key, item, None)).collect();
        format!("{{\"items\":[{}],\"more\":false,\"at\":{}}}", items.join(","), state.revision)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let mut events: Vec<_> = state
                .items
                .iter()
                .filter(|(key, item)| key.starts_with(prefix) && item.1 > after)
                .map(|(key, item)| (item.1, item_json(key, item, None)))
                .collect();
            events.sort();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events: Vec<String> = events.into_iter().map(|(_, text)| text).collect();
                return format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, item: &(Option<String>, u64, u64), at: Option<u64>) -> String {
    let (value, revision, made) = item;
    let at = at.map(|at| format!(",\"at\":{at}")).unwrap_or_default();
    match value {
        Some(value) => format!(
            "{{\"TlsKey\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"made\":{made},\"lease\":0{at}}}"
        ),
        None => format!("{{\"TlsKey\":\"{key}\",\"Revision\":{revision},\"gone\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0u32, |sum, byte| (sum << 8) | u32::from(*byte)) << (8 * (3 - group.len()));
        for place in 0..4 {
            if place <= group.len() {
                text.push(char::from(SIGNS[(number >> (18 - 6 * place)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn unescape(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, tail)) = rest.split_first() {
        let code = tail.get(..2).and_then(|code| u8::from_str_radix(std::str::from_utf8(code).ok()?, 16).ok());
        match (first, code) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

// ---------------------------------------------------------------------------------------------------------------------
// A small deployment

/// Ends a process that this program started when it is dropped.
struct Process(Child);

impl Process {
    fn signal(&self, name: &str) {
        let _ = Command::new("sh").args(["-c", &format!("kill {name} {}", self.0.id())]).status();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

struct Machine {
    ip: String,
    /// Folder and number of the node's settings and logs.
    folder: PathBuf,
    index: usize,
    backend_id: String,
    backend: Process,
    node: Process,
}

#[derive(Clone, Copy)]
struct Ports {
    app: u16,
    /// Port of a backend behind a path.
    behind: u16,
    ready: u16,
    outbound: u16,
    control: u16,
}

/// Ports that are free at all of these addresses, since ports are alike on all machines.
fn free_ports(ips: &[String]) -> Option<Ports> {
    let is_free = |port: u16| ips.iter().all(|ip| TcpListener::bind((ip.as_str(), port)).is_ok());
    let mut found = Vec::new();
    let first = 20_000 + (std::process::id() % 20_000) as u16;
    for port in first..first + 2_000 {
        if is_free(port) {
            found.push(port);
        }
        if let [app, behind, ready, outbound, control] = found[..] {
            return Some(Ports { app, behind, ready, outbound, control });
        }
    }
    None
}

/// The settings of a node, as the platform fills `platform/settings.toml` for a small deployment.
fn settings(ip: &str, zone: &str, service: &str, ports: Ports, seeds: &[String], store: SocketAddr) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}:{}\"", ports.control)).collect();
    let Ports { app, ready, outbound, control, .. } = ports;
    format!(
        r#"seeds = [{seeds}]

[node]
data_centre = "{zone}"
entry_address = "{ip}:{outbound}"
peer_address = "{ip}:{control}"
admin_address = "{ip}:{ready}"
takes_unlisted_peers = true
stop_linger_ms = 2300
stop_max_ms = 30000
stop_grace_s = 6
link_mbps = 1000.0

[target]
service = "main/{service}"
address = "{ip}:{app}"
connect_timeout_ms = 300
address_reuse_s = 2

[platform]
address = "{store}"
read_timeout_ms = 1000
watch_wait_ms = 2500
repeats.share = 0.2
repeats.reserve = 58
regions.hall-a = "svealand"
regions.hall-b = "svealand"
regions.hall-c = "svealand"

[callers]
connections = 3000
head_timeout_ms = 60000
idle_timeout_ms = 60000

[log]
decisions = "json"
"#,
        seeds = seeds.join(",")
    )
}

fn server_entry(ip: &str, port: u16, zone: &str, service: &str) -> String {
    format!(
        r#"{{"Address":"{ip}:{port}","Info":{{"Service":"{service}","Version":"v1","Zone":"{zone}","Slots":{SLOTS}}},"Status":{{"State":"ready","CallSeq":4,"ColdLeftMs":0}}}}"#
    )
}

fn configuration(timeout: Duration) -> String {
    format!(
        r#"{{"Version":7,"Services":[{{"Name":"{SERVICE}","HealthPath":"/health","MaxConns":220,"Protocol":"h1","Tls":false}},{{"Name":"{OTHER_SERVICE}","HealthPath":"/health","MaxConns":220,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"VirtualHosts":[{{"Host":"{HOST}","PathRules":[{{"Name":"r-n2ctnfz","PathPrefix":"/leny950/","Kind":"idempotent","TimeoutMs":{},"TargetLatencyMs":600,"Priority":2,"Service":"{SERVICE}","MaxAttempts":2}}]}}]}}"#,
        timeout.as_millis()
    )
}

/// Starts a node with the command of deploy/system.toml and the settings that were written before.
fn start_node(folder: &Path, index: usize) -> Result<Process, String> {
    let program = PathBuf::from("target/release/laurelstall-sidecar");
    let log = |name: String| {
        let file = fs::OpenOptions::new().create(true).append(true).open(folder.join(name));
        file.map_err(|error| error.to_string())
    };
    let node = Command::new(&program)
        .arg("--settings")
        .arg(folder.join(format!("settings-{index}.toml")))
        .stdin(Stdio::null())
        .stdout(log(format!("node-{index}.log"))?)
        .stderr(log(format!("node-{index}.err"))?)
        .spawn();
    node.map(Process).map_err(|error| format!("{}: {error}", program.display()))
}

struct Deployment {
    store: Store,
    ports: Ports,
    machines: Vec<Machine>,
    /// The paths from the nodes to their backends; empty if the nodes speak to them directly.
    paths: Vec<BackendPath>,
}

/// The path from a node to its backend, whose open connections can go silent without a reset while new ones work.
#[derive(Clone, Default)]
struct BackendPath {
    /// Number of times that the open connections went silent.
    silenced: Arc<AtomicU32>,
}

impl BackendPath {
    /// Accepts the node's connections at `address` and passes them on to the backend.
    fn start(address: SocketAddr, backend: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let path = Self::default();
        let served = path.clone();
        thread::spawn(move || {
            for node in listener.incoming().flatten() {
                let Ok(backend) = TcpStream::connect(backend) else { continue };
                let (Ok(node_reader), Ok(backend_reader)) = (node.try_clone(), backend.try_clone()) else { continue };
                let born = served.silenced.load(Ordering::SeqCst);
                for (from, to) in [(node_reader, backend), (backend_reader, node)] {
                    let path = served.clone();
                    thread::spawn(move || path.pump(from, to, born));
                }
            }
        });
        Ok(path)
    }

    fn silence(&self) {
        self.silenced.fetch_add(1, Ordering::SeqCst);
    }

    /// Passes bytes on in one direction. Once the connection is silent, both ends stay open and nothing is passed on.
    fn pump(&self, mut from: TcpStream, mut to: TcpStream, born: u32) {
        let _ = to.set_nodelay(true);
        let mut buffer = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buffer);
            if self.silenced.load(Ordering::SeqCst) != born {
                // For good: until the end of the script.
                thread::sleep(Duration::from_secs(600));
                return;
            }
            match read {
                Ok(read) if read > 0 && to.write_all(&buffer[..read]).is_ok() => {}
                _ => {
                    let _ = to.shutdown(std::net::Shutdown::Both);
                    let _ = from.shutdown(std::net::Shutdown::Both);
                    return;
                }
            }
        }
    }
}

impl Deployment {
    /// Starts the store, the backends and the nodes, and waits until every node is ready.
    fn start(folder: &Path, plan: AnswerPlan, timeout: Duration, has_paths: bool) -> Result<Self, String> {
        let ips: Vec<String> = (1..=MACHINES + OTHER_MACHINES).map(|number| format!("127.0.61.{number}")).collect();
        let ports = free_ports(&ips).ok_or("no free ports")?;
        let store = Store::start("127.0.61.200");
        store.write("op/config", Some(&configuration(timeout)));
        let own = env::current_exe().map_err(|error| error.to_string())?;
        let mut machines = Vec::new();
        let mut paths = Vec::new();
        for (index, ip) in ips.iter().enumerate() {
            let service = if index < MACHINES { SERVICE } else { OTHER_SERVICE };
            let zone = format!("hall-{}", ["a", "b", "c"][index % 3]);
            let backend_id = format!("i-7f3a91c{index}");
            let log = |name: &str| File::create(folder.join(name)).map_err(|error| error.to_string());
            let backend = Command::new(&own)
                .args(["backend", &format!("{ip}:{}", if has_paths { ports.behind } else { ports.app }), &backend_id])
                .args([plan.pieces.to_string(), plan.piece_bytes.to_string()])
                .arg(plan.pause.as_millis().to_string())
                .stdout(log(&format!("backend-{index}.log"))?)
                .spawn();
            let backend = Process(backend.map_err(|error| format!("backend: {error}"))?);
            if has_paths {
                let ip = ip.parse().map_err(|_| "address")?;
                let path = BackendPath::start(SocketAddr::new(ip, ports.app), SocketAddr::new(ip, ports.behind));
                paths.push(path.map_err(|error| format!("path to the backend: {error}"))?);
            }
            let file = folder.join(format!("settings-{index}.toml"));
            fs::write(&file, settings(ip, &zone, service, ports, &ips[..3], store.address)).map_err(|error| error.to_string())?;
            let node = start_node(folder, index)?;
            store.write(&format!("servers/{backend_id}"), Some(&server_entry(ip, ports.app, &zone, service)));
            let folder = folder.to_owned();
            machines.push(Machine { ip: ip.clone(), folder, index, backend_id, backend, node });
        }
        let deployment = Self { store, ports, machines, paths };
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    /// What a backend answers at its health path over a new connection, on the path that its node uses.
    fn backend_answer(&self, machine: &Machine) -> Option<String> {
        let mut stream = TcpStream::connect((machine.ip.as_str(), self.ports.app)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        stream.write_all(b"GET /health HTTP/1.1\r\nHost: health\r\n\r\n").ok()?;
        let head = read_head(&mut BufReader::new(stream))?;
        let load = head.get("x-laurelstall-server-load").unwrap_or("-").to_owned();
        Some(format!("{}, load {load}", head.line))
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while !self.machines.iter().all(|machine| self.is_ready(machine)) {
            if Instant::now() > until {
                return Err("the nodes did not become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Stops all nodes with SIGTERM and starts them again.
    fn restart_nodes(&mut self) -> Result<(), String> {
        for machine in &self.machines {
            machine.node.signal("-TERM");
        }
        for machine in &mut self.machines {
            // A stop ends within the grace time.
            let _ = machine.node.0.wait();
            machine.node = start_node(&machine.folder, machine.index)?;
        }
        self.wait_until_ready()
    }

    fn is_ready(&self, machine: &Machine) -> bool {
        let Ok(mut stream) = TcpStream::connect((machine.ip.as_str(), self.ports.ready)) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        if stream.write_all(request.as_bytes()).is_err() {
            return false;
        }
        read_head(&mut BufReader::new(stream)).is_some_and(|head| head.line.starts_with("HTTP/1.1 200"))
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Clients

/// What a client saw of one request. Times are counted from when it sent the request.
struct Seen {
    id: String,
    entry: usize,
    status: String,
    head_at: Option<Duration>,
    body_bytes: usize,
    /// When the answer was complete or the connection ended; `None` if neither happened while the client waited.
    end_at: Option<Duration>,
    end: &'static str,
}

/// Sends one request on a new connection and waits for its end, as long as the client waits at all.
fn send_request(address: SocketAddr, entry: usize, id: String, wait: Duration) -> Seen {
    let mut seen = Seen {
        id: id.clone(),
        entry,
        status: "-".to_owned(),
        head_at: None,
        body_bytes: 0,
        end_at: None,
        end: "no end while the client waited",
    };
    let Ok(mut stream) = TcpStream::connect(address) else {
        seen.end = "no connection";
        return seen;
    };
    let _ = stream.set_nodelay(true);
    let request = format!(
        "GET /leny950/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Laurelstall-Request-Id: {id}\r\nX-Laurelstall-Deadline-Ms: {}\r\n\r\n",
        wait.as_millis()
    );
    let started = Instant::now();
    if stream.write_all(request.as_bytes()).is_err() {
        seen.end = "not sent";
        return seen;
    }
    let Ok(reading) = stream.try_clone() else { return seen };
    let mut reader = BufReader::new(reading);
    let _ = stream.set_read_timeout(Some(wait));
    let Some(head) = read_head(&mut reader) else {
        if started.elapsed() < wait {
            seen.end_at = Some(started.elapsed());
            seen.end = "closed without an answer";
        }
        return seen;
    };
    seen.head_at = Some(started.elapsed());
    seen.status = head.line.split(' ').nth(1).unwrap_or("-").to_owned();
    let length = head.number("content-length").unwrap_or(0) as usize;
    let mut buffer = [0; 16 * 1024];
    while seen.body_bytes < length {
        let left = wait.saturating_sub(started.elapsed());
        if left.is_zero() {
            return seen;
        }
        let _ = stream.set_read_timeout(Some(left));
        match reader.read(&mut buffer) {
            Ok(0) => {
                seen.end_at = Some(started.elapsed());
                seen.end = "cut short";
                return seen;
            }
            Ok(read) => seen.body_bytes += read,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return seen,
            Err(_) => {
                seen.end_at = Some(started.elapsed());
                seen.end = "cut short";
                return seen;
            }
        }
    }
    seen.end_at = Some(started.elapsed());
    seen.end = "complete";
    seen
}

// ---------------------------------------------------------------------------------------------------------------------
// Case: a backend falls silent while it sends answers

/// The machine of a client: clients are on the machines of the other service.
fn entry_of(number: usize) -> usize {
    MACHINES + number % OTHER_MACHINES
}

/// Requests of one round, half of the slots of all backends.
const ROUND: usize = 6 * MACHINES;
/// Number of backends that fall silent: a share of 0.33.
const SILENT: usize = 2;
/// How long the clients wait.
const CLIENT_WAIT: Duration = Duration::from_millis(6_000);

fn silent_backend(folder: &Path) -> ExitCode {
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let work = env::temp_dir().join(format!("laurelstall-review-{}", std::process::id()));
    if fs::create_dir_all(&work).is_err() {
        return ExitCode::from(2);
    }
    // 20 pieces in 500 ms: an answer of 40 KB that the backend sends as it works.
    let plan = AnswerPlan { pieces: 20, piece_bytes: 2_000, pause: Duration::from_millis(25) };
    let result = Deployment::start(&work, plan, ROUTE_TIMEOUT, false).and_then(|deployment| play(deployment, folder, &work, has_trouble));
    let _ = fs::remove_dir_all(&work);
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(message) => {
            eprintln!("the case could not run: {message}");
            ExitCode::from(2)
        }
    }
}

/// Plays the case; returns whether the rule held.
fn play(deployment: Deployment, folder: &Path, work: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut record = Vec::new();
    // Machines are in touch once they have run undisturbed for `ContactMs`.
    thread::sleep(Duration::from_millis(4_000));
    let started = Instant::now();
    for number in 0..3 {
        round(&deployment, &format!("warm{number}"), Duration::from_secs(2));
    }
    record.push(format!("TROUBLE={}", u8::from(has_trouble)));
    let requests = start_round(&deployment, "r", CLIENT_WAIT);
    thread::sleep(Duration::from_millis(250));
    let silent = deployment.machines.iter().take(if has_trouble { SILENT } else { 0 });
    for machine in silent {
        machine.backend.signal("-STOP");
        record.push(format!("backend {} on {} falls silent 250 ms after the requests", machine.backend_id, machine.ip));
        // Its entry goes after three heartbeats without a write.
        let (store, key) = (deployment.store.clone(), format!("servers/{}", machine.backend_id));
        thread::spawn(move || {
            thread::sleep(3 * HEARTBEAT);
            store.write(&key, None);
        });
    }
    let seen: Vec<Seen> = requests.into_iter().filter_map(|request| request.join().ok()).collect();
    let after = round(&deployment, "after", Duration::from_secs(2));
    record.push(format!("played in {} ms", started.elapsed().as_millis()));
    for request in seen.iter().chain(&after) {
        record.push(format!(
            "{} sent to the node on {}; status {}, head after {}, {} bytes; {} after {}",
            request.id,
            deployment.machines[request.entry].ip,
            request.status,
            text(request.head_at),
            request.body_bytes,
            request.end,
            text(request.end_at)
        ));
    }
    for index in 0..deployment.machines.len() {
        let runs = fs::read_to_string(work.join(format!("backend-{index}.log"))).unwrap_or_default();
        record.extend(runs.lines().map(str::to_owned));
    }
    // CONFIG: requests that run past TimeoutMs, and those of them without a final answer half a second later.
    let is_open_after = |request: &&Seen, time: Duration| request.end_at.is_none_or(|end| end > time);
    let past: Vec<&Seen> = seen.iter().filter(|request| is_open_after(request, ROUTE_TIMEOUT)).collect();
    let late_limit = ROUTE_TIMEOUT + Duration::from_millis(500);
    let open: Vec<&&Seen> = past.iter().filter(|request| is_open_after(request, late_limit)).collect();
    let is_broken = open.len() >= 8 && 4 * open.len() > past.len();
    record.push(format!(
        "{} requests; {} ran past TimeoutMs ({} ms); {} of them without a final answer 500 ms later: the rule {}",
        seen.len(),
        past.len(),
        ROUTE_TIMEOUT.as_millis(),
        open.len(),
        if is_broken { "is broken" } else { "held" }
    ));
    println!("{}", record.last().map_or("", String::as_str));
    let written = fs::write(folder.join("record.txt"), record.join("\n") + "\n");
    written.map_err(|error| error.to_string())?;
    if !has_trouble && !seen.iter().all(|request| request.end == "complete") {
        return Err("requests were not answered without the disruption".to_owned());
    }
    for machine in &deployment.machines {
        machine.backend.signal("-CONT");
        machine.node.signal("-TERM");
    }
    Ok(!is_broken)
}

fn text(time: Option<Duration>) -> String {
    time.map_or("-".to_owned(), |time| format!("{} ms", time.as_millis()))
}

fn start_round(deployment: &Deployment, name: &str, wait: Duration) -> Vec<thread::JoinHandle<Seen>> {
    let start = |number: usize| {
        let entry = entry_of(number);
        let ip = deployment.machines[entry].ip.parse().expect("an address");
        let address = SocketAddr::new(ip, deployment.ports.outbound);
        let id = format!("{name}-{number:03}");
        thread::spawn(move || send_request(address, entry, id, wait))
    };
    (0..ROUND).map(start).collect()
}

fn round(deployment: &Deployment, name: &str, wait: Duration) -> Vec<Seen> {
    start_round(deployment, name, wait).into_iter().filter_map(|request| request.join().ok()).collect()
}

// ---------------------------------------------------------------------------------------------------------------------
// Case: open connections to the backends go silent, and new ones work

const CLIENTS: usize = 12 * MACHINES;
const TRAFFIC_TIME: Duration = Duration::from_secs(28);
/// When the open connections to the backends go silent, counted from the start of the traffic.
const SILENCES_S: [u64; 1] = [5];
/// `RecoveryS` of the settings.
const RECOVERY: Duration = Duration::from_secs(15);
/// `TimeoutMs` of the route in this case: longer than `ContactMs`, so that the machines are in touch again when it is over.
const LONG_TIMEOUT: Duration = Duration::from_millis(4_000);
/// How long these clients wait.
const LONG_WAIT: Duration = Duration::from_millis(6_000);

fn silent_connections(folder: &Path) -> ExitCode {
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let work = env::temp_dir().join(format!("laurelstall-review-{}", std::process::id()));
    if fs::create_dir_all(&work).is_err() {
        return ExitCode::from(2);
    }
    let plan = AnswerPlan { pieces: 20, piece_bytes: 2_000, pause: Duration::from_millis(25) };
    let result = Deployment::start(&work, plan, LONG_TIMEOUT, true)
        .and_then(|deployment| play_connections(deployment, folder, &work, has_trouble));
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&work);
    }
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(message) => {
            eprintln!("the case could not run: {message}");
            ExitCode::from(2)
        }
    }
}

fn play_connections(
    mut deployment: Deployment,
    folder: &Path,
    work: &Path,
    has_trouble: bool,
) -> Result<bool, String> {
    thread::sleep(Duration::from_millis(4_000));
    let started = Instant::now();
    let client = |number: usize| {
        let entry = entry_of(number);
        let ip = deployment.machines[entry].ip.parse().expect("an address");
        let address = SocketAddr::new(ip, deployment.ports.outbound);
        thread::spawn(move || {
            let mut seen = Vec::new();
            while started.elapsed() < TRAFFIC_TIME {
                let at = started.elapsed();
                let id = format!("c{number:02}-{:04}", seen.len());
                seen.push((at, send_request(address, entry, id, LONG_WAIT)));
                // A client that was refused or failed comes back after a while.
                let is_served = seen.last().is_some_and(|(_, last)| last.status == "200" && last.end == "complete");
                thread::sleep(Duration::from_millis(if is_served { 50 } else { 300 }));
            }
            seen
        })
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    let mut record = vec![format!("TROUBLE={}", u8::from(has_trouble))];
    for at in SILENCES_S {
        thread::sleep(Duration::from_secs(at).saturating_sub(started.elapsed()));
        if has_trouble {
            for path in &deployment.paths {
                path.silence();
            }
            let at = started.elapsed().as_millis();
            record.push(format!("at {at} ms the open connections between nodes and backends go silent; new ones work"));
        }
    }
    let mut seen: Vec<(Duration, Seen)> = Vec::new();
    for client in clients {
        seen.extend(client.join().map_err(|_| "a client failed")?);
    }
    seen.sort_by_key(|(at, _)| *at);
    let first = Duration::from_secs(SILENCES_S[0]);
    let recovered = Duration::from_secs(SILENCES_S[SILENCES_S.len() - 1]) + RECOVERY;
    let served = |from: Duration, to: Duration| {
        let sent: Vec<&(Duration, Seen)> = seen.iter().filter(|(at, _)| *at >= from && *at < to).collect();
        let served = sent.iter().filter(|(_, seen)| seen.status == "200" && seen.end == "complete").count();
        (served, sent.len())
    };
    let mut second = Duration::ZERO;
    while second < TRAFFIC_TIME {
        let next = second + Duration::from_secs(1);
        let (good, all) = served(second, next);
        record.push(format!("sent from {} s on: {good} of {all} served", second.as_secs()));
        second = next;
    }
    let (before, after) = (served(Duration::ZERO, first), served(recovered, TRAFFIC_TIME));
    for machine in &deployment.machines {
        record.push(format!(
            "at the end: node on {} ready: {}; its backend answers over a new connection: {}",
            machine.ip,
            deployment.is_ready(machine),
            deployment.backend_answer(machine).unwrap_or_else(|| "nothing".to_owned())
        ));
    }
    if has_trouble {
        // For the record only: what helps.
        deployment.restart_nodes()?;
        thread::sleep(Duration::from_secs(1));
        let again = round(&deployment, "again", LONG_WAIT);
        let good = again.iter().filter(|request| request.status == "200" && request.end == "complete").count();
        record.push(format!("after a restart of all nodes: {good} of {} served", again.len()));
    }
    for (at, request) in &seen {
        record.push(format!(
            "{} sent at {} ms to the node on {}; status {}, {} bytes; {} after {}",
            request.id,
            at.as_millis(),
            deployment.machines[request.entry].ip,
            request.status,
            request.body_bytes,
            request.end,
            text(request.end_at)
        ));
    }
    for index in 0..MACHINES {
        let runs = fs::read_to_string(work.join(format!("backend-{index}.log"))).unwrap_or_default();
        record.extend(runs.lines().map(str::to_owned));
    }
    // CONFIG, as in the other case, for the requests that were on their way when the connections went silent.
    let is_open_after = |request: &Seen, time: Duration| request.end_at.is_none_or(|end| end > time);
    let past = seen.iter().filter(|(_, request)| is_open_after(request, LONG_TIMEOUT)).count();
    let late_limit = LONG_TIMEOUT + Duration::from_millis(500);
    let open = seen.iter().filter(|(_, request)| is_open_after(request, late_limit)).count();
    let is_held = open >= 8 && 4 * open > past;
    record.push(format!(
        "CONFIG: {past} requests ran past TimeoutMs ({} ms), {open} of them without a final answer 500 ms later: {}",
        LONG_TIMEOUT.as_millis(),
        if is_held { "broken" } else { "held" }
    ));
    println!("{}", record.last().map_or("", String::as_str));
    let was_served = 4 * before.0 >= before.1;
    let is_broken = was_served && 4 * after.0 < after.1;
    record.push(format!(
        "RECOVER: before, {} of {} served; sent later than {} s after the last disruption: {} of {} served: the rule {}",
        before.0,
        before.1,
        RECOVERY.as_secs(),
        after.0,
        after.1,
        if is_broken { "is broken" } else { "held" }
    ));
    println!("{}", record.last().map_or("", String::as_str));
    fs::write(folder.join("record.txt"), record.join("\n") + "\n").map_err(|error| error.to_string())?;
    if !was_served {
        return Err("too few requests were served before the disruption".to_owned());
    }
    Ok(!is_broken)
}
