use super::*;

/// Guards the compatibility of the log with versions that kept values as parsed JSON: records have the same format.
#[test]
fn records_read_and_write_as_plain_json() {
    let line = r#"{"key":"a","final":true,"version":3,"node":"n","expires":1.5,"value":{"b":[1,"x"]}}"#;
    let record: Record = serde_json::from_str(line).expect("reads");
    assert_eq!(record.text(), r#"{"b":[1,"x"]}"#);
    assert_eq!(serde_json::to_string(&record).expect("writes"), line);
    let tombstone: Record =
        serde_json::from_str(r#"{"key":"a","version":4,"node":"n","value":null}"#).expect("reads");
    assert_eq!((tombstone.value.is_none(), tombstone.text()), (true, ""));
}
