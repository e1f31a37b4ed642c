//! Compiled routing programs and their resource limits.

use crate::plan::{Plan, PlanError};
use http::HeaderMap;
use quick_error::quick_error;
use rhai::{
    AST, Engine, EvalAltResult, ImmutableString, Scope,
    packages::{Package, StandardPackage},
};
use std::sync::Arc;

/// Maximum number of operations in one run.
pub const OPERATIONS_MAX: u64 = 20_000;
/// Maximum nesting of function calls.
pub const CALL_LEVELS_MAX: usize = 16;
/// Maximum nesting of expressions.
pub const EXPRESSION_DEPTH_MAX: usize = 32;
/// Maximum length of a string, in bytes.
pub const STRING_BYTES_MAX: usize = 8 * 1024;
/// Maximum number of elements of an array or a map.
pub const COLLECTION_LENGTH_MAX: usize = 64;
/// Maximum number of variables in scope, and of functions.
pub const VARIABLES_MAX: usize = 64;

/// The parts of a request that a program can read.
#[derive(Debug, Clone, Copy)]
pub struct RequestView<'a> {
    /// Method as sent by the caller.
    pub method: &'a str,
    /// Host name in lower case, without port.
    pub host: &'a str,
    /// Path without query.
    pub path: &'a str,
    /// Headers of the request.
    pub headers: &'a HeaderMap,
}

quick_error! {
    /// Error for a program that does not compile or a run that returned no decision.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ProgramError {
        /// The text is not a valid program.
        Compile(line: usize, message: String) {
            display("line {line}: {message}")
        }
        /// The run failed or exceeded a limit.
        Run(message: String) {
            display("{message}")
        }
        /// The result of the run is not a valid decision.
        Plan(error: PlanError) {
            display("{error}")
            source(error)
            from()
        }
    }
}

/// A compiled routing program.
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
    /// [`ProgramError::Compile`] with the line of the first error.
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

    /// Runs the program for one request.
    ///
    /// # Errors
    ///
    /// [`ProgramError::Run`] when the run failed, or [`ProgramError::Plan`] when its result is invalid. The
    /// request was not run anywhere.
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
    Err(format!("{name} is not available to programs").into())
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
    for symbol in ["eval", "import", "export", "print", "debug"] {
        engine.disable_symbol(symbol);
    }
    // The `sleep` functions of the library would block the whole node.
    engine.register_fn("sleep", |_: i64| forbidden("sleep"));
    engine.register_fn("sleep", |_: f64| forbidden("sleep"));
    engine.on_print(|_| {});
    engine.register_type_with_name::<Headers>("Headers");
    engine.register_fn("header", Headers::get);
    engine
}
