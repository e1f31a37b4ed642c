//! Inspects and controls a node over its administration API.

use gumdrop::Options;
use http::Method;
use laurelstall_cli::{
    EXIT_FAILURE, EXIT_SUCCESS, EXIT_USAGE,
    admin_client::{AdminRequest, send_request},
    check, table,
};
use serde_json::{Value, json};
use std::process::ExitCode;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "administration address of the node (entry address for tickets)", meta = "IP:PORT")]
    node: Option<String>,
    #[options(help = "bearer token; default: the environment variable LAURELSTALL_TOKEN", meta = "SECRET")]
    token: Option<String>,
    #[options(help = "print the JSON answer unformatted")]
    json: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "show load, budgets and counters of the node")]
    Status(NoOptions),
    #[options(help = "list targets as this node sees them")]
    Targets(NoOptions),
    #[options(help = "list hosts, and the partners of this node")]
    Members(NoOptions),
    #[options(help = "list current and rejected versions of documents")]
    Config(NoOptions),
    #[options(help = "list recent routing decisions")]
    Decisions(NoOptions),
    #[options(
        help = "list workspaces: quotas, calls accepted and refused at this node, remaining tokens of owned shares"
    )]
    Workspaces(NoOptions),
    #[options(
        help = "list requests that were running when targets crashed, and whether they are quarantined"
    )]
    Held(NoOptions),
    #[options(help = "release a quarantined request at all nodes")]
    Release(ReleaseOptions),
    #[options(help = "drain the node: its target gets no new calls")]
    Drain(NoOptions),
    #[options(help = "end the drain: the target gets calls again")]
    Undrain(NoOptions),
    #[options(help = "check a document on the node without publishing it")]
    Check(CheckOptions),
    #[options(help = "change the log level")]
    Level(LevelOptions),
    #[options(help = "request tickets")]
    Tickets(TicketOptions),
}

#[derive(Debug, Options)]
struct NoOptions {
    #[options(help = "print this help")]
    help: bool,
}

#[derive(Debug, Options)]
struct CheckOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "document")]
    file: String,
}

#[derive(Debug, Options)]
struct LevelOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "error, warn, info, debug or trace")]
    level: String,
}

#[derive(Debug, Options)]
struct ReleaseOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "digest of the request, as shown by `held`")]
    digest: String,
}

#[derive(Debug, Options)]
struct TicketOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "host name that callers of the team use", required, meta = "NAME")]
    host: String,
    #[options(help = "the service's name", required, meta = "NAME")]
    service: String,
    #[options(help = "number of tickets", default = "1", meta = "N")]
    count: u32,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("laurelstall-ctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::from(EXIT_SUCCESS);
    }
    let admin_request = match admin_request(&arguments) {
        Ok(admin_request) => admin_request,
        Err(message) => {
            eprintln!("laurelstall-ctl: {message}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let answer = match runtime {
        Ok(runtime) => runtime.block_on(send_request(&admin_request)),
        Err(error) => Err(error.to_string()),
    };
    match answer {
        Ok((status, text)) => {
            print_answer(&text, arguments.json);
            ExitCode::from(if status.is_success() { EXIT_SUCCESS } else { EXIT_FAILURE })
        }
        Err(message) => {
            eprintln!("laurelstall-ctl: {}: {message}", admin_request.node);
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn admin_request(arguments: &Arguments) -> Result<AdminRequest, String> {
    let node = arguments.node.clone().ok_or("--node IP:PORT is required; see --help")?;
    let command = arguments.command.as_ref().ok_or("a command is required; see --help")?;
    let token = arguments.token.clone().or_else(|| std::env::var("LAURELSTALL_TOKEN").ok());
    let get = |path: &str| (Method::GET, path.to_owned(), String::new());
    let post = |path: &str, body: String| (Method::POST, path.to_owned(), body);
    let mut host = None;
    let (method, path, body) = match command {
        Command::Status(_) => get("/v1/status"),
        Command::Targets(_) => get("/v1/targets"),
        Command::Members(_) => get("/v1/members"),
        Command::Config(_) => get("/v1/config"),
        Command::Decisions(_) => get("/v1/decisions"),
        Command::Workspaces(_) => get("/v1/workspaces"),
        Command::Held(_) => get("/v1/held"),
        Command::Release(options) => post("/v1/release", json!({ "digest": options.digest }).to_string()),
        Command::Drain(_) => post("/v1/drain", String::new()),
        Command::Undrain(_) => post("/v1/undrain", String::new()),
        Command::Level(options) => post("/v1/log-level", json!({ "level": options.level }).to_string()),
        Command::Check(options) => post("/v1/check", check_body(&options.file)?),
        Command::Tickets(options) => {
            host = Some(options.host.clone());
            let query = format!("service={}&count={}", options.service, options.count);
            post(&format!("/laurelstall/tickets?{query}"), String::new())
        }
    };
    Ok(AdminRequest { node, method, path, token, host, body })
}

fn check_body(file: &str) -> Result<String, String> {
    let text = std::fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?;
    let Some(check::FileKind::Document(name)) = check::detect_kind(&text) else {
        return Err(format!("{file}: not a fleet, system or team document"));
    };
    Ok(json!({ "key": name.to_string(), "text": text }).to_string())
}

fn print_answer(text: &str, is_json: bool) {
    match serde_json::from_str::<Value>(text) {
        Ok(value) if !is_json => println!("{}", table::format_value(&value)),
        _ => println!("{text}"),
    }
}
