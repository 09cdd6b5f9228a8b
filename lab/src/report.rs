//! What a scenario has found: figures, and the rules that were broken.

use serde_json::{Map, Value};

/// Why a scenario could not be played.
pub type Fault = Box<dyn std::error::Error>;

#[derive(Default)]
pub struct Report {
    figures: Map<String, Value>,
    broken: Vec<String>,
}

impl Report {
    pub fn set(&mut self, name: &str, value: Value) {
        self.figures.insert(name.into(), value);
    }
    /// A figure as it was set; none if it is not there or not a number.
    pub fn figure(&self, name: &str) -> Option<f64> {
        self.figures.get(name)?.as_f64()
    }
    pub fn get(&self, name: &str) -> Option<&Value> {
        self.figures.get(name)
    }
    /// A rule, named by what is said when it does not hold.
    pub fn rule(&mut self, broken: &str, holds: bool) {
        if !holds && !self.broken.iter().any(|known| known == broken) {
            self.broken.push(broken.into());
        }
    }
    pub fn broken(&self) -> &[String] {
        &self.broken
    }
    /// The figures, and the rules that were broken.
    pub fn parts(self) -> (Map<String, Value>, Vec<String>) {
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
