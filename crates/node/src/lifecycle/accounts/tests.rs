use super::*;

fn settings(catalog_share: Option<f64>, catalog_bytes: usize) -> MemorySettings {
    let shares = catalog_share.map(|percent| ("catalog".to_string(), percent)).into_iter().collect();
    MemorySettings { memory_mb: 106, base_mb: Some(6.0), reserve_percent: 0.0, shares, catalog_bytes }
}

/// The catalog's cap in MiB with 100 MiB for all accounts, or the error that names the key at fault.
fn catalog_cap(catalog_share: Option<f64>, catalog_mib: f64) -> Result<usize, String> {
    let bytes = (catalog_mib * MIB as f64) as usize;
    let budget = deploy_budget(&settings(catalog_share, bytes), MIN_BASE_BYTES);
    let cap = budget.map(|budget| (budget.cap(Purpose::Catalog) as f64 / MIB as f64).round() as usize);
    cap.map_err(|error| error.to_string())
}

#[test]
fn the_catalog_share_grows_with_the_configuration_and_has_spare_room_if_possible() {
    assert_eq!(catalog_cap(None, 1.0), Ok(5), "the usual share is enough");
    assert_eq!(catalog_cap(None, 20.0), Ok(25));
    assert_eq!(catalog_cap(None, 75.0), Ok(75), "spare room would exceed what other shares can give");
    assert_eq!(catalog_cap(Some(2.0), 1.9), Ok(2), "a share set by the file is not raised");
    let error = catalog_cap(Some(2.0), 2.1).expect_err("refused");
    assert!(error.contains("memory.shares.catalog"), "{error}");
    let error = catalog_cap(None, 101.0).expect_err("refused");
    assert!(error.contains("memory_mb"), "{error}");
}

/// Guards against planning too little memory for a list of thousands of workers: those that did not fit got no calls.
#[test]
fn thousands_of_workers_fit_their_accounts() {
    const CLASSES: usize = 2;
    for (memory_mb, workers) in [(24, 200), (24, 3200), (48, 3200), (192, 3200)] {
        let fleet = FleetSize { workers, classes: CLASSES };
        let caps = platform_budget(memory_mb, 6 * MIB, 1, fleet).expect("fits");
        let usual = platform_budget(memory_mb, 6 * MIB, 1, FleetSize::default()).expect("fits");
        assert!(caps.cap(Purpose::Roster) >= workers * roster::usual_cost(), "{memory_mb} MB, {workers}");
        let worker_bytes = workers * TableSizes::worker_cost(CLASSES);
        let model_bytes = caps.cap(Purpose::Learnt).saturating_sub(worker_bytes);
        assert!(model_bytes >= usual.cap(Purpose::Learnt) / 2, "{memory_mb} MB, {workers}: {model_bytes}");
        assert!(caps.room() <= usual.room() + Purpose::COUNT, "{memory_mb} MB, {workers}");
        let left = [Purpose::Calls, Purpose::Clients, Purpose::Workers];
        assert!(left.iter().all(|purpose| 4 * caps.cap(*purpose) >= usual.cap(*purpose)), "{memory_mb} MB");
    }
    let too_many = FleetSize { workers: 1_000_000, classes: CLASSES };
    let caps = platform_budget(24, 6 * MIB, 1, too_many).expect("falls back to the usual caps");
    assert_eq!(caps, platform_budget(24, 6 * MIB, 1, FleetSize::default()).expect("fits"));
}
