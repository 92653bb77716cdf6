//! The two deployments: their hardware, guarantees and kinds of jobs.

use bulrushlink_core::{Adjacency, Shape, Span, Urgency};

use crate::workload::Deployment;

/// When the jobs of a kind arrive.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Arrivals {
    /// Evenly random over the run.
    Steady { hourly: u64 },
    /// All at random within `within` minutes after `percent` of the run.
    Rush { percent: u64, within: u64, count: u64 },
    /// With each burst of the run, which all such kinds share: between half and all of `size` jobs.
    Bursts { size: u64, within: Span },
}

/// A class of similar jobs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) workspace: &'static str,
    pub(crate) shapes: &'static [Shape],
    pub(crate) urgency: Urgency,
    /// Shortest and longest true run time, in seconds.
    pub(crate) run_secs: (f64, f64),
    pub(crate) arrivals: Arrivals,
    pub(crate) deadline: Option<Span>,
    pub(crate) idempotent_percent: u32,
    pub(crate) checkpoint: bool,
}

const fn single(accelerators: u8) -> Shape {
    Shape { tasks: 1, accelerators, adjacency: Adjacency::Domain }
}

const fn in_rack(tasks: u16) -> Shape {
    Shape { tasks, accelerators: 8, adjacency: Adjacency::Rack }
}

const fn normal(
    name: &'static str,
    workspace: &'static str,
    shapes: &'static [Shape],
    run_secs: (f64, f64),
    arrivals: Arrivals,
) -> Kind {
    Kind {
        name,
        workspace,
        shapes,
        urgency: Urgency::Normal,
        run_secs,
        arrivals,
        deadline: None,
        idempotent_percent: 100,
        checkpoint: false,
    }
}

const fn urgent(kind: Kind) -> Kind {
    Kind { urgency: Urgency::Urgent, idempotent_percent: 80, ..kind }
}

const fn batch(kind: Kind) -> Kind {
    Kind { urgency: Urgency::Batch, checkpoint: true, ..kind }
}

/// Time over which the jobs of a burst arrive.
const BURST_TIME: Span = Span::from_secs(8);
const LARGE_SHAPES: &[Shape] = &[in_rack(2), in_rack(3), in_rack(4), in_rack(4), in_rack(8)];

/// Returns the deployment called `name`.
pub(crate) fn deployment(name: &str) -> Option<&'static Deployment> {
    DEPLOYMENTS.iter().find(|deployment| deployment.name == name)
}

static DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "guardavia",
        region: "ec-sierra",
        domains: [("quito-norte", &[8, 8, 2]), ("quito-sur", &[8, 8]), ("cuenca", &[8, 8])],
        guarantees: &[
            ("crossings", &[]),
            ("dispatch", &[(single(2), 24), (single(4), 18)]),
            ("review", &[(in_rack(2), 3)]),
            ("risk", &[(single(1), 12)]),
        ],
        kinds: &[
            urgent(normal(
                "shift-check",
                "dispatch",
                &[single(2)],
                (15.0, 90.0),
                Arrivals::Steady { hourly: 180 },
            )),
            urgent(normal(
                "shift-burst",
                "dispatch",
                &[single(2)],
                (15.0, 60.0),
                Arrivals::Bursts { size: 14, within: BURST_TIME },
            )),
            urgent(normal(
                "incident",
                "review",
                &[in_rack(2)],
                (60.0, 400.0),
                Arrivals::Steady { hourly: 6 },
            )),
            Kind {
                deadline: Some(Span::from_secs(25 * 60)),
                idempotent_percent: 50,
                ..normal(
                    "roster",
                    "dispatch",
                    &[single(4)],
                    (100.0, 600.0),
                    Arrivals::Rush { percent: 30, within: 15, count: 200 },
                )
            },
            normal(
                "score",
                "risk",
                &[single(1), single(1), single(2)],
                (20.0, 180.0),
                Arrivals::Bursts { size: 120, within: BURST_TIME },
            ),
            normal(
                "risk-map",
                "risk",
                &[in_rack(2), single(8)],
                (180.0, 700.0),
                Arrivals::Bursts { size: 8, within: BURST_TIME },
            ),
            normal(
                "transit",
                "crossings",
                &[single(1), single(2), single(4), single(8)],
                (60.0, 480.0),
                Arrivals::Steady { hourly: 220 },
            ),
            batch(normal(
                "footage",
                "review",
                LARGE_SHAPES,
                (240.0, 1200.0),
                Arrivals::Steady { hourly: 48 },
            )),
        ],
    },
    Deployment {
        name: "tirta-kaca",
        region: "jateng",
        domains: [("jepara-a", &[8, 8, 2]), ("kudus-b", &[8, 8]), ("demak-c", &[8, 8])],
        guarantees: &[
            ("design", &[(in_rack(4), 3)]),
            ("guesthouse", &[]),
            ("kiln-floor", &[(single(1), 24), (single(4), 9)]),
            ("orders", &[(single(8), 3)]),
        ],
        kinds: &[
            urgent(normal(
                "proof-check",
                "kiln-floor",
                &[single(1)],
                (10.0, 60.0),
                Arrivals::Steady { hourly: 300 },
            )),
            urgent(normal(
                "proof-burst",
                "kiln-floor",
                &[single(1)],
                (10.0, 60.0),
                Arrivals::Bursts { size: 14, within: BURST_TIME },
            )),
            urgent(normal(
                "tray-check",
                "kiln-floor",
                &[single(4)],
                (30.0, 200.0),
                Arrivals::Steady { hourly: 30 },
            )),
            batch(normal(
                "render",
                "design",
                LARGE_SHAPES,
                (600.0, 2700.0),
                Arrivals::Steady { hourly: 18 },
            )),
            batch(normal(
                "glaze-map",
                "orders",
                &[single(4), single(8)],
                (240.0, 1200.0),
                Arrivals::Rush { percent: 10, within: 120, count: 240 },
            )),
            normal(
                "pattern",
                "guesthouse",
                &[single(1), single(2), single(2), single(4)],
                (60.0, 600.0),
                Arrivals::Bursts { size: 90, within: BURST_TIME },
            ),
            normal(
                "catalogue",
                "guesthouse",
                &[in_rack(2), single(8)],
                (180.0, 900.0),
                Arrivals::Bursts { size: 6, within: BURST_TIME },
            ),
            Kind {
                deadline: Some(Span::from_secs(30 * 60)),
                idempotent_percent: 50,
                ..normal(
                    "etch-plan",
                    "orders",
                    &[single(4)],
                    (60.0, 400.0),
                    Arrivals::Rush { percent: 35, within: 15, count: 90 },
                )
            },
        ],
    },
];
