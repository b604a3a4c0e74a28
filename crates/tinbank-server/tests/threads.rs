//! Control state has a thread of its own, and readiness never comes back after a stop.

use std::thread;

use tinbank_server::{
    readiness::{Flag, State},
    threads::Threads,
};

fn thread_name() -> String {
    thread::current().name().unwrap_or_default().to_owned()
}

#[test]
fn control_and_traffic_run_on_different_threads() {
    let threads = Threads::start(2).expect("threads");
    let handles = threads.handles();

    let (first, second, traffic) = threads.run(async move {
        let first = handles.control.spawn(async { thread::current().id() });
        let second = handles.control.spawn(async { thread::current().id() });
        let traffic = handles.traffic.spawn(async { thread_name() });
        (first.await, second.await, traffic.await)
    });

    assert_eq!(first.expect("no panic"), second.expect("no panic"));
    assert_eq!(traffic.expect("no panic"), "traffic");
}

#[test]
fn the_control_thread_is_called_control() {
    let threads = Threads::start(1).expect("threads");
    let handles = threads.handles();

    let name = threads.run(async move { handles.control.spawn(async { thread_name() }).await });

    assert_eq!(name.expect("no panic"), "control");
}

#[test]
fn a_process_that_leaves_never_becomes_ready_again() {
    let flag = Flag::new();
    let clone = flag.clone();

    flag.leave();
    clone.ready();

    assert_eq!(flag.state(), State::Leaving);
    assert!(!clone.is_ready());
}
