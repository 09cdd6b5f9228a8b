//! Changes that are wrong: they are rejected, and the version stays.

use super::session::{accepted, Outcome, Session};
use crate::report::ScenarioError;
use crate::scale::test_bed::{method_name, tenant_name};
use serde_json::json;

const UNKNOWN_METHOD: usize = 99_999;
const LONGEST_NAME: usize = 128; // bytes

impl Session<'_> {
    /// Stages and reloads what is wrong.
    pub(super) fn check_rejections(&mut self) -> Result<(), ScenarioError> {
        let before = self.running()?;
        let good = self.bed.config_text(&self.site);
        let (rejected, reasons) = (self.rejected, self.reasons.clone());
        let put = |name: &str, rate: i64| {
            let entry = json!({"put": "tenant", "Name": name, "QuotaRps": rate});
            json!({"do": "stage", "step": entry.to_string()})
        };
        let unknown = json!({"take": "method", "Name": method_name(UNKNOWN_METHOD)}).to_string();
        let mistakes = [
            put(&tenant_name(0), -1),
            put(&"x".repeat(LONGEST_NAME + 1), 1),
            json!({"do": "stage", "step": unknown}),
            json!({"do": "stage", "text": "{\"name\": 1}"}),
        ];
        for mistake in mistakes {
            let answer = self.control.request(mistake)?;
            self.report.rule("what is wrong was staged", !accepted(&answer));
        }
        let half = good.get(..good.len() / 2).unwrap_or_default();
        let outcome = self.reload_text(half)?;
        self.report.rule("half a file was taken", matches!(outcome, Outcome::Rejected));
        std::fs::write(self.bed.config_path(), good)?;
        (self.rejected, self.reasons) = (rejected, reasons);
        let after = self.running()?;
        self.report.rule("a refused change left another version", before == after);
        Ok(())
    }
}
