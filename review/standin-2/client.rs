//! Clients: one request on a new connection each.

use super::*;

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Call {
    pub to: SocketAddr,
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    pub body: Vec<u8>,
}

/// How a request ended for the client.
#[derive(Debug, Clone)]
pub struct Answer {
    pub id: String,
    pub sent_ms: u64,
    pub ended_ms: u64,
    /// Status, stamp and body; or why there is none.
    pub result: Result<(u16, Option<String>, String), String>,
}

/// Host name that all routes belong to.
pub const HOST: &str = "tills.example";

pub fn send(call: &Call, record: &Record) -> Answer {
    let sent_ms = record.now_ms();
    record.note(format!("client sends {} {} {} to {}", call.id, call.method, call.path, call.to));
    let result = try_send(call).map_err(|error| error.to_string());
    let ended_ms = record.now_ms();
    let what = match &result {
        Ok((status, stamp, _)) => format!("{status}, stamp {}", stamp.as_deref().unwrap_or("none")),
        Err(error) => format!("no complete answer: {error}"),
    };
    record.note(format!("client has of {}: {what}", call.id));
    Answer { id: call.id.clone(), sent_ms, ended_ms, result }
}

fn try_send(call: &Call) -> io::Result<(u16, Option<String>, String)> {
    let mut stream = TcpStream::connect_timeout(&call.to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(call.deadline_ms + 500)))?;
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Laurelstall-Request-Id: {}\r\nX-Laurelstall-Deadline-Ms: {}\r\n\
         Content-Length: {}\r\n\r\n",
        call.method,
        call.path,
        call.id,
        call.deadline_ms,
        call.body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend(&call.body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&head, &mut reader)?;
    let status = head.first_line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let stamp = head.get("x-laurelstall-server-stamp").map(str::to_owned);
    Ok((status, stamp, String::from_utf8_lossy(&body).into_owned()))
}

/// Asks a node whether it is ready; returns the status.
pub fn ready(address: SocketAddr) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300))?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    stream.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")?;
    let head = Head::read(&mut BufReader::new(stream))?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = head.first_line.split(' ').nth(1).and_then(|text| text.parse().ok());
    status.ok_or_else(|| io::ErrorKind::InvalidData.into())
}
