//! A fixed number of threads behind a bounded queue, for libraries that block.

use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};

#[cfg(test)]
mod tests;

/// Threads that carry out jobs of one type. They end once the pool is dropped and its queue empty.
#[derive(Debug)]
pub(crate) struct Pool<T> {
    queue: SyncSender<T>,
}

impl<T: Send + 'static> Pool<T> {
    /// Starts `threads` threads behind a queue of at most `queue` jobs.
    pub(crate) fn spawn<F>(name: &str, threads: usize, queue: usize, run: F) -> Self
    where
        F: Fn(T) + Send + Sync + 'static,
    {
        let (sender, receiver) = sync_channel(queue);
        let receiver = Arc::new(Mutex::new(receiver));
        let run = Arc::new(run);
        for i in 0..threads {
            let (receiver, run) = (receiver.clone(), run.clone());
            std::thread::Builder::new()
                .name(format!("{name}-{i}"))
                .spawn(move || Self::work(&receiver, &*run))
                .expect("the operating system allows a handful of threads");
        }
        Self { queue: sender }
    }

    /// Queues a job, or gives it back when the queue is full.
    pub(crate) fn submit(&self, job: T) -> Result<(), T> {
        self.queue.try_send(job).map_err(|error| match error {
            TrySendError::Full(job) | TrySendError::Disconnected(job) => job,
        })
    }

    fn work(receiver: &Mutex<Receiver<T>>, run: &dyn Fn(T)) {
        loop {
            let next = receiver.lock().expect("no holder of the queue panics").recv();
            let Ok(job) = next else { return };
            run(job);
        }
    }
}
