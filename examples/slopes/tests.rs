use crate::line::{Line, Point};
use crate::sample::parse_metrics;

/// Guards against a wrong slope or base for points that lie on a line.
#[test]
fn fit_recovers_exact_line() {
    let points = (0..5).map(|i| Point { x: f64::from(i), y: 3.0 + 2.0 * f64::from(i) });
    let points: Vec<_> = points.collect();
    let line = Line::fit(&points).unwrap();
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.base - 3.0).abs() < 1e-9);
    assert!(line.error < 1e-9);
    assert!((line.at(10.0) - 23.0).abs() < 1e-9);
}

/// Guards against a wrong standard error, checked with points that lie off the fitted line.
#[test]
fn error_reflects_deviation_from_line() {
    let y = [0.0, 2.0, 1.0, 3.0];
    let points: Vec<_> = y.iter().zip(0..).map(|(y, x)| Point { x: f64::from(x), y: *y }).collect();
    let line = Line::fit(&points).unwrap();
    assert!((line.slope - 0.8).abs() < 1e-9);
    assert!((line.error - 0.4243).abs() < 1e-3);
}

/// Guards against a division by zero when there are no points or all have the same size.
#[test]
fn fit_needs_two_sizes() {
    assert_eq!(Line::fit(&[]), None);
    assert_eq!(Line::fit(&[Point { x: 1.0, y: 1.0 }, Point { x: 1.0, y: 2.0 }]), None);
}

/// Guards against counters that are read under a wrong name or for a wrong edge.
#[test]
fn counters_are_read_by_name_and_edge() {
    let page = "# TYPE a counter\n\
                bulrushlink_edge_calls_total{daemon=\"a-0\",edge=\"store\"} 7\n\
                bulrushlink_edge_sent_bytes_total{daemon=\"a-0\",edge=\"worker\"} 1200\n\
                bulrushlink_peer_sent_bytes_total{daemon=\"a-0\"} 55\n";
    let counts = parse_metrics(page);
    assert_eq!(counts.store.calls, 7.0);
    assert_eq!(counts.worker.sent, 1200.0);
    assert_eq!(counts.peer.sent, 55.0);
    assert_eq!(counts.hosts.received, 0.0);
}
