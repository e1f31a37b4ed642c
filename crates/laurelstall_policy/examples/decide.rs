//! Compiles a routing program and runs it for three requests.
//!
//! Run it with `cargo run -p laurelstall_policy --example decide`.

use http::HeaderMap;
use laurelstall_policy::prelude::*;

const PROGRAM: &str = r#"
if path.starts_with("/alerts") { return #{ service: "wire-desk", repeat: true, hedge_after_ms: 30 }; }
if method == "POST" { return #{ service: "circulation", importance: 8 }; }
#{ refuse: "nothing here" }
"#;

fn main() -> Result<(), ProgramError> {
    let program = Program::compile(PROGRAM)?;
    let headers = HeaderMap::new();
    for (method, path) in [("GET", "/alerts/1"), ("POST", "/orders"), ("GET", "/")] {
        let request = RequestView { method, host: "www.suria.example", path, headers: &headers };
        println!("{method} {path}: {:?}", program.decide(&request)?);
    }
    Ok(())
}
