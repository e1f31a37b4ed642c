//! Decisions of routing programs.

use quick_error::quick_error;
use rhai::{Dynamic, Map};

/// Maximum number of attempts that a program may set.
pub const TRIES_MAX: i64 = 10;
/// Highest importance; calls of higher importance leave a queue first.
pub const IMPORTANCE_MAX: i64 = 9;
/// Importance of a call whose program sets none.
pub const IMPORTANCE_DEFAULT: u8 = 5;
/// Maximum time budget or hedging delay, in ms.
pub const DURATION_MS_MAX: i64 = 3_600_000;

/// The decision of a program about one request.
#[derive(Debug, Clone, PartialEq)]
pub enum Plan {
    /// Run the request.
    Route(Route),
    /// Refuse the request with this reason.
    Refuse(String),
}

/// How to run a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Field `service`: name of the service within the team.
    pub service: String,
    /// Field `repeat`: whether the request may run more than once. Default false.
    pub may_repeat: bool,
    /// Field `budget_ms`: time budget in ms; a smaller budget set by the caller takes precedence. `None` when
    /// the program sets none.
    pub budget_ms: Option<u64>,
    /// Latency objective in ms; `None` when none is configured.
    pub latency_objective_ms: Option<u64>,
    /// Field `tries`: maximum number of attempts, without those handed back. Default 3.
    pub tries: u32,
    /// Class of the call; calls of one class take about the same time. 0 when unknown.
    pub class: u32,
    /// Field `hedge_after_ms`: delay in ms after which a second attempt is started in parallel to the first;
    /// `None` for no hedging.
    pub hedge_after_ms: Option<u64>,
    /// Field `importance`, 0 to 9.
    pub importance: u8,
    /// Whether callers need no key even if the team requires keys.
    pub is_public: bool,
    /// Data centres in which the request may be served; empty for all.
    pub data_centres: Vec<String>,
    /// Field `observe`, 0 to 100: percentage of the observation budget that calls with this decision may
    /// use.
    pub observe_percent: u8,
}

quick_error! {
    /// Error for a result that is not a valid decision.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlanError {
        /// The program did not return a map.
        NotAMap(found: String) {
            display("the program returned {found}, not a map")
        }
        /// A field is unknown, missing, of the wrong type or out of range.
        Field(name: String, message: String) {
            display("{name}: {message}")
        }
    }
}

impl Route {
    /// Creates a route to `service` with all defaults.
    pub fn new(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            may_repeat: false,
            budget_ms: None,
            latency_objective_ms: None,
            tries: 3,
            class: 0,
            hedge_after_ms: None,
            importance: IMPORTANCE_DEFAULT,
            is_public: false,
            data_centres: Vec::new(),
            observe_percent: 100,
        }
    }
}

impl Plan {
    /// Parses the result of a program.
    ///
    /// # Errors
    ///
    /// A [`PlanError`] when the result is not a map or one of its fields is invalid.
    pub fn from_result(result: Dynamic) -> Result<Self, PlanError> {
        let found = result.type_name();
        let Some(map) = result.try_cast::<Map>() else {
            return Err(PlanError::NotAMap(found.to_owned()));
        };
        if let Some(reason) = map.get("refuse") {
            return read_refusal(&map, reason);
        }
        let mut route = Route::new("");
        for (name, value) in &map {
            read_field(&mut route, name, value)?;
        }
        if route.service.is_empty() {
            return Err(field("service", "is missing"));
        }
        if route.hedge_after_ms.is_some() && !route.may_repeat {
            return Err(field(
                "hedge_after_ms",
                "requires `repeat: true`, because hedging may run the request twice",
            ));
        }
        Ok(Self::Route(route))
    }
}

fn field(name: &str, message: &str) -> PlanError {
    PlanError::Field(name.to_owned(), message.to_owned())
}

fn read_refusal(map: &Map, reason: &Dynamic) -> Result<Plan, PlanError> {
    if map.len() != 1 {
        return Err(field("refuse", "must be the only field"));
    }
    let reason = reason.clone().into_string();
    reason.map(Plan::Refuse).map_err(|found| field("refuse", &format!("is {found}, not a string")))
}

fn read_field(route: &mut Route, name: &str, value: &Dynamic) -> Result<(), PlanError> {
    match name {
        "service" => route.service = read_string(name, value)?,
        "repeat" => route.may_repeat = read_bool(name, value)?,
        "budget_ms" => route.budget_ms = Some(read_integer(name, value, 1, DURATION_MS_MAX)? as u64),
        "tries" => route.tries = read_integer(name, value, 1, TRIES_MAX)? as u32,
        "hedge_after_ms" => {
            route.hedge_after_ms = Some(read_integer(name, value, 1, DURATION_MS_MAX)? as u64);
        }
        "importance" => route.importance = read_integer(name, value, 0, IMPORTANCE_MAX)? as u8,
        "observe" => route.observe_percent = read_integer(name, value, 0, 100)? as u8,
        _ => return Err(field(name, "is not a field of a decision")),
    }
    Ok(())
}

fn read_string(name: &str, value: &Dynamic) -> Result<String, PlanError> {
    let string = value.clone().into_string();
    string.map_err(|found| field(name, &format!("is {found}, not a string")))
}

fn read_bool(name: &str, value: &Dynamic) -> Result<bool, PlanError> {
    value.as_bool().map_err(|found| field(name, &format!("is {found}, not true or false")))
}

fn read_integer(name: &str, value: &Dynamic, least: i64, most: i64) -> Result<i64, PlanError> {
    let number = value.as_int().map_err(|found| field(name, &format!("is {found}, not an integer")))?;
    if (least..=most).contains(&number) {
        return Ok(number);
    }
    Err(field(name, &format!("{number} is not in {least} to {most}")))
}
