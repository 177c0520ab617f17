//! A proxy whose connections can be made silent: they stay open, and nothing passes any more.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

#[derive(Default)]
struct Link {
    /// First line of the last request, while it has no answer.
    open_request: Mutex<Option<String>>,
    silent: AtomicBool,
}

pub struct Proxy {
    pub address: SocketAddr,
    links: Mutex<Vec<Arc<Link>>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let proxy = Arc::new(Self {
            address,
            links: Mutex::default(),
        });
        let accepting = proxy.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = caller.set_nodelay(true);
                let _ = server.set_nodelay(true);
                let link = Arc::new(Link::default());
                accepting.links.lock().unwrap().push(link.clone());
                let (Ok(caller_end), Ok(server_end)) = (caller.try_clone(), server.try_clone())
                else {
                    continue;
                };
                let back = link.clone();
                thread::spawn(move || pump(caller, server_end, &link, true));
                thread::spawn(move || pump(server, caller_end, &back, false));
            }
        });
        proxy
    }

    /// Makes the connections silent whose request in progress has this text. Returns their number.
    pub fn silence(&self, text: &str) -> usize {
        let links = self.links.lock().unwrap();
        let matching = links.iter().filter(|link| {
            let request = link.open_request.lock().unwrap();
            request.as_ref().is_some_and(|line| line.contains(text))
        });
        let mut count = 0;
        for link in matching {
            count += usize::from(!link.silent.swap(true, Ordering::SeqCst));
        }
        count
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, link: &Link, is_request: bool) {
    let mut bytes = vec![0; 64 << 10];
    while let Ok(length) = from.read(&mut bytes) {
        let silent = link.silent.load(Ordering::SeqCst);
        if length == 0 {
            if !silent {
                break;
            }
            return;
        }
        if silent {
            continue;
        }
        let mut request = link.open_request.lock().unwrap();
        *request = is_request.then(|| {
            let text = String::from_utf8_lossy(&bytes[..length]);
            text.lines().next().unwrap_or("").to_owned()
        });
        drop(request);
        if to.write_all(&bytes[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
