//! Reports of scenarios: measured figures, and the rules that were broken.

use serde_json::{Map, Value};

/// Error that keeps a scenario from being run.
#[derive(thiserror::Error, Debug)]
pub enum ScenarioError {
    /// Failed operation on a socket, a file or a process.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Answer or file that is not the expected JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Failed system call.
    #[error(transparent)]
    System(#[from] nix::errno::Errno),
    /// Expected event that did not happen, or option that the scenario does not support; the text says which, and what
    /// was found instead.
    #[error("{0}")]
    Failed(String),
}

impl From<String> for ScenarioError {
    fn from(message: String) -> ScenarioError {
        ScenarioError::Failed(message)
    }
}

impl From<&str> for ScenarioError {
    fn from(message: &str) -> ScenarioError {
        ScenarioError::Failed(message.into())
    }
}

/// Measured figures by name, and the rules that were broken.
#[derive(Default)]
pub struct Report {
    figures: Map<String, Value>,
    broken: Vec<String>,
}

impl Report {
    /// Sets a figure and replaces an earlier one of the same name.
    pub fn set(&mut self, name: &str, value: Value) {
        self.figures.insert(name.into(), value);
    }

    /// Returns a figure as a number, or `None` if it is not set or not a number.
    pub fn figure(&self, name: &str) -> Option<f64> {
        self.figures.get(name)?.as_f64()
    }

    /// Returns the value of a figure, or `None` if it is not set.
    pub fn get(&self, name: &str) -> Option<&Value> {
        self.figures.get(name)
    }

    /// Checks a rule. If it does not hold, the report lists it once by `broken`, the text that describes the violation.
    pub fn rule(&mut self, broken: &str, holds: bool) {
        if !holds && !self.broken.iter().any(|rule| rule == broken) {
            self.broken.push(broken.into());
        }
    }

    /// Returns the rules that were broken, each once.
    pub fn broken(&self) -> &[String] {
        &self.broken
    }

    /// Returns the figures, and the rules that were broken.
    pub fn into_parts(self) -> (Map<String, Value>, Vec<String>) {
        (self.figures, self.broken)
    }

    /// Returns the report as one JSON object.
    pub fn json(mut self, scenario: &str, seed: u64) -> Value {
        self.set("scenario", scenario.into());
        self.set("seed", seed.into());
        self.set("broken", self.broken.clone().into());
        Value::Object(self.figures)
    }
}
