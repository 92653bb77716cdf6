//! The activity as an observer sees it.

use super::{Activity, Part};
use crate::ids::JobId;

/// Guards against a log that names another part than the one that hangs: the numbers of the parts are
/// their positions in the list.
#[test]
fn each_part_is_shown_as_itself() {
    let activity = Activity::default();
    let observer = activity.clone();
    for part in Part::ALL {
        activity.enter(part);
        assert_eq!(observer.present(), (part, None));
    }
}

/// Guards against a log that names the job of an earlier part.
#[test]
fn next_part_forgets_the_job() {
    let activity = Activity::default();
    activity.enter(Part::Rank);
    activity.work_on(JobId(7));
    assert_eq!(activity.present(), (Part::Rank, Some(JobId(7))));
    activity.enter(Part::Place);
    assert_eq!(activity.present(), (Part::Place, None));
}
