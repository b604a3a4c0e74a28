//! The text and the page show every event and gap, and nothing from outside becomes markup.

use std::{
    sync::Arc,
    time::{Duration, UNIX_EPOCH},
};

use tinbank_base::{
    event::{Kind, Subject},
    id,
};
use tinbank_timeline::{
    Query, Recorder, merge,
    merge::{Answer, Timeline},
    render,
};

#[test]
fn text_has_a_line_for_each_gap_and_event() {
    let timeline = timeline("logger-notes");

    let text = render::text(&timeline);

    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "gap: batch@2 could not be asked: connection refused",
            "2026-12-02T03:00:00.000000Z  online@1    accepted          customer=moreton-basin \
             request=0000000000000000000000000000002a service=logger-notes",
            "2026-12-02T03:00:00.000000Z+1  online@1    suspected         peer=batch@2",
        ]
    );
}

#[test]
fn text_lets_no_control_character_through() {
    let timeline = timeline("two words\u{1b}[31m\u{9b}\nline");

    let text = render::text(&timeline);

    assert!(text.contains(r#"service="two words\u{1b}[31m\u{9b}\nline""#));
    assert_eq!(text.lines().count(), 3);
}

#[test]
fn the_page_has_a_lane_for_each_process_and_a_dot_for_each_event() {
    let timeline = timeline("logger-notes");

    let page = render::page(&timeline, "night sweep");

    assert_eq!(page.matches("class=\"lane\"").count(), 2);
    assert_eq!(page.matches("<circle").count(), 2);
    assert_eq!(page.matches("class=\"missing\"").count(), 1);
    assert!(page.contains("batch@2 could not be asked: connection refused"));
}

#[test]
fn the_page_fetches_nothing_from_elsewhere() {
    let page = render::page(&timeline("logger-notes"), "night sweep");

    for reference in [
        "http:", "https:", "src=", "href=", "url(", "@import", "<script",
    ] {
        assert!(!page.contains(reference), "{reference}");
    }
}

#[test]
fn the_page_escapes_what_comes_from_outside() {
    let hostile = "</text><script>alert(\"1\" + '&')</script>";

    let page = render::page(&timeline(hostile), hostile);

    assert!(!page.contains("<script"));
    assert!(page.contains("&lt;/text&gt;&lt;script&gt;"));
    assert!(page.contains("&amp;"));
}

#[test]
fn the_tags_of_the_page_are_balanced() {
    let page = render::page(&timeline("a < b & c"), "a < b");

    for tag in [
        "html", "head", "body", "svg", "text", "tspan", "ul", "li", "h1", "p", "title",
    ] {
        let opened =
            page.matches(&format!("<{tag}>")).count() + page.matches(&format!("<{tag} ")).count();
        let closed = page.matches(&format!("</{tag}>")).count();
        assert_eq!(opened, closed, "{tag}");
    }
}

fn timeline(service: &str) -> Timeline {
    // 2026-12-02T03:00:00Z
    let now = UNIX_EPOCH + Duration::from_secs(1_796_180_400);
    let recorder = Recorder::with_clock(process(1, id::Role::Online), 10, Arc::new(move || now));
    let subject = Subject {
        request: Some(42),
        ..Subject::default()
    };
    recorder.note(
        subject,
        Kind::Accepted {
            customer: "moreton-basin".to_owned(),
            service: service.to_owned(),
        },
    );
    let subject = Subject {
        peer: Some(process(2, id::Role::Batch)),
        ..Subject::default()
    };
    recorder.note(subject, Kind::Suspected);
    merge(vec![
        Answer::Page(recorder.page(&Query::default())),
        Answer::Unreachable {
            process: process(2, id::Role::Batch),
            reason: "connection refused".to_owned(),
        },
    ])
}

const fn process(host: id::Host, role: id::Role) -> id::Process {
    id::Process { host, role }
}
