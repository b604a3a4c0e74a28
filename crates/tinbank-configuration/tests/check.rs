//! Validation of operators' texts: all mistakes are reported together, each with its position.

mod support;

use tinbank_configuration::check;
use yare::parameterized;

fn positions(findings: &[tinbank_configuration::Finding]) -> Vec<String> {
    findings
        .iter()
        .map(|finding| format!("{}:{} {}", finding.line, finding.column, finding.field))
        .collect()
}

#[test]
fn all_mistakes_in_a_template_are_reported_together() {
    let body = r#"{
  "services": {
    "a": { "kind": "engine", "pool": "gpu" },
    "b": { "kind": "plain", "pool": "", "attempts": 0 }
  },
  "streams": {
    "s": { "service": "nowhere", "traffic": "online", "timeout_ms": 0 }
  },
  "share": 0
}"#;

    let findings = check::template(body).unwrap_err();

    let expected = [
        "3:5 services.a",
        "4:29 services.b.pool",
        "4:41 services.b.attempts",
        "7:12 streams.s.service",
        "7:55 streams.s.timeout_ms",
        "9:3 share",
    ];
    assert_eq!(positions(&findings), expected);
    assert!(findings.iter().all(|finding| !finding.help.is_empty()));
}

#[test]
fn unknown_fields_and_wrong_types_in_several_entries_are_reported_together() {
    let body = r#"{
  "services": {
    "a": { "kind": "engin", "pool": "gpu" },
    "b": { "kind": "plain", "pool": "p", "atempts": 4 }
  },
  "streams": { "s": { "service": "b" } },
  "limits": { "requests": 1 }
}"#;

    let findings = check::template(body).unwrap_err();

    let expected = [
        "3:12 services.a.kind",
        "4:42 services.b.atempts",
        "6:16 streams.s",
        "7:15 limits.requests",
    ];
    assert_eq!(positions(&findings), expected);
}

#[parameterized(
    not_json = { "{ \"services\": ", "1:15" },
    not_an_object = { "[]", "0:0" },
    empty = { "", "0:0" },
    unknown_field = { "{ \"services\": {},\n  \"sevices\": {} }", "2:3" },
    duplicate_field = { "{ \"services\": {},\n  \"services\": {} }", "2:3" },
    wrong_type = { "{ \"services\": 3 }", "1:3" },
    wrong_share = { "{ \"services\": {},\n  \"share\": \"much\" }", "2:3" },
    missing_field = { "{ \"share\": 1 }", "1:1" },
)]
fn the_position_of_a_mistake_in_a_template_is_reported(body: &str, position: &str) {
    let findings = check::template(body).unwrap_err();

    let first = &findings[0];
    assert_eq!(
        format!("{}:{}", first.line, first.column),
        position,
        "{first}"
    );
}

#[test]
fn comments_and_trailing_commas_are_accepted() {
    let body = "{ // by hand\n  \"template\": \"t\", \"key_sha256\": [], }";

    let customer = check::customer(body);

    assert_eq!(
        customer.map(|customer| customer.template),
        Ok("t".to_owned())
    );
}

#[parameterized(
    water_template = { include_str!("../../../examples/water-authority/template.jsonc") },
    oberland_template = { include_str!("../../../examples/oberland/template.jsonc") },
)]
fn the_examples_are_valid_templates(body: &str) {
    assert!(check::template(body).is_ok());
}

#[parameterized(
    water = {
        include_str!("../../../examples/water-authority/customer.jsonc"),
        include_str!("../../../examples/water-authority/template.jsonc")
    },
    oberland = {
        include_str!("../../../examples/oberland/customer.jsonc"),
        include_str!("../../../examples/oberland/template.jsonc")
    },
)]
fn the_example_customers_are_valid_with_their_templates(customer: &str, template: &str) {
    let parsed = check::customer(customer).unwrap();
    let template = check::template(template).unwrap();

    let resolved = check::resolve("someone", &parsed, customer, &template, 0);

    assert!(resolved.is_ok(), "{resolved:?}");
}

#[test]
fn mistakes_in_limits_of_services_and_streams_are_reported_with_their_positions() {
    let body = r#"{
  "services": {
    "a": { "kind": "plain", "pool": "p", "limits": { "requests_per_second": 0 } },
    "b": { "kind": "plain", "pool": "p", "limits": { "tokens_per_second": 5 } }
  },
  "streams": {
    "s": { "service": "a", "traffic": "batch", "limits": { "online_at_once": 1 } },
    "t": { "service": "a", "traffic": "online", "limits": { "online_at_once": 0 } }
  }
}"#;

    let findings = check::template(body).unwrap_err();

    let expected = [
        "3:54 services.a.limits.requests_per_second",
        "4:42 services.b.limits",
        "7:48 streams.s.limits",
        "8:61 streams.t.limits.online_at_once",
    ];
    assert_eq!(positions(&findings), expected);
}

#[test]
fn a_customer_limit_in_a_service_is_an_unknown_field() {
    let body = r#"{ "services": { "a": { "kind": "plain", "pool": "p", "limits": { "pending_items": 9 } } } }"#;

    let findings = check::template(body).unwrap_err();

    assert_eq!(
        positions(&findings),
        ["1:66 services.a.limits.pending_items"]
    );
}

#[test]
fn streams_of_a_customer_are_checked() {
    let body = r#"{ "template": "t", "key_sha256": [],
  "streams": { "s": { "service": "a", "traffic": "online", "limits": { "requests_per_second": 0 } } } }"#;

    let findings = check::customer(body).unwrap_err();

    assert_eq!(
        positions(&findings),
        ["2:72 streams.s.limits.requests_per_second"]
    );
}

#[test]
fn limits_of_services_and_streams_are_parsed() {
    let body = r#"{
  "services": { "a": { "kind": "plain", "pool": "p", "limits": { "requests_per_second": 7 } } },
  "streams": { "s": { "service": "a", "traffic": "online", "limits": { "online_at_once": 2 } } }
}"#;

    let template = check::template(body).unwrap();

    assert_eq!(template.services["a"].limits.requests_per_second, Some(7));
    assert_eq!(template.streams["s"].limits.online_at_once, Some(2));
}

#[test]
fn the_limits_example_in_the_documentation_is_a_valid_template() {
    let page = include_str!("../../../docs/configuration.md");
    let section = page.split("## Limits in templates").nth(1).unwrap();
    let body = section.split("```jsonc").nth(1).unwrap();
    let body = body.split("```").next().unwrap();

    assert!(check::template(body).is_ok(), "{:?}", check::template(body));
}
