//! A proxy on loopback that delays, silences, cuts one way or resets connections.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// What a proxy does to its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Each piece comes so much later.
    Delay(Duration),
    /// Nothing passes until the fault ends.
    Silent,
    /// Nothing passes from the caller until the fault ends; answers do.
    OneWay,
    /// All connections are reset when it begins; new ones are as always.
    Reset,
}

/// How often a silenced connection looks whether the fault is over.
const LOOK: Duration = Duration::from_millis(10);

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    open: Vec<Weak<Joined>>,
}

/// A caller's connection and the one to the target.
#[derive(Debug)]
struct Joined {
    caller: TcpStream,
    callee: TcpStream,
    is_reset: AtomicBool,
}

impl Joined {
    fn new(caller: TcpStream, callee: TcpStream) -> io::Result<Self> {
        caller.set_nodelay(true)?;
        callee.set_nodelay(true)?;
        Ok(Self {
            caller,
            callee,
            is_reset: AtomicBool::new(false),
        })
    }

    /// Ends both connections by a reset, which they have once nobody reads them any more: an end in
    /// order would tell that an answer without a length is whole.
    fn reset(&self) {
        self.is_reset.store(true, Ordering::Release);
        for stream in [&self.caller, &self.callee] {
            let socket = socket2::SockRef::from(stream);
            // Without the option the connection ends in order, and a check may find it.
            let _ = socket.set_linger(Some(Duration::ZERO));
            // Wakes who reads; a connection that is gone has nobody.
            let _ = stream.shutdown(Shutdown::Read);
        }
    }

    /// Passes the end of one connection on to the other.
    fn end(&self, to: &TcpStream) {
        if !self.is_reset.load(Ordering::Acquire) {
            // A connection that is gone needs no end.
            let _ = to.shutdown(Shutdown::Write);
        }
    }
}

/// A way to an address.
#[derive(Debug, Clone)]
pub struct Proxy {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Proxy {
    /// Starts a way to `target` on a free port.
    ///
    /// # Errors
    ///
    /// Where no port is free.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let proxy = accepting.clone();
                thread::spawn(move || proxy.join(caller, target));
            }
        });
        Ok(proxy)
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it does from now on.
    pub fn set_fault(&self, fault: Fault) {
        let mut state = self.lock();
        state.fault = fault;
        if fault == Fault::Reset {
            let open = std::mem::take(&mut state.open);
            open.iter()
                .filter_map(Weak::upgrade)
                .for_each(|joined| joined.reset());
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn join(&self, caller: TcpStream, target: SocketAddr) {
        let callee = TcpStream::connect(target);
        let Ok(joined) = callee.and_then(|callee| Joined::new(caller, callee)) else {
            // Dropping the caller's connection is the answer to a target that is not there.
            return;
        };
        let joined = Arc::new(joined);
        {
            let mut state = self.lock();
            state.open.retain(|it| it.strong_count() > 0);
            state.open.push(Arc::downgrade(&joined));
        }
        let (proxy, forth) = (self.clone(), Arc::clone(&joined));
        thread::spawn(move || proxy.pump(&forth, true));
        self.pump(&joined, false);
    }

    fn pump(&self, joined: &Joined, is_forth: bool) {
        let (mut from, mut to) = match is_forth {
            true => (&joined.caller, &joined.callee),
            false => (&joined.callee, &joined.caller),
        };
        let mut buf = [0; 16 * 1024];
        loop {
            let read = match from.read(&mut buf) {
                Ok(0) => return joined.end(to),
                Ok(read) => read,
                Err(_) => return joined.reset(),
            };
            self.hold(is_forth);
            if to.write_all(&buf[..read]).is_err() {
                return joined.reset();
            }
        }
    }

    /// Waits as the fault wants it.
    fn hold(&self, is_forth: bool) {
        loop {
            let fault = self.lock().fault;
            match fault {
                Fault::Silent => thread::sleep(LOOK),
                Fault::OneWay if is_forth => thread::sleep(LOOK),
                Fault::Delay(span) => return thread::sleep(span),
                Fault::None | Fault::OneWay | Fault::Reset => return,
            }
        }
    }
}
