use super::*;

fn settings(catalog_share: Option<f64>, catalog_bytes: usize) -> MemorySettings {
    let shares = catalog_share.map(|percent| ("catalog".to_string(), percent)).into_iter().collect();
    MemorySettings { memory_mb: 106, base_mb: Some(6.0), reserve_percent: 0.0, shares, catalog_bytes }
}

/// The cap of the catalog in a room of 100 MiB, in MiB, or the key at fault.
fn catalog_cap(catalog_share: Option<f64>, catalog_mib: f64) -> Result<usize, String> {
    let bytes = (catalog_mib * MIB as f64) as usize;
    let budget = deploy_budget(&settings(catalog_share, bytes), USUAL_BASE);
    let cap = budget.map(|budget| (budget.cap(Purpose::Catalog) as f64 / MIB as f64).round() as usize);
    cap.map_err(|error| error.to_string())
}

#[test]
fn the_catalog_grows_with_what_is_configured_and_spares_room_where_there_is_some() {
    assert_eq!(catalog_cap(None, 1.0), Ok(5), "its share is enough");
    assert_eq!(catalog_cap(None, 20.0), Ok(25));
    assert_eq!(catalog_cap(None, 75.0), Ok(75), "room to spare would take others theirs");
    assert_eq!(catalog_cap(Some(2.0), 1.9), Ok(2), "a share that the file names stands");
    let error = catalog_cap(Some(2.0), 2.1).expect_err("refused");
    assert!(error.contains("memory.shares.catalog"), "{error}");
    let error = catalog_cap(None, 101.0).expect_err("refused");
    assert!(error.contains("memory_mb"), "{error}");
}
