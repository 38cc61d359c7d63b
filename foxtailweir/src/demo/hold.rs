//! `demo --hold`: a system that stays up for other clients to use.

use fw_local::system;

use crate::command::OrFail;
use crate::command::error;
use crate::command::exit;
use crate::command::io;
use crate::serve;

/// Starts a system, prints its addresses, and shuts it down gracefully on a stop signal.
pub(super) async fn run(io: &mut io::Io<'_>) -> Result<exit::Exit, error::Error> {
    let stop = serve::stop_signal().or_fail("cannot wait for signals")?;
    let started = system::System::start(super::shape(None)).await;
    let mut system = started.or_fail("cannot start the system")?;
    print_addresses(&system, io);
    stop.await;
    io.report("stopping");
    let mut drained = true;
    for entry in 0..system.entries.len() {
        drained &= system.stop_entry(entry).await;
    }
    match drained {
        true => Ok(exit::Exit::Success),
        false => {
            io.report("stopped with work under way: the drain timeout passed");
            Ok(exit::Exit::Failure)
        }
    }
}

fn print_addresses(system: &system::System, io: &mut io::Io<'_>) {
    for entry in 0..system.entries.len() {
        let (callers, admin) = (system.callers(entry), system.admin(entry));
        io.print(format_args!(
            "entry {entry}: callers http://{callers}, admin http://{admin}"
        ));
    }
    let callers = system.callers(0);
    let model = system::MODEL;
    io.print("\nA streamed answer, a lookup at the plain service, and the programs under way:");
    io.print(format_args!(
        "curl -N http://{callers}/v1/chat/completions -H 'content-type: application/json' \
         -H 'x-program: hello' -d '{{\"model\":\"{model}\",\"stream\":true,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Hello\"}}]}}'"
    ));
    io.print(format_args!("curl -i http://{callers}/lookup/1"));
    for entry in 0..system.entries.len() {
        let admin = system.admin(entry);
        io.print(format_args!("foxtailweir programs --entry {admin}"));
    }
    io.print("\nSIGINT (Ctrl-C) or SIGTERM stops it.");
}
