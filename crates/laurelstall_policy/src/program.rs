//! A compiled routing program and the limits it runs under.

use crate::plan::{Plan, PlanError};
use http::HeaderMap;
use quick_error::quick_error;
use rhai::{
    AST, Engine, EvalAltResult, ImmutableString, Scope,
    packages::{Package, StandardPackage},
};
use std::sync::Arc;

/// Steps one run may take.
pub const OPERATIONS_MAX: u64 = 20_000;
/// Deepest nesting of function calls.
pub const CALL_LEVELS_MAX: usize = 16;
/// Deepest nesting of expressions.
pub const EXPRESSION_DEPTH_MAX: usize = 32;
/// Longest string in bytes.
pub const STRING_BYTES_MAX: usize = 8 * 1024;
/// Longest array and largest map.
pub const COLLECTION_LENGTH_MAX: usize = 64;
/// Most variables in scope.
pub const VARIABLES_MAX: usize = 64;

/// What a program sees of a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestView<'a> {
    /// The method, as sent.
    pub method: &'a str,
    /// The host name, without port, in lower case.
    pub host: &'a str,
    /// The path, without query.
    pub path: &'a str,
    /// The headers.
    pub headers: &'a HeaderMap,
}

quick_error! {
    /// A program that does not compile, or a run that gave no decision.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ProgramError {
        /// The text is no program.
        Compile(line: usize, message: String) {
            display("line {line}: {message}")
        }
        /// The run failed or passed a limit.
        Run(message: String) {
            display("{message}")
        }
        /// The run ended, but not in a decision.
        Plan(error: PlanError) {
            display("{error}")
            source(error)
            from()
        }
    }
}

/// A routing program, compiled once for each accepted document.
pub struct Program {
    engine: Engine,
    ast: AST,
    reads_headers: bool,
}

impl Program {
    /// Compiles a program.
    ///
    /// # Errors
    ///
    /// [`ProgramError::Compile`] with the line at fault.
    ///
    /// ```
    /// use http::HeaderMap;
    /// use laurelstall_policy::prelude::*;
    ///
    /// let program = Program::compile(r#"#{ service: "market", repeat: method == "GET" }"#)?;
    /// let headers = HeaderMap::new();
    /// let request = RequestView { method: "GET", host: "a", path: "/", headers: &headers };
    /// assert!(matches!(program.decide(&request)?, Plan::Route(route) if route.may_repeat));
    /// # Ok::<(), ProgramError>(())
    /// ```
    pub fn compile(text: &str) -> Result<Self, ProgramError> {
        let engine = limited_engine();
        let ast = engine.compile(text).map_err(|error| {
            let line = error.position().line().unwrap_or(0);
            ProgramError::Compile(line, error.err_type().to_string())
        })?;
        Ok(Self { engine, ast, reads_headers: text.contains("header") })
    }

    /// Runs the program on one request.
    ///
    /// # Errors
    ///
    /// [`ProgramError::Run`] or [`ProgramError::Plan`]; the request has then not run anywhere.
    pub fn decide(&self, request: &RequestView<'_>) -> Result<Plan, ProgramError> {
        let mut scope = Scope::new();
        scope.push_constant("method", ImmutableString::from(request.method));
        scope.push_constant("host", ImmutableString::from(request.host));
        scope.push_constant("path", ImmutableString::from(request.path));
        if self.reads_headers {
            scope.push_constant("headers", Headers(Arc::new(request.headers.clone())));
        }
        let result = self.engine.eval_ast_with_scope(&mut scope, &self.ast);
        let result = result.map_err(|error| ProgramError::Run(error.to_string()))?;
        Ok(Plan::from_result(result)?)
    }
}

impl std::fmt::Debug for Program {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Program").field("reads_headers", &self.reads_headers).finish_non_exhaustive()
    }
}

#[derive(Debug, Clone)]
struct Headers(Arc<HeaderMap>);

impl Headers {
    fn get(&mut self, name: &str) -> ImmutableString {
        let value = self.0.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().into()
    }
}

fn forbidden(name: &str) -> Result<(), Box<EvalAltResult>> {
    Err(format!("{name} is not there for programs").into())
}

fn limited_engine() -> Engine {
    let mut engine = Engine::new_raw();
    engine.register_global_module(StandardPackage::new().as_shared_module());
    engine.set_max_operations(OPERATIONS_MAX);
    engine.set_max_call_levels(CALL_LEVELS_MAX);
    engine.set_max_expr_depths(EXPRESSION_DEPTH_MAX, EXPRESSION_DEPTH_MAX);
    engine.set_max_string_size(STRING_BYTES_MAX);
    engine.set_max_array_size(COLLECTION_LENGTH_MAX);
    engine.set_max_map_size(COLLECTION_LENGTH_MAX);
    engine.set_max_variables(VARIABLES_MAX);
    engine.set_max_functions(VARIABLES_MAX);
    engine.set_max_modules(0);
    for word in ["eval", "import", "export", "print", "debug"] {
        engine.disable_symbol(word);
    }
    // The library's own would stop the whole node.
    engine.register_fn("sleep", |_: i64| forbidden("sleep"));
    engine.register_fn("sleep", |_: f64| forbidden("sleep"));
    engine.on_print(|_| {});
    engine.register_type_with_name::<Headers>("Headers");
    engine.register_fn("header", Headers::get);
    engine
}
