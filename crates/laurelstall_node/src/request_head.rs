//! Parses heads of pipelined requests.

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderName, Method, Request, Uri, request::Parts};
use httparse::{Header, Status};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Maximum number of header fields. A head with more is passed to hyper, which refuses it.
const HEADERS_MAX: usize = 100;
/// Header fields of requests that have a body or affect the connection.
const SPECIAL_HEADERS: [HeaderName; 6] = [
    http::header::CONTENT_LENGTH,
    http::header::TRANSFER_ENCODING,
    http::header::CONNECTION,
    http::header::EXPECT,
    http::header::UPGRADE,
    http::header::TE,
];

/// Result of [`read_head`].
#[derive(Debug)]
pub enum ReadHead {
    /// A request without a body that does not affect the connection.
    Plain {
        /// The head as received.
        bytes: Bytes,
        /// The parsed head.
        parts: Box<Parts>,
    },
    /// Any other request, or a malformed one.
    Other,
    /// The caller closed the connection.
    Closed,
}

/// Reads the next head into `buffer`, and removes it from the buffer if it is plain.
///
/// The function is cancel safe: bytes that were read stay in the buffer.
///
/// # Errors
///
/// Returns the I/O error that ended the connection.
pub async fn read_head(
    input: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    bytes_max: usize,
) -> io::Result<ReadHead> {
    loop {
        // Empty lines before a request are ignored (RFC 9112, section 2.2).
        while buffer.starts_with(b"\r\n") {
            buffer.advance(2);
        }
        if !buffer.is_empty() {
            match parse(buffer) {
                Parsed::Plain(length, parts) => {
                    let bytes = buffer.split_to(length).freeze();
                    return Ok(ReadHead::Plain { bytes, parts });
                }
                Parsed::Other => return Ok(ReadHead::Other),
                Parsed::Partial if buffer.len() >= bytes_max => return Ok(ReadHead::Other),
                Parsed::Partial => {}
            }
        }
        if input.read_buf(buffer).await? == 0 {
            return Ok(ReadHead::Closed);
        }
    }
}

enum Parsed {
    Plain(usize, Box<Parts>),
    Other,
    Partial,
}

fn parse(bytes: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Other,
    };
    let is_plain = request.method == Some(Method::GET.as_str()) && request.version == Some(1);
    if !is_plain || request.headers.iter().any(is_special) {
        return Parsed::Other;
    }
    match parts(&request) {
        Some(parts) => Parsed::Plain(length, Box::new(parts)),
        None => Parsed::Other,
    }
}

/// Returns whether a header field needs hyper. `connection: keep-alive` does not, since it is the default.
fn is_special(header: &Header<'_>) -> bool {
    let is_keep_alive = header.name.eq_ignore_ascii_case(http::header::CONNECTION.as_str())
        && header.value.eq_ignore_ascii_case(b"keep-alive");
    !is_keep_alive && SPECIAL_HEADERS.iter().any(|name| header.name.eq_ignore_ascii_case(name.as_str()))
}

fn parts(request: &httparse::Request<'_, '_>) -> Option<Parts> {
    let uri = request.path?.parse::<Uri>().ok()?;
    let mut builder = Request::builder().method(Method::GET).uri(uri);
    for header in request.headers.iter() {
        builder = builder.header(header.name, header.value);
    }
    let (parts, ()) = builder.body(()).ok()?.into_parts();
    Some(parts)
}
