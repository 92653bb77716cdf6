//! A thread pool with a bounded queue, for calls into blocking libraries.

use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};

#[cfg(test)]
mod tests;

/// A fixed number of threads that process items of one type. The threads end once the pool is
/// dropped and its queue is empty.
#[derive(Debug)]
pub(crate) struct Pool<T> {
    queue: SyncSender<T>,
}

impl<T: Send + 'static> Pool<T> {
    /// Starts `threads` threads that call `process` on each item, and a queue for at most
    /// `capacity` items.
    pub(crate) fn spawn<F>(name: &str, threads: usize, capacity: usize, process: F) -> Self
    where
        F: Fn(T) + Send + Sync + 'static,
    {
        let (sender, receiver) = sync_channel(capacity);
        let receiver = Arc::new(Mutex::new(receiver));
        let process = Arc::new(process);
        for i in 0..threads {
            let (receiver, process) = (receiver.clone(), process.clone());
            std::thread::Builder::new()
                .name(format!("{name}-{i}"))
                .spawn(move || Self::run_thread(&receiver, &*process))
                .expect("could not start a thread of a pool");
        }
        Self { queue: sender }
    }

    /// Queues an item without blocking, or returns it if the queue is full.
    pub(crate) fn submit(&self, item: T) -> Result<(), T> {
        self.queue.try_send(item).map_err(|error| match error {
            TrySendError::Full(item) | TrySendError::Disconnected(item) => item,
        })
    }

    fn run_thread(receiver: &Mutex<Receiver<T>>, process: &dyn Fn(T)) {
        loop {
            let next =
                receiver.lock().expect("a thread panicked while it held the queue's lock").recv();
            let Ok(item) = next else { return };
            process(item);
        }
    }
}
