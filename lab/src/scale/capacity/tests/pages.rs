//! Tests of `pages.rs`, `slopes.rs`, `budgets.rs` and `over_budget.rs`.

use super::*;
use crate::scale::capacity::docs_copy::{docs_dir, DocsCopy};
use crate::scale::capacity::import;
use crate::scale::capacity::options::MeasuredBuild;
use crate::scale::capacity::slopes::{value_at, Extrapolation};
use serde_json::json;

#[test]
fn page_and_plots_match_the_slopes() {
    let pages = generate(&docs_dir()).unwrap();
    assert!(
        outdated_files(&pages).is_empty(),
        "run asterrill-lab capacity: {:?} differ",
        outdated_files(&pages)
    );
}

#[test]
fn detects_changed_figures_on_the_page_in_the_slopes_and_in_plots() {
    let copy = DocsCopy::new("changed");
    assert!(copy.outdated_files().is_empty());
    copy.change("CAPACITY.md", |text| text.replacen("| 14 ", "| 15 ", 1));
    assert_eq!(copy.outdated_files(), ["CAPACITY.md"]);
    let copy = DocsCopy::new("plot");
    copy.change("capacity/cpu.svg", |text| text.replacen("cx=\"", "cx=\"1", 1) + " ");
    assert_eq!(copy.outdated_files(), ["cpu.svg"]);
    let copy = DocsCopy::new("slopes");
    let output = json!({"scenario": "scale-config", "methods": 4_700, "tenants": 49_000, "cpu_ms_per_reload": 12_345.0});
    let (path, before) = (copy.0.join("capacity/slopes.json"), MeasuredBuild::Before);
    copy.change("capacity/slopes.json", |text| {
        let three_sizes =
            [1.0, 2.0, 3.0].map(|n| json!({"scenario": "scale-config", "methods": n as u64, "tenants": 0, "cpu_ms_per_reload": n}));
        let all = [&three_sizes[..], &[output]].concat();
        import::import_outputs(&path, &text, &all, before, None).unwrap().text
    });
    assert_eq!(copy.outdated_files(), ["CAPACITY.md", "cpu.svg"]);
}

#[test]
fn errors_name_the_row_and_the_cause() {
    let error_after = |from: &str, to: &str| {
        let copy = DocsCopy::new("row");
        copy.change("capacity/slopes.json", |text| {
            assert!(text.contains(from), "{from}");
            text.replacen(from, to, 1)
        });
        copy.generate_error()
    };
    let error = error_after("\"id\": \"config-memory-peak\"", "\"id\": \"config-memory\"");
    assert!(error.contains("row config-memory:") && error.contains("duplicate id"), "{error}");
    let error = error_after("\"role\": \"backend\"", "\"role\": \"anybody\"");
    assert!(error.contains("row config-memory:") && error.contains("anybody"), "{error}");
    let error = error_after("\"axis\": \"entries\"", "\"axis\": \"weight\"");
    assert!(error.contains("row config-memory:") && error.contains("weight"), "{error}");
    let error = error_after("\"format\": 1", "\"format\": 2");
    assert!(error.contains("format 2, expected 1"), "{error}");
}

#[test]
fn measured_slopes_have_four_ascending_sizes_or_that_of_the_fleet() {
    let row = |points: &str| {
        let text = format!(
            r#"{{"format": 1, "taken": {{"date": "", "machine": "", "cores": 1, "commit": ""}},
            "before": {{"date": "", "machine": "", "cores": 1, "commit": ""}}, "slopes": [
            {{"id": "it", "role": "keeper", "part": "", "what": "", "unit": "", "axis": "members", "basis": "measured",
              "command": "make", "points": {points}, "spread": "", "note": ""}}]}}"#
        );
        let sizes = r#"{"format": 1, "sizes": [{"id": "members", "what": "", "value": 510}], "rates": [],
            "budgets": [], "bounds": [], "lines": []}"#;
        let slopes = Slopes::parse(Path::new("x.json"), &text);
        let all = slopes.and_then(|slopes| Budgets::parse(Path::new("y.json"), sizes, &slopes));
        all.map(drop).map_err(|error| error.to_string())
    };
    assert_eq!(row("[[1, 1], [2, 2], [3, 3], [4, 4]]"), Ok(()));
    assert_eq!(row("[[510, 1]]"), Ok(()));
    let error = row("[[1, 1], [2, 2], [3, 3]]").unwrap_err();
    assert_eq!(error, "slopes.json: row it: points: found 3 sizes, expected at least 4, or one of 510");
    assert!(row("[[1, 1], [2, 2], [2, 3], [4, 4]]")
        .unwrap_err()
        .contains("sizes are not in ascending order"));
    assert!(row("[]").unwrap_err().contains("why the figure is not measured"));
}

#[test]
fn values_are_exact_or_on_the_fitted_line_or_on_that_of_the_worst_pair() {
    let line = [(10.0, 1.0), (20.0, 2.0), (30.0, 3.1), (40.0, 4.0)];
    assert_eq!(value_at(&line, 30.0), Some((3.1, Extrapolation::Exact)));
    let (value, how) = value_at(&line, 400.0).unwrap();
    assert!(
        (value - 40.4).abs() < 0.5
            && matches!(how, Extrapolation::Linear { deviation, .. } if deviation < 0.02),
        "{value} {how:?}"
    );
    let nonlinear = [(10.0, 1.0), (20.0, 2.0), (30.0, 4.0), (40.0, 9.0)];
    let (value, how) = value_at(&nonlinear, 50.0).unwrap();
    assert_eq!(value, 14.0);
    assert!(
        matches!(how, Extrapolation::WorstPair { from: 30.0, to: 40.0, slope, .. } if slope == 0.5),
        "{how:?}"
    );
    assert_eq!(value_at(&[(10.0, 1.0)], 20.0), Some((1.0, Extrapolation::SinglePoint)));
    assert_eq!(value_at(&[], 20.0), None);
}

#[test]
fn orders_lines_over_budget_by_their_factor() {
    let copy = DocsCopy::new("over");
    let path = copy.0.join("capacity/slopes.json");
    let sizes = [(5, 0), (470, 4_900), (1_500, 16_000), (4_700, 49_000)];
    let output = |(methods, tenants): (u64, u64), times: u64| {
        json!({"scenario": "scale-config", "methods": methods, "tenants": tenants, "rss_kb_small": 0,
            "rss_kb": 32_768 * times, "rss_kb_after": 32_768 * 9 * times, "gap_ms_max": 2 * times})
    };
    for (build, times) in [(MeasuredBuild::Before, 4), (MeasuredBuild::After, 1)] {
        copy.change("capacity/slopes.json", |text| {
            import::import_outputs(&path, &text, &sizes.map(|size| output(size, times)), build, None)
                .unwrap()
                .text
        });
    }
    let pages = generate(&copy.0).unwrap();
    let (_, table) = pages.files[0].1.split_once("<!-- capacity: over -->").unwrap();
    let (table, _) = table.split_once("<!-- end -->").unwrap();
    let position = |description: &str| table.find(description).unwrap();
    let changes = position("configuration, after 200 changes of one entry");
    let start = position("configuration, at the start");
    let gap = position("longest time without an answer");
    assert!(changes < start && start < gap, "{table}");
    assert!(table.contains("| **1,152 MB, 36 times** | **288 MB, 9 times** |"), "{table}");
    assert!(table.contains("| **128 MB, 4 times** | 32 MB, 1 times |"), "{table}");
}
