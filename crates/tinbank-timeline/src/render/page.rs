//! The form for browsers: one HTML page with an SVG drawing, and nothing fetched from elsewhere.
//!
//! Time runs down. Each process has a lane; each event is a dot in its lane with its words beside it. Events of one
//! request, item or job are joined by a line, so that the eye can follow it through the processes.

use std::{collections::HashMap, fmt::Write as _};

use tinbank_base::{
    event::{Event, Kind},
    id,
};

use super::{describe, text::describe_gap};
use crate::merge::{Cause, Timeline};

const ROW: usize = 20;
const HEAD: usize = 46;
const TIME_WIDTH: usize = 250;
const LANE_WIDTH: usize = 96;
const WORDS_WIDTH: usize = 1_100;

const STYLE: &str = "body{font:14px system-ui,sans-serif;margin:1.5em;color:#222;background:#fff}\
svg{font:12px ui-monospace,monospace}\
.gaps{color:#a00}.lane{stroke:#bbb;stroke-width:1}.missing{stroke:#a00;stroke-width:2;stroke-dasharray:4 4}\
.thread{fill:none;stroke:#7a9cc6;stroke-width:1.5;opacity:.6}.name{font-weight:bold}.time{fill:#777}\
.work{fill:#2b6cb0}.good{fill:#2f855a}.bad{fill:#c53030}.state{fill:#805ad5}";

/// The time line as one HTML page.
pub fn page(timeline: &Timeline, title: &str) -> String {
    let drawing = Drawing::new(timeline);
    let title = escape(title);
    let mut html = String::new();
    // Writing to a string can't fail.
    let _ = write!(
        html,
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style></head>\n<body><h1>{title}</h1>\n"
    );
    drawing.summary(&mut html);
    drawing.gaps(&mut html);
    drawing.svg(&mut html);
    html.push_str("</body></html>\n");
    html
}

struct Drawing<'a> {
    timeline: &'a Timeline,
    lanes: HashMap<id::Process, usize>,
    width: usize,
    height: usize,
}

impl<'a> Drawing<'a> {
    fn new(timeline: &'a Timeline) -> Self {
        let lanes: HashMap<_, _> = timeline
            .processes
            .iter()
            .enumerate()
            .map(|(lane, process)| (*process, lane))
            .collect();
        Self {
            timeline,
            width: TIME_WIDTH + timeline.processes.len() * LANE_WIDTH + WORDS_WIDTH,
            height: HEAD + (timeline.events.len() + 1) * ROW,
            lanes,
        }
    }

    fn summary(&self, html: &mut String) {
        let events = self.timeline.events.len();
        let processes = self.timeline.processes.len();
        let _ = writeln!(
            html,
            "<p>{events} events of {processes} processes. Times are UTC by a hybrid logical clock: a cause always \
             stands above its effect.</p>"
        );
    }

    fn gaps(&self, html: &mut String) {
        if self.timeline.gaps.is_empty() {
            return;
        }
        html.push_str("<ul class=\"gaps\">\n");
        for gap in &self.timeline.gaps {
            let _ = writeln!(html, "<li>{}</li>", escape(&describe_gap(gap)));
        }
        html.push_str("</ul>\n");
    }

    fn svg(&self, html: &mut String) {
        let (width, height) = (self.width, self.height);
        let _ = writeln!(
            html,
            "<svg width=\"{width}\" height=\"{height}\" viewBox=\"0 0 {width} {height}\" role=\"img\" \
             aria-label=\"time line\">"
        );
        self.draw_lanes(html);
        self.draw_missing(html);
        self.draw_threads(html);
        for (row, event) in self.timeline.events.iter().enumerate() {
            self.draw_event(html, row, event);
        }
        html.push_str("</svg>\n");
    }

    fn draw_lanes(&self, html: &mut String) {
        for (lane, process) in self.timeline.processes.iter().enumerate() {
            let x = lane_x(lane);
            let bottom = self.height;
            let _ = writeln!(
                html,
                "<text class=\"name\" x=\"{x}\" y=\"20\" text-anchor=\"middle\">{}</text>\
                 <line class=\"lane\" x1=\"{x}\" y1=\"30\" x2=\"{x}\" y2=\"{bottom}\"/>",
                escape(&process.to_string())
            );
        }
    }

    /// Draws the stretch of a lane over which events are missing.
    fn draw_missing(&self, html: &mut String) {
        for gap in &self.timeline.gaps {
            let Some(&lane) = self.lanes.get(&gap.process) else {
                continue;
            };
            let bottom = match &gap.cause {
                Cause::Unreachable { .. } => self.height,
                Cause::Lost { before, .. } => {
                    let rows = self
                        .timeline
                        .events
                        .iter()
                        .take_while(|event| before.is_none_or(|before| event.stamp < before));
                    row_y(rows.count()) - ROW / 2
                }
            };
            let x = lane_x(lane);
            let _ = writeln!(
                html,
                "<line class=\"missing\" x1=\"{x}\" y1=\"30\" x2=\"{x}\" y2=\"{bottom}\"><title>{}</title></line>",
                escape(&describe_gap(gap))
            );
        }
    }

    fn draw_threads(&self, html: &mut String) {
        let mut points: HashMap<Thread, Vec<(usize, usize)>> = HashMap::new();
        let mut order = Vec::new();
        for (row, event) in self.timeline.events.iter().enumerate() {
            let (Some(thread), Some(&lane)) = (Thread::of(event), self.lanes.get(&event.process))
            else {
                continue;
            };
            let line = points.entry(thread).or_insert_with(|| {
                order.push(thread);
                Vec::new()
            });
            line.push((lane_x(lane), row_y(row)));
        }
        for line in order.iter().filter_map(|thread| points.get(thread)) {
            if line.len() < 2 {
                continue;
            }
            html.push_str("<polyline class=\"thread\" points=\"");
            for (x, y) in line {
                let _ = write!(html, "{x},{y} ");
            }
            html.push_str("\"/>\n");
        }
    }

    fn draw_event(&self, html: &mut String, row: usize, event: &Event) {
        let Some(&lane) = self.lanes.get(&event.process) else {
            return;
        };
        let (x, y) = (lane_x(lane), row_y(row));
        let words_x = lane_x(self.timeline.processes.len());
        let time = describe::time(event.stamp);
        let name = describe::name(&event.kind);
        let details = escape(&describe::details(event).join(" "));
        let class = class(&event.kind);
        let text_y = y + 4;
        let _ = writeln!(
            html,
            "<text class=\"time\" x=\"0\" y=\"{text_y}\">{}</text>\
             <circle class=\"{class}\" cx=\"{x}\" cy=\"{y}\" r=\"5\"><title>{} {details}</title></circle>\
             <text x=\"{words_x}\" y=\"{text_y}\"><tspan class=\"name {class}\">{}</tspan> {details}</text>",
            escape(&time),
            escape(&name),
            escape(&name),
        );
    }
}

/// What events are joined by.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Thread {
    Request(id::Request),
    Item(id::Job, id::Item),
    Job(id::Job),
}

impl Thread {
    fn of(event: &Event) -> Option<Self> {
        let subject = &event.subject;
        match (subject.job, subject.item) {
            (Some(job), Some(item)) => Some(Self::Item(job, item)),
            (Some(job), None) => Some(Self::Job(job)),
            (None, _) => subject.request.map(Self::Request),
        }
    }
}

fn lane_x(lane: usize) -> usize {
    TIME_WIDTH + lane * LANE_WIDTH + LANE_WIDTH / 2
}

fn row_y(row: usize) -> usize {
    HEAD + row * ROW + ROW / 2
}

fn class(kind: &Kind) -> &'static str {
    match kind {
        Kind::Refused { .. }
        | Kind::Retried { .. }
        | Kind::Preempted
        | Kind::LeaseLost { .. }
        | Kind::Suspected
        | Kind::Died
        | Kind::Ejected
        | Kind::LogLost => "bad",
        Kind::Answered { .. }
        | Kind::Completed { .. }
        | Kind::Committed { .. }
        | Kind::Drained
        | Kind::Returned
        | Kind::LogBack => "good",
        Kind::Started
        | Kind::Ready
        | Kind::Leaving
        | Kind::Configured { .. }
        | Kind::LeaseTaken { .. }
        | Kind::LeaseReleased { .. }
        | Kind::Credits { .. }
        | Kind::Joined
        | Kind::PeerLeaving
        | Kind::UpstreamLeaving
        | Kind::Ordered { .. } => "state",
        Kind::Accepted { .. }
        | Kind::Routed { .. }
        | Kind::FirstToken
        | Kind::Resumed { .. }
        | Kind::Cancelled => "work",
    }
}

/// Text from outside becomes neither markup nor an attribute's end.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            c if c.is_control() => escaped.push(char::REPLACEMENT_CHARACTER),
            c => escaped.push(c),
        }
    }
    escaped
}
