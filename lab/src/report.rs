//! What a scenario has found: figures, and the rules that were broken.

use serde_json::{Map, Value};

/// Why a scenario could not be played.
#[derive(thiserror::Error, Debug)]
pub enum ScenarioError {
    /// A socket, a file or a process.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// An answer or a file that is not the JSON that it has to be.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A call to the system.
    #[error(transparent)]
    System(#[from] nix::errno::Errno),
    /// Something did not come about, or an option can't be played: what, and what was seen instead.
    #[error("{0}")]
    Failed(String),
}

impl From<String> for ScenarioError {
    fn from(what: String) -> ScenarioError {
        ScenarioError::Failed(what)
    }
}

impl From<&str> for ScenarioError {
    fn from(what: &str) -> ScenarioError {
        ScenarioError::Failed(what.into())
    }
}

/// Figures by name, and the rules that were broken.
#[derive(Default)]
pub struct Report {
    figures: Map<String, Value>,
    broken: Vec<String>,
}

impl Report {
    /// Sets a figure, in place of an earlier one of this name.
    pub fn set(&mut self, name: &str, value: Value) {
        self.figures.insert(name.into(), value);
    }

    /// A figure as it was set; none if it is not there or not a number.
    pub fn figure(&self, name: &str) -> Option<f64> {
        self.figures.get(name)?.as_f64()
    }

    /// What was set under a name.
    pub fn get(&self, name: &str) -> Option<&Value> {
        self.figures.get(name)
    }

    /// A rule, named by what is said when it does not hold.
    pub fn rule(&mut self, broken: &str, holds: bool) {
        if !holds && !self.broken.iter().any(|rule| rule == broken) {
            self.broken.push(broken.into());
        }
    }

    /// The rules that were broken, each once.
    pub fn broken(&self) -> &[String] {
        &self.broken
    }

    /// The figures, and the rules that were broken.
    pub fn into_parts(self) -> (Map<String, Value>, Vec<String>) {
        (self.figures, self.broken)
    }

    /// One JSON object.
    pub fn json(mut self, scenario: &str, seed: u64) -> Value {
        self.set("scenario", scenario.into());
        self.set("seed", seed.into());
        self.set("broken", self.broken.clone().into());
        Value::Object(self.figures)
    }
}
