//! Backends: they run requests for as long as the path says, and record each arrival.

use super::*;

/// A request that a backend began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub at_ms: u64,
    pub backend: String,
    /// When the run ended; `None` while it runs, or if the backend ended before.
    pub ended_ms: Option<u64>,
}

/// All runs of all backends.
pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct Backend {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    runs: Runs,
    running: AtomicU64,
    has_ended: AtomicBool,
    /// Open connections, which close when the backend ends.
    streams: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

impl Backend {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        runs: &Runs,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let backend = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots: 12,
            runs: runs.clone(),
            running: AtomicU64::new(0),
            has_ended: AtomicBool::new(false),
            streams: Mutex::default(),
            record: record.clone(),
        });
        let serving = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = serving.clone();
                // `end` connects once, so that the listener closes.
                if backend.has_ended() {
                    return;
                }
                if let Ok(stream) = stream.try_clone() {
                    lock(&backend.streams).push(stream);
                }
                thread::spawn(move || {
                    let _ = backend.serve(stream);
                });
            }
        });
        Ok(backend)
    }

    /// The entry with which the backend records itself in the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"Address\":\"{}\",\"Info\":{{\"Service\":\"{}\",\"Version\":\"v1\",\"Zone\":\"{}\",\"Slots\":{}}},\
             \"Status\":{{\"State\":\"{state}\",\"CallSeq\":1,\"ColdLeftMs\":0}}}}",
            self.address, self.service, self.zone, self.slots
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Ends the backend, as its process would: its connections close, and what it runs is not finished.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        self.record.note(format!("backend {} ends", self.id));
        for stream in lock(&self.streams).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect(self.address);
    }

    fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut output = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = Head::read(&mut reader)? {
            let body = read_body(&head, &mut reader)?;
            let (_, path) = head.request_line();
            if path == "/health" {
                output.write_all(self.health().as_bytes())?;
                continue;
            }
            let id = head.get("x-laurelstall-request-id").unwrap_or_default().to_owned();
            if head.get("x-laurelstall-expect-instance").is_some_and(|expected| expected != self.id) {
                self.record.note(format!("backend {} rejects {id} with 421", self.id));
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nX-Laurelstall-Not-Executed: 1\r\n\
                     X-Laurelstall-Request-Id: {id}\r\nX-Laurelstall-Instance-Id: {}\r\n\r\n",
                    self.id
                );
                output.write_all(answer.as_bytes())?;
                continue;
            }
            let index = self.begin(&head, &id, path, body.len());
            sleep_ms(work_ms(path));
            if self.has_ended() {
                return Ok(());
            }
            self.finish(index);
            let text = format!("answer to {id}\n");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Laurelstall-Request-Id: {id}\r\n\
                 X-Laurelstall-Server-Stamp: {}.{id}\r\nX-Laurelstall-Server-Load: {}\r\n\r\n{text}",
                text.len(),
                self.id,
                self.load()
            );
            output.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    fn begin(&self, head: &Head, id: &str, path: &str, body_bytes: usize) -> usize {
        self.running.fetch_add(1, Ordering::SeqCst);
        let caller = head.get("x-laurelstall-caller-service").unwrap_or("none");
        let deadline = head.get("x-laurelstall-deadline-ms").unwrap_or("none");
        self.record.note(format!(
            "backend {} ({}) begins to run {id} {path}, {body_bytes} bytes, from {caller}, {deadline} ms left",
            self.id, self.service
        ));
        let mut runs = lock(&self.runs);
        runs.push(Run {
            id: id.to_owned(),
            at_ms: self.record.now_ms(),
            backend: self.id.clone(),
            ended_ms: None,
        });
        runs.len() - 1
    }

    fn finish(&self, index: usize) {
        self.running.fetch_sub(1, Ordering::SeqCst);
        let mut runs = lock(&self.runs);
        runs[index].ended_ms = Some(self.record.now_ms());
        self.record.note(format!("backend {} ends its run of {}", self.id, runs[index].id));
    }

    /// Running and waiting requests, slots and the time that work takes.
    fn load(&self) -> String {
        format!("{},0,{},100", self.running.load(Ordering::SeqCst), self.slots)
    }

    fn health(&self) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Laurelstall-Instance-Id: {}\r\n\
             X-Laurelstall-Server-Load: {}\r\n\r\n",
            self.id,
            self.load()
        )
    }
}

/// The work of a request: the number at the end of its path, in ms.
fn work_ms(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(20)
}
