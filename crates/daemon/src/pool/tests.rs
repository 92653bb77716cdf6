use super::*;
use std::sync::mpsc::channel;

/// Guards against an event loop that blocks, or an item that is lost, when all threads are busy and
/// the queue is full.
#[test]
fn submit_to_a_full_queue_returns_the_item_at_once() {
    let (started, starts) = channel();
    let (release, releases) = channel::<()>();
    let releases = Mutex::new(releases);
    let pool = Pool::spawn("test", 1, 1, move |item: u32| {
        started.send(item).unwrap();
        releases.lock().unwrap().recv().unwrap();
    });
    assert_eq!(pool.submit(1), Ok(()));
    assert_eq!(starts.recv(), Ok(1));
    assert_eq!(pool.submit(2), Ok(()));
    assert_eq!(pool.submit(3), Err(3));
    release.send(()).unwrap();
    assert_eq!(starts.recv(), Ok(2));
    release.send(()).unwrap();
}
