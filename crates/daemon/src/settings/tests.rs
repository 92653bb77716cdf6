use super::*;
use bulrushlink_core::Code;

const VALID: &str = r#"{
    "daemon": "qn-1",
    "callers": "127.0.0.1:7001", "operators": "127.0.0.1:7002",
    "store": "http://127.0.0.1:7100", "hosts": "http://127.0.0.1:7100",
    "operator_token": "token", "peer_key": "0123456789abcdef",
    "members": [
        { "id": "qs-1", "domain": "quito-sur", "addr": "127.0.0.1:7013" },
        { "id": "qn-1", "domain": "quito-norte", "addr": "127.0.0.1:7003" }
    ],
    "limits": { "body": 65536 },
    "timing": { "renew": "1s", "lease": 30000, "reserve": "4s" }
}"#;

#[test]
fn valid_settings_are_parsed_and_members_sorted() {
    let settings = Settings::parse(VALID).unwrap();
    assert_eq!(settings.domain().as_str(), "quito-norte");
    assert_eq!(settings.members[0].id.as_str(), "qn-1");
    assert_eq!(settings.timing.lease, Span::from_secs(30));
    assert_eq!(settings.timing.renew, Span::from_secs(1));
    assert_eq!(settings.timing.drain, Timing::default().drain);
}

#[test]
fn invalid_settings_are_refused_with_the_path_of_the_field() {
    let cases = [
        ("\"daemon\": \"qn-1\"", "\"daemon\": \"qn-9\"", "/daemon"),
        ("\"daemon\": \"qn-1\"", "\"daemon\": \"qn 1\"", "/daemon"),
        ("\"daemon\": \"qn-1\"", "\"daemon\": \"qn-1\", \"color\": 1", "/color"),
        ("127.0.0.1:7002", "127.0.0.1:7001", "/operators"),
        ("127.0.0.1:7002", "0.0.0.0:7001", "/operators"),
        ("127.0.0.1:7001", "127.0.0.1:7003", "/callers"),
        ("127.0.0.1:7001", "localhost:7001", "/callers"),
        ("\"hosts\": \"http://127.0.0.1:7100\"", "\"hosts\": \"http://store:7100\"", "/hosts"),
        ("\"token\"", "\"\"", "/operator_token"),
        ("0123456789abcdef", "short", "/peer_key"),
        ("\"qs-1\"", "\"qn-1\"", "/members/1/id"),
        ("127.0.0.1:7013", "127.0.0.1:7003", "/members/1/addr"),
        ("127.0.0.1:7013", "127.0.0.1:0", "/members/0/addr"),
        ("\"body\": 65536", "\"body\": 0", "/limits/body"),
        ("\"body\": 65536", "\"bodies\": 1", "/limits/bodies"),
        ("\"1s\"", "\"1 s\"", "/timing/renew"),
        ("\"1s\"", "\"1x\"", "/timing/renew"),
        ("\"1s\"", "0", "/timing/renew"),
        ("\"1s\"", "\"10s\"", "/timing/lease"),
        ("\"4s\"", "\"30s\"", "/timing/reserve"),
        ("\"4s\"", "\"2s\"", "/timing/reserve"),
        ("\"4s\"", "-4", "/timing/reserve"),
    ];
    for (from, to, path) in cases {
        let text = VALID.replacen(from, to, 1);
        let error = Settings::parse(&text).expect_err(&text);
        assert_eq!(error.code(), Code::SettingsInvalid, "{text}");
        assert_eq!(error.field(), Some(path), "{error}: {text}");
    }
}

#[test]
fn port_zero_is_allowed_for_both_listeners() {
    let text = VALID.replace("127.0.0.1:7001", "127.0.0.1:0").replace("7002", "0");
    assert!(Settings::parse(&text).is_ok());
}
