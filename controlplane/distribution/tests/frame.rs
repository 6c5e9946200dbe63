//! Frames over a byte stream that arrives in pieces.

use std::future::Future;

use quickcheck::{TestResult, quickcheck};
use tokio::io::AsyncWriteExt;
use whinspindle_distribution::frame::{
    FrameBuffer, FrameDecoder, FrameError, FrameKind, FrameReader, MAXIMUM_PAYLOAD_BYTES,
};

const KINDS: [FrameKind; 5] =
    [FrameKind::Hello, FrameKind::Replica, FrameKind::Gossip, FrameKind::Report, FrameKind::ToBalancer];

fn run<T>(future: impl Future<Output = T>) -> T {
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
    fn chunks_of_any_size_give_the_same_frames(frames: Vec<(u8, Vec<u8>)>, piece: usize) -> bool {
        let mut decoder = FrameDecoder::default();
        let mut received = Vec::new();
        for bytes in buffer(&frames).as_slice().chunks(piece % 9 + 1) {
            decoder.extend(bytes);
            while let Some(frame) = decoder.next_frame().unwrap() {
                received.push((frame.kind, frame.payload.to_vec()));
            }
        }
        received == frames.iter().map(|(index, payload)| (kind(*index), payload.clone())).collect::<Vec<_>>()
    }

    fn a_connection_carries_frames(frames: Vec<(u8, Vec<u8>)>) -> bool {
        run(async {
            let (mut near, far) = tokio::io::duplex(1 << 20);
            let mut buffer = buffer(&frames);
            buffer.write_to(&mut near).await.unwrap();
            drop(near);
            let mut reader = FrameReader::new(far);
            for (index, payload) in &frames {
                let frame = reader.next().await.unwrap().unwrap();
                assert_eq!((frame.kind, &frame.payload[..]), (kind(*index), &payload[..]));
            }
            buffer.is_empty() && reader.next().await.unwrap().is_none()
        })
    }

    fn an_end_inside_a_frame_is_an_error(payload: Vec<u8>, cut: usize) -> TestResult {
        let whole = buffer(&[(0, payload)]);
        let cut = cut % whole.pending_bytes();
        if cut == 0 {
            return TestResult::discard();
        }
        TestResult::from_bool(run(async {
            let (mut near, far) = tokio::io::duplex(1 << 20);
            near.write_all(&whole.as_slice()[..cut]).await.unwrap();
            drop(near);
            matches!(FrameReader::new(far).next().await, Err(FrameError::Truncated))
        }))
    }
}

#[test]
fn a_length_above_the_bound_is_refused_before_its_bytes_arrive() {
    let mut decoder = FrameDecoder::default();
    decoder.extend(&(MAXIMUM_PAYLOAD_BYTES as u32 + 1).to_be_bytes());
    decoder.extend(&[FrameKind::Report as u8]);
    assert!(matches!(decoder.next_frame(), Err(FrameError::TooLong { .. })));
}

#[test]
fn an_unknown_kind_is_refused() {
    let mut decoder = FrameDecoder::default();
    decoder.extend(&[0, 0, 0, 0, 99]);
    assert!(matches!(decoder.next_frame(), Err(FrameError::UnknownKind { kind: 99 })));
}

#[test]
fn oversized_payload_is_not_queued() {
    let mut buffer = FrameBuffer::default();
    let payload = vec![0; MAXIMUM_PAYLOAD_BYTES + 1];
    assert!(matches!(buffer.push(FrameKind::Replica, &payload), Err(FrameError::TooLong { .. })));
    assert!(buffer.is_empty());
}

#[test]
fn frames_received_together_are_returned_without_waiting() {
    run(async {
        let (mut near, far) = tokio::io::duplex(1 << 10);
        buffer(&[(0, vec![1]), (1, vec![2])]).write_to(&mut near).await.unwrap();
        let mut reader = FrameReader::new(far);
        assert_eq!(reader.next().await.unwrap().unwrap().payload[..], [1]);
        assert_eq!(reader.next_buffered().unwrap().unwrap().payload[..], [2]);
        assert_eq!(reader.next_buffered().unwrap(), None);
    });
}
