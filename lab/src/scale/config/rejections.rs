//! Invalid changes, which have to be rejected without replacing the running version.

use super::session::{accepted, Outcome, Session};
use crate::report::ScenarioError;
use crate::scale::test_bed::{method_name, tenant_name};
use serde_json::json;

const UNKNOWN_METHOD: usize = 99_999;
const MAX_NAME_BYTES: usize = 128;

impl Session<'_> {
    /// Stages invalid changes and reloads a truncated file.
    pub(super) fn check_rejections(&mut self) -> Result<(), ScenarioError> {
        let before = self.running_version()?;
        let valid_text = self.bed.config_text(&self.site);
        let (rejected, reasons) = (self.rejected, self.reasons.clone());
        let put = |name: &str, rate: i64| {
            let entry = json!({"put": "tenant", "Name": name, "QuotaRps": rate});
            json!({"do": "stage", "step": entry.to_string()})
        };
        let unknown = json!({"take": "method", "Name": method_name(UNKNOWN_METHOD)}).to_string();
        let invalid_requests = [
            put(&tenant_name(0), -1),
            put(&"x".repeat(MAX_NAME_BYTES + 1), 1),
            json!({"do": "stage", "step": unknown}),
            json!({"do": "stage", "text": "{\"name\": 1}"}),
        ];
        for request in invalid_requests {
            let answer = self.control.request(request)?;
            self.report.rule("an invalid change was staged", !accepted(&answer));
        }
        let truncated = valid_text.get(..valid_text.len() / 2).unwrap_or_default();
        let outcome = self.reload_text(truncated)?;
        self.report.rule("a truncated file was applied", matches!(outcome, Outcome::Rejected));
        std::fs::write(self.bed.config_path(), valid_text)?;
        (self.rejected, self.reasons) = (rejected, reasons);
        let after = self.running_version()?;
        self.report.rule("a rejected change replaced the running version", before == after);
        Ok(())
    }
}
