//! Simulates a process that can crash: a thread with its own runtime.
//!
//! The process runs one incarnation after another; each ends with a crash.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use axum::serve::ListenerExt;
use futures_util::future;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// Attempts to rebind a port before giving up.
const BIND_ATTEMPTS: u32 = 100;
/// Delay between two attempts to rebind a port.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves the listener during one incarnation; the future is dropped at its end.
type Serve = dyn Fn(TcpListener) -> future::LocalBoxFuture<'static, ()> + Send + Sync;

/// Crashes and stops a [`Process`].
#[derive(Debug, Default)]
pub(crate) struct Control {
    restart_after: Option<Duration>,
    crash: Notify,
    stop: AtomicBool,
}

impl Control {
    pub(crate) fn new(restart_after: Option<Duration>) -> Arc<Self> {
        Arc::new(Self {
            restart_after,
            ..Self::default()
        })
    }

    /// Ends the current incarnation: its connections break and new ones are refused.
    pub(crate) fn crash(&self) {
        self.crash.notify_one();
    }
}

/// A thread that serves one port through successive incarnations.
pub(crate) struct Process {
    addr: SocketAddr,
    control: Arc<Control>,
    serve: Arc<Serve>,
    thread: Mutex<Option<thread::JoinHandle<()>>>,
}

impl Process {
    /// Starts the first incarnation on a free port of the loopback interface.
    pub(crate) fn spawn<F>(control: Arc<Control>, serve: F) -> io::Result<Self>
    where
        F: Fn(TcpListener) -> future::LocalBoxFuture<'static, ()> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let process = Self {
            addr: listener.local_addr()?,
            control,
            serve: Arc::new(serve),
            thread: Mutex::default(),
        };
        process.start(listener);
        Ok(process)
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Ends the current incarnation, and waits for its end unless it restarts automatically.
    pub(crate) fn crash(&self) {
        self.control.crash();
        if self.control.restart_after.is_none() {
            self.join();
        }
    }

    /// Starts a new incarnation on the same port after a crash.
    pub(crate) fn restart(&self) -> io::Result<()> {
        self.join();
        self.start(rebind(self.addr)?);
        Ok(())
    }

    fn start(&self, listener: TcpListener) {
        let addr = self.addr;
        let control = self.control.clone();
        let serve = self.serve.clone();
        let run = move || run_incarnations(listener, addr, &control, &*serve);
        *self.thread.lock() = Some(thread::spawn(run));
    }

    fn join(&self) {
        let thread = self.thread.lock().take();
        if let Some(thread) = thread {
            // A panic of the thread has already been printed; the process is down either way.
            let _ = thread.join();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.control.stop.store(true, Ordering::SeqCst);
        self.control.crash();
        self.join();
    }
}

impl std::fmt::Debug for Process {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Process").field("addr", &self.addr).finish()
    }
}

/// Runs one incarnation, and further ones if the process restarts automatically.
fn run_incarnations(listener: TcpListener, addr: SocketAddr, control: &Control, serve: &Serve) {
    let mut next = Some(listener);
    while let Some(listener) = next.take() {
        run_incarnation(listener, control, serve);
        let Some(delay) = control.restart_after else {
            return;
        };
        thread::sleep(delay);
        if !control.stop.load(Ordering::SeqCst) {
            next = rebind(addr).ok();
        }
    }
}

/// Runs one incarnation. The listener and all connections are closed on return.
fn run_incarnation(listener: TcpListener, control: &Control, serve: &Serve) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else { return };
    runtime.block_on(async {
        tokio::select! {
            () = serve(listener) => {}
            () = control.crash.notified() => {}
        }
    });
    // Dropping the runtime drops the task of each connection, and with it the socket.
    drop(runtime);
}

/// Serves HTTP until the future is dropped.
pub(crate) async fn serve_http(listener: TcpListener, router: axum::Router) {
    if listener.set_nonblocking(true).is_err() {
        return;
    }
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    // With Nagle's algorithm each chunk after the first waits up to 40 ms for an acknowledgement.
    let listener = listener.tap_io(|socket| {
        let _ = socket.set_nodelay(true);
    });
    // The only error of `serve` is a failed listener, which ends this incarnation.
    let _ = axum::serve(listener, router).await;
}

/// Rebinds a port whose previous listener has just been closed.
fn rebind(addr: SocketAddr) -> io::Result<TcpListener> {
    for _ in 1..BIND_ATTEMPTS {
        if let Ok(listener) = TcpListener::bind(addr) {
            return Ok(listener);
        }
        thread::sleep(BIND_RETRY_DELAY);
    }
    TcpListener::bind(addr)
}
