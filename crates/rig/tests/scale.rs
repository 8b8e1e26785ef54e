//! Scale experiments at small sizes: fits of points with known parameters, and experiments with real daemons.
use corkbay_rig::scale::fit::{fit_rows, Line, PowerLaw};
use corkbay_rig::scale::Measurement;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::Command;

#[test]
fn fits_recover_a_line_and_a_power_law_and_report_the_residual() {
    let line: Vec<(f64, f64)> = [1.0, 4.0, 16.0].map(|x| (x, 5.0 + 3.0 * x)).to_vec();
    let fit = Line::fit(&line).expect("three sizes");
    assert!((fit.intercept - 5.0).abs() < 1e-9 && (fit.slope - 3.0).abs() < 1e-9, "{fit:?}");
    assert!(fit.residual < 1e-9 && (fit.at(100.0) - 305.0).abs() < 1e-6);
    let square: Vec<(f64, f64)> = [2.0, 4.0, 8.0, 16.0].map(|x: f64| (x, 0.5 * x.powi(2))).to_vec();
    let law = PowerLaw::fit(&square).expect("four sizes");
    assert!((law.exponent - 2.0).abs() < 1e-9 && (law.factor - 0.5).abs() < 1e-9, "{law:?}");
    assert!(law.residual < 1e-9 && (law.at(32.0) - 512.0).abs() < 1e-6);
    // Points at a distance of 1 above and below a flat line have a residual of 1.
    let flat = [(1.0, 9.0), (2.0, 11.0), (3.0, 11.0), (4.0, 9.0)];
    let fit = Line::fit(&flat).expect("four sizes");
    assert!(fit.slope.abs() < 1e-9 && (fit.residual - 1.0).abs() < 1e-9, "{fit:?}");
}

/// Guards against slopes fitted from too few sizes.
#[test]
fn no_slope_is_fitted_from_fewer_than_three_sizes() {
    assert!(Line::fit(&[(1.0, 1.0), (1.0, 2.0), (2.0, 3.0), (2.0, 4.0)]).is_none());
    assert!(PowerLaw::fit(&[(1.0, 1.0), (2.0, 0.0), (3.0, 3.0)]).is_none(), "0 has no logarithm");
    let two = [1.0, 2.0].map(|size| Measurement::new("two", size, size, "bytes"));
    let three = [1.0, 2.0, 3.0].map(|size| Measurement::new("three", size, 7.0 * size, "bytes"));
    let fits = fit_rows(&[two.to_vec(), three.to_vec()].concat());
    assert_eq!(fits.len(), 1);
    assert!(fits[0].row == "three" && fits[0].points == 3 && (fits[0].slope - 7.0).abs() < 1e-9);
}

/// The folder of the executables that `cargo test --workspace` builds, the parent of the folder of this test.
fn programs() -> PathBuf {
    let tests = std::env::current_exe().expect("this test");
    tests.ancestors().nth(2).expect("a target folder").to_path_buf()
}

/// Runs an experiment of the rig and reads its CSV file: the figure of each row and size.
fn experiment(name: &str, options: &[&str]) -> BTreeMap<(String, u64), f64> {
    let folder = std::env::temp_dir().join(format!("corkbay-scale-{name}-{}", std::process::id()));
    let mut command = Command::new(env!("CARGO_BIN_EXE_corkbay-rig"));
    command.arg("--program").arg(programs().join("corkbay")).arg("--out").arg(&folder);
    let output = command.args(["scale", name]).args(options).output().expect("runs");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{stderr}");
    let mut rows = csv::Reader::from_path(folder.join(format!("scale-{name}.csv"))).expect("a table");
    let found = rows.deserialize::<(String, f64, f64, String)>().map(|row| row.expect("a measurement"));
    let found = found.map(|(row, size, value, _)| ((row, size as u64), value)).collect();
    assert!(folder.join(format!("scale-{name}.svg")).exists());
    let _ = std::fs::remove_dir_all(folder);
    println!("{stderr}");
    found
}

fn figure(found: &BTreeMap<(String, u64), f64>, row: &str, size: u64) -> f64 {
    *found.get(&(row.to_string(), size)).unwrap_or_else(|| panic!("{row} at {size} in {found:?}"))
}

#[test]
fn mesh_tells_cost_and_time_at_each_size() {
    let options = ["--nodes", "2,3", "--functions", "20", "--idle-seconds", "1", "--changes", "1"];
    let found = experiment("mesh", &options);
    for nodes in [2, 3] {
        // Idle peers exchange digests at each interval, so CPU use is not 0; each node has resident memory.
        assert!(figure(&found, "idle cpu a node; 20 functions, over nodes", nodes) > 0.0);
        assert!(figure(&found, "resident a node; 20 functions, over nodes", nodes) > 1.0);
        assert!(figure(&found, "change in force at all, max; 20 functions, over nodes", nodes) > 0.0);
    }
}

#[test]
fn catalog_tells_start_and_memory_at_each_size() {
    let found = experiment("catalog", &["--functions", "10,40", "--plays", "1"]);
    let account = |functions| figure(&found, "first start: catalog account", functions);
    assert!(account(40) > 2.0 * account(10), "{found:?}");
    assert!(figure(&found, "start on kept data: log on disk", 40) > 0.0);
}

/// Checks the guarantees of the feed at a small size: a change is in force within 6 s although a control node is lost,
/// a stale control node undoes no change, and followers with stored data get no full copy.
#[test]
fn feed_changes_outlive_lost_and_stale_control_nodes() {
    let options = ["--followers", "3", "--functions", "30", "--idle-seconds", "4", "--changes", "2"];
    let plays = ["--burst", "10", "--failures", "2", "--stale", "1"];
    let found = experiment("feed", &[options.as_slice(), plays.as_slice()].concat());
    let of = |name: &str| figure(&found, &format!("{name}; 30 functions, over followers"), 3);
    assert_eq!(of("one change in force at all, plays"), 2.0);
    // A heartbeat and its answer take at most 200 bytes together and are sent every 1.5 s: two to four pairs in 4 s.
    let idle = of("idle message bytes a hollow follower");
    assert!(idle > 0.0 && idle * 4.0 <= 4.0 * 200.0, "{idle}");
    assert_eq!(of("all restarted: full copies"), 0.0);
    assert_eq!(of("change while a control node is lost, plays"), 2.0);
    assert!(of("change while a control node is lost, max") <= 6.0);
    assert_eq!(of("stale control node: followers that went to it"), 3.0);
    assert_eq!(of("stale control node: changes taken back"), 0.0);
}

#[test]
fn recovery_tells_that_kept_data_saves_bytes() {
    let found = experiment("recovery", &["--followers", "2", "--functions", "100", "--pauses", "0.5"]);
    let bytes =
        |name: &str| figure(&found, &format!("start, {name}: message bytes a follower; over functions"), 100);
    assert!(bytes("kept data") < bytes("empty disk"), "{found:?}");
}
