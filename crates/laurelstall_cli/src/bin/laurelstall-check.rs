//! Checks node settings, published documents and routing programs as a node does, and reports all problems at once.

use gumdrop::Options;
use http::{HeaderMap, HeaderName, HeaderValue};
use laurelstall_cli::{EXIT_FAILURE, EXIT_SUCCESS, EXIT_USAGE, check};
use laurelstall_config::team::Team;
use std::process::ExitCode;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "run the team's program on 'METHOD PATH' and print its decision", meta = "REQUEST")]
    request: Option<String>,
    #[options(help = "header of that request, may be given again", no_short, meta = "NAME:VALUE")]
    header: Vec<String>,
    #[options(free, help = "files to check")]
    files: Vec<String>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("laurelstall-check {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::from(EXIT_SUCCESS);
    }
    if arguments.files.is_empty() {
        eprintln!("laurelstall-check: FILE... is required; see --help");
        return ExitCode::from(EXIT_USAGE);
    }
    let mut code = EXIT_SUCCESS;
    for file in &arguments.files {
        code = code.max(check_file(file, &arguments));
    }
    ExitCode::from(code)
}

fn check_file(file: &str, arguments: &Arguments) -> u8 {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{file}: {error}");
            return EXIT_USAGE;
        }
    };
    let problems = check::check_text(file, &text);
    for problem in &problems {
        eprintln!("{problem}");
    }
    if !problems.is_empty() {
        return EXIT_USAGE;
    }
    println!("{file}: valid");
    match &arguments.request {
        Some(description) => run_program(file, &text, description, &arguments.header),
        None => EXIT_SUCCESS,
    }
}

fn run_program(file: &str, text: &str, description: &str, headers: &[String]) -> u8 {
    let Ok(team) = Team::from_text(file, text) else { return EXIT_SUCCESS };
    let headers = match read_headers(headers) {
        Ok(headers) => headers,
        Err(message) => {
            eprintln!("laurelstall-check: {message}");
            return EXIT_USAGE;
        }
    };
    if let Ok(Some(explanation)) = check::explain_route(&team, description) {
        println!("{explanation}");
    }
    match check::decide(&team, description, &headers) {
        Ok(plan) => {
            println!("{description}: {plan:?}");
            EXIT_SUCCESS
        }
        Err(message) => {
            eprintln!("{file}: program: {message}");
            EXIT_FAILURE
        }
    }
}

fn read_headers(pairs: &[String]) -> Result<HeaderMap, String> {
    let mut headers = HeaderMap::new();
    for pair in pairs {
        let (name, value) = pair.split_once(':').ok_or(format!("'{pair}' is not NAME:VALUE"))?;
        let name = HeaderName::from_bytes(name.trim().as_bytes()).map_err(|error| error.to_string())?;
        let value = HeaderValue::from_str(value.trim()).map_err(|error| error.to_string())?;
        headers.append(name, value);
    }
    Ok(headers)
}
