//! The watch against a scripted discovery: what is told, and from where it is opened again.

use std::cell::RefCell;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::mpsc::channel;
use std::thread;

use whinspindle_serverlist::{Source, follow};

fn line(generation: u64) -> String {
    format!(r#"{{"generation": {generation}, "reset": false, "instances": []}}"#)
}

#[test]
fn the_watch_goes_on_from_what_is_known() {
    let broken = "{\"generation\": 9, \"instances\": 7}";
    let long = format!("{{\"generation\": 3, \"instances\": [{}]}}", vec!["7"; 30_000].join(","));
    for (known, first, told, again) in [
        (None, vec![line(1)], vec![1], "/v1/servers?watch=1&from=1"),
        (Some(41), vec![], vec![], "/v1/servers?watch=1&from=41"),
        (
            Some(41),
            vec![String::new(), line(42), String::new(), line(43)],
            vec![42, 43],
            "/v1/servers?watch=1&from=43",
        ),
        (
            Some(1),
            vec![broken.to_string(), line(2), "{\"gen".to_string()],
            vec![2],
            "/v1/servers?watch=1&from=2",
        ),
        (Some(2), vec![long], vec![3], "/v1/servers?watch=1&from=3"),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, asked) = channel();
        let first_lines = first.clone();
        thread::spawn(move || {
            for (number, socket) in listener.incoming().enumerate() {
                let mut socket = BufReader::new(socket.expect("a connection"));
                let mut target = String::new();
                socket.read_line(&mut target).expect("a request");
                let mut rest = target.clone();
                while rest.trim() != "" {
                    rest.clear();
                    socket.read_line(&mut rest).expect("a header");
                }
                // Chunks that end in the middle of a line.
                let body = if number == 0 { first_lines.join("\n") + "\n" } else { String::new() };
                let mut reply = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_string();
                for chunk in body.as_bytes().chunks(1000) {
                    reply += &format!("{:x}\r\n{}\r\n", chunk.len(), String::from_utf8_lossy(chunk));
                }
                socket.get_mut().write_all(reply.as_bytes()).expect("written");
                let _ = tell.send(target.split(' ').nth(1).unwrap_or_default().to_string());
            }
        });
        let heard = Rc::new(RefCell::new(Vec::new()));
        let keep = Rc::clone(&heard);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let targets = runtime.block_on(async {
            let source = Rc::new(Source::new(address, known));
            let following = follow(source, move |news| keep.borrow_mut().push(news.generation));
            let asked_twice = tokio::task::spawn_blocking(move || asked.iter().take(2).collect::<Vec<_>>());
            tokio::select! {
                () = following => Vec::new(),
                targets = asked_twice => targets.expect("asked"),
            }
        });
        let from = known.map_or(String::new(), |generation| format!("&from={generation}"));
        assert_eq!(targets, [format!("/v1/servers?watch=1{from}"), again.to_string()], "{first:?}");
        assert_eq!(*heard.borrow(), told, "{first:?}");
    }
}
