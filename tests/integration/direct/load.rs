//! Several entries under steady load.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::direct::site::{Entry, Site};
use crate::testing::wait;

const CALLERS_PER_ENTRY: usize = 3;

/// Starts entries beside that of the site, and waits until each holds so many leases.
pub fn spawn_others(site: &Site, count: usize, leases: u32) -> Vec<Entry> {
    let entries: Vec<_> = (1..=count)
        .map(|i| Entry::spawn(&format!("edge-other-{i}"), site.store.addr()))
        .collect();
    let held = format!(r#""leases":{leases},"#);
    wait::until("all entries have a share", || {
        let mut processes = entries.iter().map(|e| &e.process).chain([&site.process]);
        processes.all(|process| {
            let shares = process.lines_with("share of the limits over all entries changed");
            shares.last().is_some_and(|line| line.contains(&held))
        })
    });
    entries
}

/// Sends chat requests to all entries while `action` runs. The ids of the requests begin with
/// the position of their entry; that of the site comes last.
pub fn with_callers<T>(site: &Site, entries: &[Entry], action: impl FnOnce() -> T) -> T {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        let callers = entries.iter().map(|e| e.callers).chain([site.callers]);
        for (i, callers) in callers.enumerate() {
            for j in 0..CALLERS_PER_ENTRY {
                let is_over = &is_over;
                scope.spawn(move || {
                    for n in 0.. {
                        if is_over.load(Ordering::Acquire) {
                            return;
                        }
                        // Refusals and killed entries are expected.
                        let _ = Site::chat_at(callers, &format!("{i}-{j}-{n}"));
                        thread::sleep(Duration::from_millis(5));
                    }
                });
            }
        }
        let result = action();
        is_over.store(true, Ordering::Release);
        result
    })
}
