//! Tests of `import.rs` and `outputs.rs`.

use super::*;
use crate::scale::capacity::docs_copy::DocsCopy;
use crate::scale::capacity::outputs::read_outputs;
use crate::scale::capacity::slopes::Basis;
use serde_json::json;

#[test]
fn imports_ratios_to_the_previous_build_for_each_point() {
    let copy = DocsCopy::new("rpcs");
    let path = copy.0.join("capacity/slopes.json");
    let text = std::fs::read_to_string(&path).unwrap();
    let point = |(methods, tenants, ratio): (u64, u64, f64)| json!({"methods": methods, "tenants": tenants, "callers": 42, "cpu_us": 50.0, "ratio_to_other": ratio});
    let points = [(5, 0, 0.5), (470, 4_900, 0.625), (4_700, 49_000, 0.75)].map(point);
    let output = json!({"scenario": "scale-rpc", "points": points});
    std::fs::write(copy.0.join("out.txt"), output.to_string()).unwrap();
    let read = read_outputs(&copy.0.join("out.txt")).unwrap();
    let text = import_outputs(&path, &text, &read, MeasuredBuild::After, Some("abcdef1")).unwrap().text;
    let row = Slopes::parse(&path, &text).unwrap().get("rpc-to-before").cloned().unwrap();
    assert_eq!(row.points, [(5.0, 0.5), (5_370.0, 0.625), (53_700.0, 0.75)]);
}

#[test]
fn imports_medians_and_a_repeated_import_changes_nothing() {
    let copy = DocsCopy::new("import");
    let path = copy.0.join("capacity/slopes.json");
    let sizes = [(5, 0), (470, 4_900), (1_500, 16_000), (4_700, 49_000)];
    let output = |(methods, tenants): (u64, u64), added_kb: u64| json!({"scenario": "scale-config", "methods": methods, "tenants": tenants, "rss_kb": 20_480 + added_kb, "rss_kb_small": 10_240});
    let outputs: Vec<_> =
        sizes.iter().flat_map(|size| [0, 1_024, 102_400].map(|added_kb| output(*size, added_kb))).collect();
    let text = std::fs::read_to_string(&path).unwrap();
    let Imported { text: once, rows } =
        import_outputs(&path, &text, &outputs, MeasuredBuild::After, Some("abcdef1")).unwrap();
    assert_eq!(rows, ["config-memory"]);
    let slopes = Slopes::parse(&path, &once).unwrap();
    assert_eq!(slopes.provenance.commit, "abcdef1");
    let row = slopes.get("config-memory").unwrap();
    let last = *row.points.last().unwrap();
    assert_eq!((last, row.basis), ((53_700.0, 11.0), Basis::Measured));
    assert!(row.spread.contains("at 53,700 10 to 110"), "{}", row.spread);
    assert_eq!(row.previous, Slopes::parse(&path, &text).unwrap().get("config-memory").unwrap().previous);
    let with_other = json!({"scenario": "scale-config", "methods": 4_700, "tenants": 49_000, "rss_kb": 0, "rss_kb_small": 0,
        "other": {"broken": ["an RPC was answered twice"], "rss_kb": 61_440, "rss_kb_small": 10_240, "spread": {"rss_kb": [51_200, 71_680]}}});
    let four_sizes = [&outputs[..9], &[with_other]].concat();
    let before = import_outputs(&path, &once, &four_sizes, MeasuredBuild::Before, None).unwrap().text;
    let row = Slopes::parse(&path, &before).unwrap().get("config-memory").cloned().unwrap();
    let before = row.previous.unwrap();
    assert_eq!((before.points.last(), row.points.last()), (Some(&(53_700.0, 50.0)), Some(&last)));
    let spread = "at 53,700 40 to 60; at 53,700 a rule broke: an RPC was answered twice";
    assert!(before.spread.contains(spread), "{}", before.spread);
    let twice = import_outputs(&path, &once, &outputs, MeasuredBuild::After, None).unwrap().text;
    assert_eq!(once, twice);
    let lines = outputs.iter().map(|output| format!("{output}\n")).collect::<String>();
    std::fs::write(copy.0.join("out.txt"), format!("not json\n{lines}")).unwrap();
    assert_eq!(read_outputs(&copy.0.join("out.txt")).unwrap(), outputs);
    let nested = json!({"command": "x", "result": {"scenario": "scale-tool", "runs": outputs}});
    std::fs::write(copy.0.join("out.txt"), nested.to_string()).unwrap();
    let read = read_outputs(&copy.0.join("out.txt")).unwrap();
    assert_eq!(read.len(), outputs.len());
    assert!(read.iter().all(|output| output["scenario"] == "scale-tool" && output["rss_kb"].is_u64()));
    std::fs::write(copy.0.join("out.txt"), "{}").unwrap();
    assert!(read_outputs(&copy.0.join("out.txt")).unwrap_err().to_string().contains("methods and tenants"));
}
