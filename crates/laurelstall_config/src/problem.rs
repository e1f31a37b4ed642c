//! Problems of settings and documents, with the place at which each was found.

use quick_error::quick_error;
use serde::de::DeserializeOwned;
use std::{fmt, ops::RangeInclusive};

/// Maximum number of problems that are reported of one text; the number of further ones is reported.
const PROBLEMS_MAX: usize = 64;
/// Maximum length of a problem's message in bytes; it may quote a value of any length.
const MESSAGE_BYTES_MAX: usize = 512;
/// First character of a JSON text; no TOML text starts with it.
const JSON_START: char = '{';

/// A problem of a settings file or document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Name of the file or document.
    pub file: String,
    /// Line of the problem, counted from 1; 0 if the line is not known.
    pub line: usize,
    /// Name of the invalid field; empty if the text does not parse.
    pub field: String,
    /// What is wrong and which values are valid.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.message)
    }
}

quick_error! {
    /// An error in a settings file or document.
    #[derive(Debug, Clone)]
    pub enum ConfigError {
        /// The text has these problems.
        Invalid(problems: Vec<Problem>) {
            display("{}", problems.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n"))
        }
    }
}

impl ConfigError {
    /// Returns the problems in the order in which they were found.
    pub fn problems(&self) -> &[Problem] {
        let ConfigError::Invalid(problems) = self;
        problems
    }
}

/// Collects the problems of one text, so that all are reported at once.
#[derive(Debug)]
pub struct Checker<'a> {
    file: &'a str,
    text: &'a str,
    problems: Vec<Problem>,
    /// Number of problems beyond [`PROBLEMS_MAX`].
    further: usize,
}

impl<'a> Checker<'a> {
    /// Starts a check of `text`, the content of `file`.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text, problems: Vec::new(), further: 0 }
    }

    /// Parses the text. If that fails, adds the reason to the problems and returns `None`.
    ///
    /// A text that starts with a brace is JSON, any other is TOML. Programs that publish large documents often write
    /// JSON, which parses faster.
    pub fn parse<T: DeserializeOwned>(&mut self) -> Option<T> {
        if self.text.starts_with(JSON_START) {
            return self.parse_json();
        }
        let error = match toml::from_str(self.text) {
            Ok(value) => return Some(value),
            Err(error) => error,
        };
        let line = error.span().map_or(0, |span| self.line_of_offset(span.start));
        self.add_problem_at_line(line, "", error.message());
        None
    }

    fn parse_json<T: DeserializeOwned>(&mut self) -> Option<T> {
        match serde_json::from_str(self.text) {
            Ok(value) => Some(value),
            Err(error) => {
                self.add_problem_at_line(error.line(), "", &error.to_string());
                None
            }
        }
    }

    /// Runs a check of a part of the text and returns whether it added no problem.
    pub fn is_valid(&mut self, check_part: impl FnOnce(&mut Self)) -> bool {
        let before = self.count();
        check_part(self);
        self.count() == before
    }

    fn count(&self) -> usize {
        self.problems.len() + self.further
    }

    /// Adds a problem of `field` unless `value` is in `range`.
    pub fn range<T>(&mut self, field: &str, value: T, range: RangeInclusive<T>)
    where
        T: PartialOrd + fmt::Display,
    {
        if range.contains(&value) {
            return;
        }
        let message = format!("{value} is not in the range {} to {}", range.start(), range.end());
        self.add_problem(field, &message);
    }

    /// Adds a problem of `field` unless `is_valid` holds.
    pub fn ensure(&mut self, is_valid: bool, field: &str, message: &str) {
        if !is_valid {
            self.add_problem(field, message);
        }
    }

    /// Adds a problem of `field` unless `is_valid` holds; for checks of long lists, which mostly need no message.
    pub fn ensure_with(&mut self, is_valid: bool, field: &str, message: impl FnOnce() -> String) {
        if !is_valid {
            self.add_problem(field, &message());
        }
    }

    /// Adds a problem of `field`, at the first line that sets a key with the last part of the field's name.
    pub fn add_problem(&mut self, field: &str, message: &str) {
        if self.problems.len() >= PROBLEMS_MAX {
            self.further += 1;
            return;
        }
        let key = field.rsplit('.').next().unwrap_or(field);
        self.add_problem_at_line(self.line_of_key(key), field, message);
    }

    /// Adds a problem of `field` at the last line that contains `text`.
    pub fn add_problem_at_text(&mut self, text: &str, field: &str, message: &str) {
        if self.problems.len() >= PROBLEMS_MAX {
            self.further += 1;
            return;
        }
        let line = self.text.rfind(text).map_or(0, |offset| self.line_of_offset(offset));
        self.add_problem_at_line(line, field, message);
    }

    /// Adds a problem of `field` at this line.
    pub fn add_problem_at_line(&mut self, line: usize, field: &str, message: &str) {
        self.problems.push(Problem {
            file: self.file.to_owned(),
            line,
            field: field.to_owned(),
            message: shortened(message).to_owned(),
        });
    }

    /// Ends the check.
    ///
    /// # Errors
    ///
    /// Returns all problems that were added, if there are any.
    pub fn finish(self) -> Result<(), ConfigError> {
        match self.into_problems() {
            problems if problems.is_empty() => Ok(()),
            problems => Err(ConfigError::Invalid(problems)),
        }
    }

    /// Ends the check and returns all problems, or the first ones and the number of further ones.
    pub fn into_problems(mut self) -> Vec<Problem> {
        if self.further > 0 {
            let message = format!("{} further problems", self.further);
            self.add_problem_at_line(0, "", &message);
        }
        self.problems
    }

    fn line_of_offset(&self, offset: usize) -> usize {
        self.text[..offset.min(self.text.len())].matches('\n').count() + 1
    }

    fn line_of_key(&self, key: &str) -> usize {
        let is_key = |line: &str| {
            let after_key = line.trim_start().trim_start_matches('[').strip_prefix(key);
            after_key.is_some_and(|rest| rest.trim_start().starts_with(['=', ']', '.']))
        };
        self.text.lines().position(is_key).map_or(0, |index| index + 1)
    }
}

/// Returns the start of a message that is to be logged or reported.
pub fn shortened(message: &str) -> &str {
    let mut end = message.len().min(MESSAGE_BYTES_MAX);
    while !message.is_char_boundary(end) {
        end -= 1;
    }
    &message[..end]
}

/// Whether `name` is a valid name of a team, service, target, host or data centre.
///
/// Names consist of 1 to 63 lower-case letters, digits and `-`, so that `team/service` is unambiguous.
pub fn is_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    (1..=63).contains(&name.len()) && name.chars().all(is_allowed)
}
