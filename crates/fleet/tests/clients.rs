//! The clients tell broken answers from good ones, on connections that they use again.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use lilacquay_fleet::Clock;
use lilacquay_fleet::clients::{Load, Outcome, Report, run};

/// A node of a few lines: reads commands and has each answered by its words.
fn node(answer: fn(&mut TcpStream, &[String], usize) -> bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut stream = stream;
                let mut n = 0;
                while let Some(words) = words(&mut reader) {
                    n += 1;
                    if !answer(&mut stream, &words, n) {
                        return;
                    }
                }
            });
        }
    });
    addr
}

fn words(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let mut line = || {
        let mut text = String::new();
        reader
            .read_line(&mut text)
            .ok()
            .filter(|&n| n > 0)
            .map(|_| text.trim_end()[1..].parse::<usize>().unwrap())
    };
    let count = line()?;
    (0..count)
        .map(|_| {
            let mut header = String::new();
            reader.read_line(&mut header).ok().filter(|&n| n > 0)?;
            let mut text = vec![0; header.trim_end()[1..].parse::<usize>().unwrap() + 2];
            reader.read_exact(&mut text).ok()?;
            Some(String::from_utf8_lossy(&text[..text.len() - 2]).into_owned())
        })
        .collect()
}

fn good(words: &[String]) -> String {
    let value = format!("{} {} v1", words[2], words[1]);
    format!("${}\r\n{value}\r\n", value.len())
}

fn load(to: SocketAddr) -> Report {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let load = Load { rate: 200.0, keep_requests: true, ..Load::standard(to, Duration::from_millis(500), 1) };
    runtime.block_on(run(load, Clock::default(), Arc::default()))
}

#[test]
fn good_answers_are_served_and_a_close_between_requests_is_no_loss() {
    let report = load(node(|stream, words, n| {
        stream.write_all(good(words).as_bytes()).is_ok() && n < 2 // closed after two
    }));
    assert!(report.requests.len() > 20);
    assert!(report.requests.iter().all(|ask| ask.outcome == Outcome::Served), "{:?}", report.requests);
    assert_eq!(report.broken(), 0);
}

#[test]
fn a_second_answer_is_told_on_a_new_connection_and_on_a_used_one() {
    for at in [1, 2] {
        let twice: fn(&mut TcpStream, &[String], usize) -> bool = match at {
            1 => |stream, words, n| {
                let text = good(words).repeat(if n == 1 { 2 } else { 1 });
                stream.write_all(text.as_bytes()).is_ok()
            },
            _ => |stream, words, n| {
                let text = good(words).repeat(if n == 2 { 2 } else { 1 });
                stream.write_all(text.as_bytes()).is_ok()
            },
        };
        let report = load(node(twice));
        assert!(report.unsolicited_answers > 0, "at the answer {at} of a connection");
    }
}

#[test]
fn another_requests_value_is_no_answer_and_a_close_instead_of_one_is_a_loss() {
    let foreign = load(node(|stream, _, _| stream.write_all(b"$5\r\ni k v\r\n").is_ok()));
    assert!(foreign.requests.iter().all(|ask| ask.outcome == Outcome::WrongValue));
    let lost = load(node(|_, _, _| false));
    assert!(lost.requests.iter().all(|ask| ask.outcome == Outcome::ConnectionClosed));
    assert_eq!(lost.broken(), lost.requests.len() as u64);
}
