//! Tests of `capacity.rs` and its parts.

use super::slopes::{at, Basis, Line};
use super::*;
use serde_json::json;

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs")
}

/// A copy of the repository's files, in a directory that goes with it.
struct Copy(PathBuf);

impl Copy {
    fn new(name: &str) -> Copy {
        let to = std::env::temp_dir().join(format!("asterrill-capacity-{}-{name}", std::process::id()));
        std::fs::create_dir_all(to.join("capacity")).unwrap();
        std::fs::copy(docs().join("CAPACITY.md"), to.join("CAPACITY.md")).unwrap();
        for file in std::fs::read_dir(docs().join("capacity")).unwrap() {
            let file = file.unwrap();
            std::fs::copy(file.path(), to.join("capacity").join(file.file_name())).unwrap();
        }
        Copy(to)
    }
    fn change(&self, file: &str, change: impl FnOnce(String) -> String) {
        let path = self.0.join(file);
        let text = change(std::fs::read_to_string(&path).unwrap());
        std::fs::write(path, text).unwrap();
    }
    fn differing(&self) -> Vec<String> {
        let worked = work_out(&self.0).unwrap();
        let names =
            differing(&worked).into_iter().map(|path| path.file_name().unwrap().to_str().unwrap().into());
        names.collect()
    }
    fn wrong(&self) -> String {
        work_out(&self.0).map(|_| ()).unwrap_err().to_string()
    }
}

impl Drop for Copy {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn page_and_plots_are_what_the_slopes_say() {
    let worked = work_out(&docs()).unwrap();
    assert!(differing(&worked).is_empty(), "run asterrill-lab capacity: {:?} differ", differing(&worked));
}

#[test]
fn a_figure_that_was_changed_on_the_page_in_the_slopes_or_in_a_plot_is_seen() {
    let copy = Copy::new("changed");
    assert!(copy.differing().is_empty());
    copy.change("CAPACITY.md", |text| text.replacen("| 14 ", "| 15 ", 1));
    assert_eq!(copy.differing(), ["CAPACITY.md"]);
    let copy = Copy::new("plot");
    copy.change("capacity/cpu.svg", |text| text.replacen("cx=\"", "cx=\"1", 1) + " ");
    assert_eq!(copy.differing(), ["cpu.svg"]);
    let copy = Copy::new("slopes");
    let output = json!({"scenario": "scale-config", "methods": 4_700, "tenants": 49_000, "cpu_ms_per_reload": 12_345.0});
    let (path, before) = (copy.0.join("capacity/slopes.json"), As::Before);
    copy.change("capacity/slopes.json", |text| {
        let four =
            [1.0, 2.0, 3.0].map(|n| json!({"scenario": "scale-config", "methods": n as u64, "tenants": 0, "cpu_ms_per_reload": n}));
        let all = [&four[..], &[output]].concat();
        take::take(&path, &text, &all, before, None).unwrap().0
    });
    assert_eq!(copy.differing(), ["CAPACITY.md", "cpu.svg"]);
}

#[test]
fn a_row_that_is_wrong_is_named_with_its_mistake() {
    let wrong = |from: &str, to: &str| {
        let copy = Copy::new("row");
        copy.change("capacity/slopes.json", |text| {
            assert!(text.contains(from), "{from}");
            text.replacen(from, to, 1)
        });
        copy.wrong()
    };
    let told = wrong("\"id\": \"config-memory-peak\"", "\"id\": \"config-memory\"");
    assert!(told.contains("row config-memory:") && told.contains("another with this id"), "{told}");
    let told = wrong("\"role\": \"backend\"", "\"role\": \"anybody\"");
    assert!(told.contains("row config-memory:") && told.contains("anybody"), "{told}");
    let told = wrong("\"axis\": \"entries\"", "\"axis\": \"weight\"");
    assert!(told.contains("row config-memory:") && told.contains("weight"), "{told}");
    let told = wrong("\"format\": 1", "\"format\": 2");
    assert!(told.contains("format 2, not 1"), "{told}");
}

#[test]
fn a_measured_slope_has_four_sizes_that_grow_or_one_that_is_the_fleets() {
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
        all.map(drop).map_err(|wrong| wrong.to_string())
    };
    assert_eq!(row("[[1, 1], [2, 2], [3, 3], [4, 4]]"), Ok(()));
    assert_eq!(row("[[510, 1]]"), Ok(()));
    let told = row("[[1, 1], [2, 2], [3, 3]]").unwrap_err();
    assert_eq!(told, "slopes.json: row it: points: 3 sizes, 4 at least, or one of 510");
    assert!(row("[[1, 1], [2, 2], [2, 3], [4, 4]]").unwrap_err().contains("sizes have to grow"));
    assert!(row("[]").unwrap_err().contains("why it is not measured"));
}

#[test]
fn a_value_is_read_off_or_lies_on_the_line_or_is_that_of_the_worst_pair() {
    let line = [(10.0, 1.0), (20.0, 2.0), (30.0, 3.1), (40.0, 4.0)];
    assert_eq!(at(&line, 30.0), Some((3.1, Line::ReadOff)));
    let (value, how) = at(&line, 400.0).unwrap();
    assert!(
        (value - 40.4).abs() < 0.5 && matches!(how, Line::Fit { off, .. } if off < 0.02),
        "{value} {how:?}"
    );
    let bent = [(10.0, 1.0), (20.0, 2.0), (30.0, 4.0), (40.0, 9.0)];
    let (value, how) = at(&bent, 50.0).unwrap();
    assert_eq!(value, 14.0);
    assert!(matches!(how, Line::Pair { from: 30.0, to: 40.0, b, .. } if b == 0.5), "{how:?}");
    assert_eq!(at(&[(10.0, 1.0)], 20.0), Some((1.0, Line::Only)));
    assert_eq!(at(&[], 20.0), None);
}

#[test]
fn what_an_rpc_costs_over_the_build_before_is_taken_point_by_point() {
    let copy = Copy::new("rpcs");
    let path = copy.0.join("capacity/slopes.json");
    let text = std::fs::read_to_string(&path).unwrap();
    let point = |(methods, tenants, over): (u64, u64, f64)| json!({"methods": methods, "tenants": tenants, "callers": 42, "cpu_us": 50.0, "ratio_to_other": over});
    let points = [(5, 0, 0.5), (470, 4_900, 0.625), (4_700, 49_000, 0.75)].map(point);
    let output = json!({"scenario": "scale-rpc", "points": points});
    std::fs::write(copy.0.join("out.txt"), output.to_string()).unwrap();
    let read = take::read(&copy.0.join("out.txt")).unwrap();
    let (text, _) = take::take(&path, &text, &read, As::After, Some("abcdef1")).unwrap();
    let row = Slopes::parse(&path, &text).unwrap().get("rpc-to-before").cloned().unwrap();
    assert_eq!(row.points, [(5.0, 0.5), (5_370.0, 0.625), (53_700.0, 0.75)]);
}

#[test]
fn outputs_become_points_and_medians_and_may_be_taken_again() {
    let copy = Copy::new("take");
    let path = copy.0.join("capacity/slopes.json");
    let sizes = [(5, 0), (470, 4_900), (1_500, 16_000), (4_700, 49_000)];
    let output = |(methods, tenants): (u64, u64), more: u64| json!({"scenario": "scale-config", "methods": methods, "tenants": tenants, "rss_kb": 20_480 + more, "rss_kb_small": 10_240});
    let outputs: Vec<_> =
        sizes.iter().flat_map(|size| [0, 1_024, 102_400].map(|more| output(*size, more))).collect();
    let text = std::fs::read_to_string(&path).unwrap();
    let (once, rows) = take::take(&path, &text, &outputs, As::After, Some("abcdef1")).unwrap();
    assert_eq!(rows, ["config-memory"]);
    let taken = Slopes::parse(&path, &once).unwrap();
    assert_eq!(taken.taken.commit, "abcdef1");
    let row = taken.get("config-memory").unwrap();
    let last = *row.points.last().unwrap();
    assert_eq!((last, row.basis), ((53_700.0, 11.0), Basis::Measured));
    assert!(row.spread.contains("at 53,700 10 to 110"), "{}", row.spread);
    assert_eq!(row.before, Slopes::parse(&path, &text).unwrap().get("config-memory").unwrap().before);
    let beside = json!({"scenario": "scale-config", "methods": 4_700, "tenants": 49_000, "rss_kb": 0, "rss_kb_small": 0,
        "other": {"broken": ["it fell"], "rss_kb": 61_440, "rss_kb_small": 10_240, "spread": {"rss_kb": [51_200, 71_680]}}});
    let four = [&outputs[..9], &[beside]].concat();
    let (before, _) = take::take(&path, &once, &four, As::Before, None).unwrap();
    let row = Slopes::parse(&path, &before).unwrap().get("config-memory").cloned().unwrap();
    let before = row.before.unwrap();
    assert_eq!((before.points.last(), row.points.last()), (Some(&(53_700.0, 50.0)), Some(&last)));
    let told = "at 53,700 40 to 60; at 53,700 a rule broke: it fell";
    assert!(before.spread.contains(told), "{}", before.spread);
    let (twice, _) = take::take(&path, &once, &outputs, As::After, None).unwrap();
    assert_eq!(once, twice);
    let lines = outputs.iter().map(|output| format!("{output}\n")).collect::<String>();
    std::fs::write(copy.0.join("out.txt"), format!("playing\n{lines}")).unwrap();
    assert_eq!(take::read(&copy.0.join("out.txt")).unwrap(), outputs);
    let one = json!({"command": "x", "result": {"scenario": "scale-tool", "runs": outputs}});
    std::fs::write(copy.0.join("out.txt"), one.to_string()).unwrap();
    let read = take::read(&copy.0.join("out.txt")).unwrap();
    assert_eq!(read.len(), outputs.len());
    assert!(read.iter().all(|output| output["scenario"] == "scale-tool" && output["rss_kb"].is_u64()));
    std::fs::write(copy.0.join("out.txt"), "{}").unwrap();
    assert!(take::read(&copy.0.join("out.txt")).unwrap_err().to_string().contains("methods and tenants"));
}

#[test]
fn what_is_over_its_budget_stands_first_the_furthest_before_the_others() {
    let copy = Copy::new("over");
    let path = copy.0.join("capacity/slopes.json");
    let sizes = [(5, 0), (470, 4_900), (1_500, 16_000), (4_700, 49_000)];
    let output = |(methods, tenants): (u64, u64), times: u64| {
        json!({"scenario": "scale-config", "methods": methods, "tenants": tenants, "rss_kb_small": 0,
            "rss_kb": 32_768 * times, "rss_kb_after": 32_768 * 9 * times, "gap_ms_max": 2 * times})
    };
    for (build, times) in [(As::Before, 4), (As::After, 1)] {
        copy.change("capacity/slopes.json", |text| {
            take::take(&path, &text, &sizes.map(|size| output(size, times)), build, None).unwrap().0
        });
    }
    let worked = work_out(&copy.0).unwrap();
    let (_, table) = worked.files[0].1.split_once("<!-- capacity: over -->").unwrap();
    let (table, _) = table.split_once("<!-- end -->").unwrap();
    let place = |what: &str| table.find(what).unwrap();
    let changes = place("configuration, after 200 changes of one entry");
    let start = place("configuration, at the start");
    let gap = place("longest time without an answer");
    assert!(changes < start && start < gap, "{table}");
    assert!(table.contains("| **1,152 MB, 36 times** | **288 MB, 9 times** |"), "{table}");
    assert!(table.contains("| **128 MB, 4 times** | 32 MB, 1 times |"), "{table}");
}

#[test]
fn figures_are_written_with_the_places_that_say_something() {
    for (value, told) in [
        (0.0, "0"),
        (53_700.4, "53,700"),
        (445.2, "445"),
        (14.0, "14"),
        (7.5, "7.5"),
        (0.0256, "0.026"),
        (-1_234.0, "-1,234"),
    ] {
        assert_eq!(page::number(value), told);
    }
}
