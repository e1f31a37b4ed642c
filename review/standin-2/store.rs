//! The platform's store, and a proxy whose open connections can go silent.

use super::*;

#[derive(Clone)]
struct Event {
    key: String,
    /// Value in base64; `None` if the key was removed.
    value: Option<String>,
    revision: u64,
    made: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Event>,
    events: Vec<Event>,
}

/// The store as the pages describe it. Nothing is forgotten, and every answer is current.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    /// When a watch that began after a removal was first answered with it, in ms since the start of the case, by key.
    told_removals: Mutex<BTreeMap<String, u64>>,
    record: Arc<Record>,
}

impl Store {
    pub fn start(ip: Ipv4Addr, record: &Arc<Record>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            state: Mutex::default(),
            changed: Condvar::new(),
            told_removals: Mutex::default(),
            record: record.clone(),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a value, or removes the key. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: Option<&str>) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        let made = state.items.get(key).map_or(revision, |item| item.made);
        let event = Event { key: key.to_owned(), value: value.map(base64), revision, made };
        match event.value {
            Some(_) => state.items.insert(key.to_owned(), event.clone()),
            None => state.items.remove(key),
        };
        state.events.push(event);
        drop(state);
        self.changed.notify_all();
        let what = if value.is_some() { "takes" } else { "removes" };
        self.record.note(format!("store {what} {key} at revision {revision}"));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = Head::read(&mut reader) {
            let (_, path) = head.request_line();
            let (status, body) = self.answer(path);
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if output.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str) -> (&'static str, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let field = |name: &str| {
            let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
            percent_decoded(value.unwrap_or_default())
        };
        match path {
            "/kv-range" => ("200 OK", self.range(&field("PathPrefix"), &field("after"))),
            "/kv-watch" => {
                let after = field("after").parse().unwrap_or(0);
                let wait_ms = field("WaitMs").parse().unwrap_or(0);
                ("200 OK", self.watch(&field("PathPrefix"), after, wait_ms))
            }
            "/kv-key" => match lock(&self.state).items.get(&field("TlsKey")) {
                Some(item) => ("200 OK", json(item)),
                None => ("404 Not Found", "{}".to_owned()),
            },
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = lock(&self.state);
        let items = state.items.values().filter(|item| item.key.starts_with(prefix) && *item.key > *after);
        let items = items.map(json).collect::<Vec<_>>().join(",");
        format!("{{\"items\":[{items}],\"more\":false,\"at\":{}}}", state.revision)
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> String {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = lock(&self.state);
        let mut is_at_once = true;
        loop {
            let is_new = |event: &&Event| event.revision > after && event.key.starts_with(prefix);
            let events = state.events.iter().filter(is_new).map(json).collect::<Vec<_>>();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let removals = state.events.iter().filter(|event| is_new(event) && event.value.is_none());
                if is_at_once {
                    // The connection was not open at the removal, or was idle.
                    removals.for_each(|event| self.note_told(&event.key));
                }
                return format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
            is_at_once = false;
        }
    }
}

impl Store {
    fn note_told(&self, key: &str) {
        self.record.note(format!("store answers a watch: {key} is gone"));
        lock(&self.told_removals).entry(key.to_owned()).or_insert_with(|| self.record.now_ms());
    }

    /// When a watch that began later was first answered that `key` is gone, in ms since the start of the case.
    pub fn removal_told_ms(&self, key: &str) -> Option<u64> {
        lock(&self.told_removals).get(key).copied()
    }
}

fn json(event: &Event) -> String {
    let Event { key, value, revision, made } = event;
    match value {
        Some(value) => format!(
            "{{\"TlsKey\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"made\":{made},\"lease\":0}}"
        ),
        None => format!("{{\"TlsKey\":\"{key}\",\"Revision\":{revision},\"gone\":true}}"),
    }
}

fn base64(text: &str) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut encoded = String::new();
    for part in text.as_bytes().chunks(3) {
        let bits =
            part.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - part.len()));
        for index in 0..4 {
            let sign = SIGNS[(bits >> (18 - 6 * index)) as usize & 63] as char;
            encoded.push(if index <= part.len() { sign } else { '=' });
        }
    }
    encoded
}

fn percent_decoded(text: &str) -> String {
    let mut decoded = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
        let digits = String::from_utf8_lossy(&digits).into_owned();
        decoded.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Forwards connections to an address. Those that are open can go silent for good, while new ones work.
pub struct Proxy {
    pub address: SocketAddr,
    /// Number of times that the open connections went silent.
    silences: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(ip: Ipv4Addr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let silences = Arc::<AtomicU64>::default();
        let shared = silences.clone();
        thread::spawn(move || {
            for inbound in listener.incoming().flatten() {
                let Ok(outbound) = TcpStream::connect(to) else { continue };
                let born = shared.load(Ordering::SeqCst);
                for (from, to) in [(&inbound, &outbound), (&outbound, &inbound)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let silences = shared.clone();
                    thread::spawn(move || pump(from, to, || silences.load(Ordering::SeqCst) > born));
                }
            }
        });
        Ok(Self { address, silences })
    }

    /// Lets all open connections go silent for good, without a reset.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }
}

/// Copies bytes; once `is_silent`, reads and drops them and keeps both ends open.
fn pump(mut from: TcpStream, mut to: TcpStream, is_silent: impl Fn() -> bool) {
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let mut bytes = [0; 16 * 1024];
    loop {
        let Ok(read) = from.read(&mut bytes) else { return };
        if is_silent() {
            if read == 0 {
                // The other end hears nothing of the close.
                return;
            }
            continue;
        }
        if read == 0 {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
        if to.write_all(&bytes[..read]).is_err() {
            return;
        }
    }
}
