use super::*;
use crate::SubmitBody;

const VALID: &str = r#"{
    "workspace": "rosters", "request": "r-1", "kind": "roster",
    "shape": { "tasks": 2, "accelerators": 4, "adjacency": "rack" },
    "declared": 60000
}"#;

fn path_of(text: &str) -> (Code, String) {
    let error = from_json::<SubmitBody>(text).unwrap_err();
    (error.code(), error.field().unwrap_or_default().to_string())
}

#[test]
fn valid_text_is_parsed() {
    assert!(from_json::<SubmitBody>(VALID).is_ok());
}

/// `serde_json` reports only a line and column, so a mistake in the scan would name a neighboring
/// field, its parent, or none.
#[test]
fn error_path_names_invalid_field() {
    let cases = [
        ("\"tasks\": 2", "\"tasks\": \"two\"", "/shape/tasks"),
        ("\"tasks\": 2", "\"tasks\": 70000", "/shape/tasks"),
        ("\"tasks\": 2, ", "", "/shape/tasks"),
        ("\"tasks\": 2", "\"tasks\": 2, \"size\": 1", "/shape/size"),
        ("\"rack\"", "\"row\"", "/shape/adjacency"),
        ("\"r-1\"", "\"r 1\"", "/request"),
        ("\"r-1\"", "17", "/request"),
        ("60000", "-1", "/declared"),
        ("60000", "60000, \"input\": [1, 2]", "/input"),
        ("60000", "60000, \"colour\": 1", "/colour"),
        ("\"workspace\": \"rosters\",", "", "/workspace"),
    ];
    for (from, to, path) in cases {
        let text = VALID.replace(from, to);
        assert_eq!(path_of(&text), (Code::FieldInvalid, path.to_string()), "{text}");
    }
}

/// A comma belongs to the element before it: counting it too early would give the next index.
#[test]
fn error_path_contains_array_indices() {
    let error = from_json::<Vec<Vec<u8>>>("[[1, 2], [3], [4, 300]]").unwrap_err();
    assert_eq!(error.field(), Some("/2/1"));
}

/// Text that isn't JSON has no field to name, so it must not be reported as an invalid field.
#[test]
fn invalid_json_is_malformed() {
    for text in ["", "{", "{\"workspace\": }", "nonsense", "{\"a\": 1} trailing"] {
        let error = from_json::<serde_json::Value>(text).unwrap_err();
        assert_eq!(error.code(), Code::Malformed, "{text}");
    }
}
