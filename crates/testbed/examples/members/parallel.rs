//! Parallel execution of simulations.

use std::panic::resume_unwind;
use std::thread;

/// Runs `work` on each input in a separate thread; returns the results in the order of the inputs.
pub fn map_parallel<T: Sync, U: Send>(inputs: &[T], work: impl Fn(&T) -> U + Sync) -> Vec<U> {
    let work = &work;
    thread::scope(|scope| {
        let threads: Vec<_> = inputs.iter().map(|input| scope.spawn(move || work(input))).collect();
        let mut results = Vec::new();
        for thread in threads {
            match thread.join() {
                Ok(result) => results.push(result),
                Err(panic) => resume_unwind(panic),
            }
        }
        results
    })
}
