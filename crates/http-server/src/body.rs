//! Decoding of request bodies from what has been read so far, as sockets never
//! block: by length, or in chunks as in RFC 9112, section 7.1.

use crate::Answer;
use crate::head::{Framing, MAX_BODY, too_large};

/// Bytes of all chunk framing of a body.
const MAX_FRAMING: usize = MAX_BODY;
/// Bytes of one line with the size of a chunk.
const MAX_SIZE_LINE: usize = 1024;
const LINE_END: &[u8] = b"\r\n";

/// The answer to a body that is cut off or malformed.
pub(crate) fn incomplete() -> Answer {
    Answer::error(400, "body: incomplete")
}

/// Finds the end of a body.
pub(crate) enum BodyDecoder {
    Length(usize),
    Chunked(ChunkDecoder),
}

impl BodyDecoder {
    pub fn new(framing: Framing) -> BodyDecoder {
        match framing {
            Framing::None => BodyDecoder::Length(0),
            Framing::Length(n) => BodyDecoder::Length(n),
            Framing::Chunked => BodyDecoder::Chunked(ChunkDecoder::default()),
        }
    }

    /// The body has no more bytes than this.
    pub fn most_bytes(&self) -> usize {
        match self {
            BodyDecoder::Length(n) => *n,
            BodyDecoder::Chunked(_) => MAX_BODY,
        }
    }

    /// Bytes that are missing for certain, if the length is known.
    pub fn missing_bytes(&self, buffer: &[u8]) -> Option<usize> {
        match self {
            BodyDecoder::Length(n) => Some(n.saturating_sub(buffer.len())),
            BodyDecoder::Chunked(_) => None,
        }
    }

    /// Takes what belongs to the body out of the buffer; the body once it is complete.
    ///
    /// # Errors
    /// The answer to what is no body.
    pub fn decode(&mut self, buffer: &mut Vec<u8>) -> Result<Option<Vec<u8>>, Answer> {
        match self {
            BodyDecoder::Length(n) if buffer.len() < *n => Ok(None),
            BodyDecoder::Length(n) => {
                let rest = buffer.split_off(*n);
                Ok(Some(std::mem::replace(buffer, rest)))
            }
            BodyDecoder::Chunked(decoder) => decoder.decode(buffer),
        }
    }
}

/// What comes next in a chunked body.
#[derive(Default)]
enum Expected {
    /// The line with a chunk's size.
    #[default]
    Size,
    /// So many bytes of a chunk, and the end of its line.
    Data(usize),
    /// The end of a chunk's line.
    DataEnd,
    /// The empty line after the last chunk.
    End,
}

#[derive(Default)]
pub(crate) struct ChunkDecoder {
    body: Vec<u8>,
    /// Bytes taken that were framing.
    framing: usize,
    expected: Expected,
}

impl ChunkDecoder {
    fn decode(&mut self, buffer: &mut Vec<u8>) -> Result<Option<Vec<u8>>, Answer> {
        let mut taken = 0;
        let complete = loop {
            match self.step(&buffer[taken..])? {
                Step::Incomplete => break false,
                Step::Took(n) => taken += n,
                Step::Complete(n) => {
                    taken += n;
                    break true;
                }
            }
        };
        buffer.drain(..taken);
        Ok(complete.then(|| std::mem::take(&mut self.body)))
    }

    fn step(&mut self, bytes: &[u8]) -> Result<Step, Answer> {
        match self.expected {
            Expected::Size => self.size_line(bytes),
            Expected::Data(_) if bytes.is_empty() => Ok(Step::Incomplete),
            Expected::Data(left) => {
                let n = left.min(bytes.len());
                self.body.extend_from_slice(&bytes[..n]);
                self.expected = match left - n {
                    0 => Expected::DataEnd,
                    left => Expected::Data(left),
                };
                Ok(Step::Took(n))
            }
            Expected::DataEnd if bytes.len() < LINE_END.len() => Ok(Step::Incomplete),
            Expected::DataEnd if bytes.starts_with(LINE_END) => {
                self.expected = Expected::Size;
                self.framed(LINE_END.len())
            }
            Expected::End if bytes.len() < LINE_END.len() => Ok(Step::Incomplete),
            Expected::End if bytes.starts_with(LINE_END) => Ok(Step::Complete(LINE_END.len())),
            Expected::DataEnd | Expected::End => Err(incomplete()),
        }
    }

    fn size_line(&mut self, bytes: &[u8]) -> Result<Step, Answer> {
        let line = &bytes[..bytes.len().min(MAX_SIZE_LINE)];
        match httparse::parse_chunk_size(line) {
            Ok(httparse::Status::Complete((line, size))) => {
                let size = usize::try_from(size).unwrap_or(usize::MAX);
                if size > MAX_BODY - self.body.len() {
                    return Err(too_large());
                }
                self.expected = match size {
                    0 => Expected::End,
                    size => Expected::Data(size),
                };
                self.framed(line)
            }
            Ok(httparse::Status::Partial) if bytes.len() < MAX_SIZE_LINE => Ok(Step::Incomplete),
            Ok(httparse::Status::Partial) | Err(_) => Err(incomplete()),
        }
    }

    fn framed(&mut self, bytes: usize) -> Result<Step, Answer> {
        self.framing += bytes;
        match self.framing <= MAX_FRAMING {
            true => Ok(Step::Took(bytes)),
            false => Err(incomplete()),
        }
    }
}

enum Step {
    /// More bytes are needed.
    Incomplete,
    /// So many bytes were taken.
    Took(usize),
    /// The body is complete with so many more bytes.
    Complete(usize),
}
