//! Tests of frames on byte streams.

use std::future::Future;

use quickcheck::{TestResult, quickcheck};
use tokio::io::AsyncWriteExt;
use whinspindle_distribution::frame::{
    FrameBuffer, FrameDecoder, FrameError, FrameKind, FrameReader, MAXIMUM_PAYLOAD_BYTES,
};

const KINDS: [FrameKind; 5] =
    [FrameKind::Hello, FrameKind::Replica, FrameKind::Gossip, FrameKind::Report, FrameKind::ToBalancer];

fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(future)
}

fn kind(index: u8) -> FrameKind {
    KINDS[usize::from(index) % KINDS.len()]
}

fn buffer(frames: &[(u8, Vec<u8>)]) -> FrameBuffer {
    let mut buffer = FrameBuffer::default();
    for (index, payload) in frames {
        buffer.push(kind(*index), payload).unwrap();
    }
    buffer
}

quickcheck! {
    fn decoded_frames_do_not_depend_on_the_chunk_size(frames: Vec<(u8, Vec<u8>)>, chunk_size: usize) -> bool {
        let mut decoder = FrameDecoder::default();
        let mut received = Vec::new();
        for bytes in buffer(&frames).as_slice().chunks(chunk_size % 9 + 1) {
            decoder.extend(bytes);
            while let Some(frame) = decoder.next_frame().unwrap() {
                received.push((frame.kind, frame.payload.to_vec()));
            }
        }
        received == frames.iter().map(|(index, payload)| (kind(*index), payload.clone())).collect::<Vec<_>>()
    }

    fn frames_are_read_as_they_were_written(frames: Vec<(u8, Vec<u8>)>) -> bool {
        block_on(async {
            let (mut sender, receiver) = tokio::io::duplex(1 << 20);
            let mut buffer = buffer(&frames);
            buffer.write_to(&mut sender).await.unwrap();
            drop(sender);
            let mut reader = FrameReader::new(receiver);
            for (index, payload) in &frames {
                let frame = reader.next().await.unwrap().unwrap();
                assert_eq!((frame.kind, &frame.payload[..]), (kind(*index), &payload[..]));
            }
            buffer.is_empty() && reader.next().await.unwrap().is_none()
        })
    }

    fn connection_end_inside_a_frame_is_an_error(payload: Vec<u8>, cut: usize) -> TestResult {
        let buffer = buffer(&[(0, payload)]);
        let cut = cut % buffer.pending_bytes();
        if cut == 0 {
            return TestResult::discard();
        }
        TestResult::from_bool(block_on(async {
            let (mut sender, receiver) = tokio::io::duplex(1 << 20);
            sender.write_all(&buffer.as_slice()[..cut]).await.unwrap();
            drop(sender);
            matches!(FrameReader::new(receiver).next().await, Err(FrameError::Truncated))
        }))
    }
}

#[test]
fn too_long_frame_is_rejected_before_its_payload_arrives() {
    let mut decoder = FrameDecoder::default();
    decoder.extend(&(MAXIMUM_PAYLOAD_BYTES as u32 + 1).to_be_bytes());
    decoder.extend(&[FrameKind::Report as u8]);
    assert!(matches!(decoder.next_frame(), Err(FrameError::TooLong { .. })));
}

#[test]
fn unknown_frame_kind_is_rejected() {
    let mut decoder = FrameDecoder::default();
    decoder.extend(&[0, 0, 0, 0, 99]);
    assert!(matches!(decoder.next_frame(), Err(FrameError::UnknownKind { kind: 99 })));
}

#[test]
fn oversized_payload_is_not_buffered() {
    let mut buffer = FrameBuffer::default();
    let payload = vec![0; MAXIMUM_PAYLOAD_BYTES + 1];
    assert!(matches!(buffer.push(FrameKind::Replica, &payload), Err(FrameError::TooLong { .. })));
    assert!(buffer.is_empty());
}

#[test]
fn frames_received_together_are_returned_without_waiting() {
    block_on(async {
        let (mut sender, receiver) = tokio::io::duplex(1 << 10);
        buffer(&[(0, vec![1]), (1, vec![2])]).write_to(&mut sender).await.unwrap();
        let mut reader = FrameReader::new(receiver);
        assert_eq!(reader.next().await.unwrap().unwrap().payload[..], [1]);
        assert_eq!(reader.next_buffered().unwrap().unwrap().payload[..], [2]);
        assert_eq!(reader.next_buffered().unwrap(), None);
    });
}
