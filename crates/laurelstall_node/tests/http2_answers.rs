//! Answers of targets over HTTP/2 that are no answers.

use bytes::Bytes;
use h2::{Reason, server};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header::HOST};
use http_body_util::BodyExt;
use laurelstall_config::settings::Settings;
use laurelstall_node::target_http::{TargetAnswer, TargetClient, target_request};
use laurelstall_peer::attempt::AttemptBody;
use tokio::{net::TcpListener, task::JoinSet};

/// How a target ends its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    Whole,
    Reset,
}

/// What a target answers.
struct Http2Answer {
    status: u16,
    fields: &'static [(&'static str, &'static str)],
    body: &'static str,
    end: StreamEnd,
}

/// Returns the status and body that the client takes from an answer; `None` if there is no whole one.
async fn taken(answer: Http2Answer) -> Option<(StatusCode, Bytes)> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = listener.local_addr().expect("it listens");
    let mut serving = JoinSet::new();
    serving.spawn(async move {
        let (stream, _) = listener.accept().await.expect("the client connects");
        let mut connection = server::handshake(stream).await.expect("the client speaks HTTP/2");
        while let Some(Ok((_, mut respond))) = connection.accept().await {
            let mut response = Response::new(());
            *response.status_mut() = StatusCode::from_u16(answer.status).expect("three digits");
            for (name, value) in answer.fields {
                let name = HeaderName::from_static(name);
                response.headers_mut().append(name, HeaderValue::from_static(value));
            }
            let Ok(mut stream) = respond.send_response(response, false) else { return };
            // The client may reset the stream as soon as it has seen the head.
            let is_whole = answer.end == StreamEnd::Whole;
            let _ = stream.send_data(Bytes::from_static(answer.body.as_bytes()), is_whole);
            if !is_whole {
                stream.send_reset(Reason::INTERNAL_ERROR);
            }
        }
    });
    let text = format!(
        "[node]\ndata_centre = \"d\"\nentry_address = \"127.0.0.1:0\"\npeer_address = \"127.0.0.1:1\"\n\
         admin_address = \"127.0.0.1:0\"\n[target]\nservice = \"t/s\"\naddress = \"{address}\"\nhttp = \"http2\"\n\
         [platform]\naddress = \"127.0.0.1:1\"\n"
    );
    let settings = Settings::from_text("test", &text).expect("the settings are valid").target;
    let settings = settings.expect("there is a target");
    let headers = HeaderMap::from_iter([(HOST, HeaderValue::from_static("h"))]);
    let body = AttemptBody::Whole(Bytes::new());
    let request = target_request(&settings, "GET", "/", headers, body).expect("the request is valid");
    let TargetAnswer { response, .. } = TargetClient::new(&settings).send(request, false).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, body))
}

// Guards against answers over HTTP/2 that would be refused over HTTP/1.1.
#[tokio::test]
async fn an_answer_over_http2_that_is_no_answer_is_refused() {
    const LENGTH: &[(&str, &str)] = &[("content-length", "3")];
    const OTHER_LENGTH: &[(&str, &str)] = &[("content-length", "3x")];
    const TWO_LENGTHS: &[(&str, &str)] = &[("content-length", "3"), ("content-length", "4")];
    let whole = Http2Answer { status: 200, fields: LENGTH, body: "abc", end: StreamEnd::Whole };
    assert_eq!(taken(whole).await, Some((StatusCode::OK, Bytes::from_static(b"abc"))));
    let cases = [
        (200, LENGTH, "hello world", StreamEnd::Whole),
        (200, LENGTH, "ab", StreamEnd::Whole),
        (200, LENGTH, "abc", StreamEnd::Reset),
        (200, OTHER_LENGTH, "abc", StreamEnd::Whole),
        (200, TWO_LENGTHS, "abc", StreamEnd::Whole),
        (204, LENGTH, "abc", StreamEnd::Whole),
        (600, LENGTH, "abc", StreamEnd::Whole),
    ];
    for (status, fields, body, end) in cases {
        let answer = Http2Answer { status, fields, body, end };
        assert_eq!(taken(answer).await, None, "{status} {fields:?} {body} {end:?}");
    }
}
