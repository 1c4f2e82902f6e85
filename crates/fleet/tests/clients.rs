//! The load clients classify a node's answers correctly on the connections that they reuse: served, unsolicited, wrong
//! or missing.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use lilacquay_fleet::Clock;
use lilacquay_fleet::clients::{Load, Outcome, Report, run};

/// Starts a minimal node. For each command, `answer` gets the connection, the command's words and its number on the
/// connection, from 1; the connection is closed when it returns false.
fn start_node(answer: fn(&mut TcpStream, &[String], usize) -> bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut stream = stream;
                let mut number = 0;
                while let Some(words) = read_command(&mut reader) {
                    number += 1;
                    if !answer(&mut stream, &words, number) {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Reads a command as its words; `None` at the end of the connection.
fn read_command(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let mut read_count = || {
        let mut text = String::new();
        reader
            .read_line(&mut text)
            .ok()
            .filter(|&n| n > 0)
            .map(|_| text.trim_end()[1..].parse::<usize>().unwrap())
    };
    let count = read_count()?;
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

/// The valid answer to a command.
fn valid_answer(words: &[String]) -> String {
    let value = format!("{} {} v1", words[2], words[1]);
    format!("${}\r\n{value}\r\n", value.len())
}

/// Loads a node for half a second.
fn run_load(to: SocketAddr) -> Report {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let load = Load { rate: 200.0, keep_requests: true, ..Load::standard(to, Duration::from_millis(500), 1) };
    runtime.block_on(run(load, Clock::default(), Arc::default()))
}

#[test]
fn valid_answers_are_served_and_a_close_between_requests_is_not_a_loss() {
    let report = run_load(start_node(|stream, words, number| {
        stream.write_all(valid_answer(words).as_bytes()).is_ok() && number < 2 // closes after two answers
    }));
    assert!(report.requests.len() > 20);
    assert!(
        report.requests.iter().all(|request| request.outcome == Outcome::Served),
        "{:?}",
        report.requests
    );
    assert_eq!(report.broken(), 0);
}

#[test]
fn a_second_answer_is_reported_on_a_new_connection_and_on_a_reused_one() {
    for repeated_answer in [1, 2] {
        let answer_twice: fn(&mut TcpStream, &[String], usize) -> bool = match repeated_answer {
            1 => |stream, words, number| {
                let answers = valid_answer(words).repeat(if number == 1 { 2 } else { 1 });
                stream.write_all(answers.as_bytes()).is_ok()
            },
            _ => |stream, words, number| {
                let answers = valid_answer(words).repeat(if number == 2 { 2 } else { 1 });
                stream.write_all(answers.as_bytes()).is_ok()
            },
        };
        let report = run_load(start_node(answer_twice));
        assert!(report.unsolicited_answers > 0, "answer {repeated_answer} of each connection was sent twice");
    }
}

#[test]
fn another_requests_value_is_a_wrong_value_and_a_close_without_an_answer_is_a_loss() {
    let wrong_value = run_load(start_node(|stream, _, _| stream.write_all(b"$5\r\ni k v\r\n").is_ok()));
    assert!(wrong_value.requests.iter().all(|request| request.outcome == Outcome::WrongValue));
    let closed = run_load(start_node(|_, _, _| false));
    assert!(closed.requests.iter().all(|request| request.outcome == Outcome::ConnectionClosed));
    assert_eq!(closed.broken(), closed.requests.len() as u64);
}
