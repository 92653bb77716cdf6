use super::*;
use std::sync::mpsc::channel;

#[test]
fn a_full_queue_gives_the_job_back_at_once() {
    let (started, starts) = channel();
    let (go_on, gate) = channel::<()>();
    let gate = Mutex::new(gate);
    let pool = Pool::spawn("test", 1, 1, move |job: u32| {
        started.send(job).unwrap();
        gate.lock().unwrap().recv().unwrap();
    });
    assert_eq!(pool.submit(1), Ok(()));
    assert_eq!(starts.recv(), Ok(1));
    assert_eq!(pool.submit(2), Ok(()));
    assert_eq!(pool.submit(3), Err(3));
    go_on.send(()).unwrap();
    assert_eq!(starts.recv(), Ok(2));
    go_on.send(()).unwrap();
}
