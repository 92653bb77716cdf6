use super::{Intake, IntakeSettings, ProcessLimits};

fn derive(memory_mb: u64, descriptors: u64) -> Intake {
    let process = ProcessLimits { memory_mb, descriptors };
    process.check().expect("valid limits");
    IntakeSettings::default().derive(&process).expect("valid by default")
}

/// Guards against limits whose sum exceeds the memory or the descriptors of a host, whatever these are: the sum
/// is checked when the limits are derived.
#[test]
fn limits_follow_from_the_memory_and_descriptors() {
    for memory_mb in [32, 64, 120, 160, 260, 512, 4_096, 1 << 24] {
        for descriptors in [64, 256, 1_024, 4_100, 1 << 24] {
            let intake = derive(memory_mb, descriptors);
            assert!(intake.connections > 0 && intake.store_calls > 0, "{intake:?}");
        }
    }
}

/// Guards against limits that callers within the users' pages meet: the hosts of the deployments serve hundreds of
/// connections, and the largest body many times over.
#[test]
fn limits_on_the_users_hosts_leave_room_for_their_callers() {
    let smallest = derive(120, 3_075);
    assert!(smallest.connections >= 600 && smallest.store_calls >= 32, "{smallest:?}");
    assert!(smallest.messages >= 100 * 256 * 1_024, "{smallest:?}");
    assert!(derive(260, 4_100).connections >= 1_400);
}

/// Guards against settings that are accepted although the process can't keep them.
#[test]
fn limits_beyond_the_process_are_refused() {
    let process = ProcessLimits { memory_mb: 64, descriptors: 1_024 };
    let refused = |settings: IntakeSettings| settings.derive(&process).is_err();
    assert!(!refused(IntakeSettings { connections: Some(100), ..IntakeSettings::default() }));
    assert!(refused(IntakeSettings { connections: Some(0), ..IntakeSettings::default() }));
    assert!(refused(IntakeSettings { connections: Some(900), ..IntakeSettings::default() }));
    assert!(refused(IntakeSettings { messages_kb: Some(40_000), ..IntakeSettings::default() }));
    assert!(refused(IntakeSettings { receive_kb: Some(usize::MAX), ..IntakeSettings::default() }));
    assert!(refused(IntakeSettings { store_calls: Some(200), ..IntakeSettings::default() }));
    for (memory_mb, descriptors) in [(31, 64), (32, 63), (u64::MAX, 64), (32, u64::MAX)] {
        assert!(ProcessLimits { memory_mb, descriptors }.check().is_err());
    }
}
