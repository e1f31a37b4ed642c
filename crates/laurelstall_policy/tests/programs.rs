//! Decisions of routing programs, and the limits that hostile programs run into.

use http::{HeaderMap, HeaderValue};
use laurelstall_policy::{
    plan::{Plan, PlanError},
    program::{Program, ProgramError, RequestView},
};

fn decide(program: &str, path: &str) -> Result<Plan, ProgramError> {
    let mut headers = HeaderMap::new();
    headers.insert("x-kind", HeaderValue::from_static("urgent"));
    let request = RequestView { method: "GET", host: "shop.example", path, headers: &headers };
    Program::compile(program)?.decide(&request)
}

#[test]
fn a_program_decides_by_the_request() {
    let program = r#"
        if path.starts_with("/sell") { return #{ service: "trade", importance: 9, budget_ms: 500 }; }
        if headers.header("x-kind") == "urgent" { return #{ service: "wire", repeat: true, hedge_after_ms: 20 }; }
        #{ refuse: "closed" }
    "#;
    let Ok(Plan::Route(route)) = decide(program, "/sell/1") else { panic!("no route") };
    assert_eq!(
        (route.service.as_str(), route.importance, route.budget_ms, route.may_repeat),
        ("trade", 9, Some(500), false)
    );
    let Ok(Plan::Route(route)) = decide(program, "/other") else { panic!("no route") };
    assert_eq!((route.service.as_str(), route.hedge_after_ms), ("wire", Some(20)));
}

#[test]
fn invalid_decisions_name_the_field() {
    let field = |program| match decide(program, "/") {
        Err(ProgramError::Plan(PlanError::Field(name, _))) => name,
        other => panic!("{program}: {other:?}"),
    };
    assert_eq!(field(r#"#{ service: "a", tries: 99 }"#), "tries");
    assert_eq!(field(r#"#{ service: "a", wait: 1 }"#), "wait");
    assert_eq!(field(r#"#{ service: 1 }"#), "service");
    assert_eq!(field("#{}"), "service");
    assert_eq!(field(r#"#{ service: "a", hedge_after_ms: 5 }"#), "hedge_after_ms");
    assert!(matches!(decide("42", "/"), Err(ProgramError::Plan(PlanError::NotAMap(_)))));
}

#[test]
fn hostile_programs_end_in_an_error() {
    let hostile = [
        "loop {}",
        "let a = \"xxxxxxxxxxxxxxxx\"; loop { a += a; }",
        "let a = [1]; loop { a += a; }",
        "let m = #{}; let i = 0; loop { m[i.to_string()] = i; i += 1; }",
        "fn f(n) { f(n + 1) } f(0)",
        "let s = \"a\"; let i = 0; while i < 100000 { i += 1; } #{ service: s }",
        "let a = []; a.pad(1000000000, 1); 1",
        "let b = blob(1000000000, 1); 1",
        "let x = \"a\"; x.pad(1000000000, 'a'); 1",
        "let r = 0..9223372036854775807; for i in r {} 1",
    ];
    for program in hostile {
        assert!(decide(program, "/").is_err(), "{program}");
    }
}

#[test]
fn programs_have_no_access_to_the_outside() {
    for statement in ["eval(\"1\")", "import \"a\" as b", "print(1)", "sleep(0)", "sleep(0.0)"] {
        let program = format!("{statement}; #{{ service: \"a\" }}");
        let result = decide(&program, "/");
        assert!(
            matches!(result, Err(ProgramError::Compile(..) | ProgramError::Run(_))),
            "{statement}: {result:?}"
        );
    }
}

#[test]
fn compile_errors_name_the_line() {
    assert!(matches!(Program::compile("let a = 1;\nlet = 2;"), Err(ProgramError::Compile(2, _))));
}

#[test]
fn no_text_makes_the_compiler_panic() {
    bolero::check!().with_type::<String>().with_iterations(300).for_each(|text| {
        let _ = decide(text, "/");
    });
}
