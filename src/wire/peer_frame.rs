//! Frames between controllers: four bytes of length, a message, and after a ping its
//! extensions, which earlier versions neither send nor read.

use super::peer::{PeerMessage, PingExtension, PingIdentity};
use std::io::{Error, Read, Result};

/// Maximum size of a message in bytes; a longer one is rejected.
pub const MAX_FRAME_BYTES: usize = 128 * 1024;

/// Extensions of a ping; earlier versions don't send the second one.
pub type PingTail = (PingExtension, Option<PingIdentity>);

/// Appends the frame of a message to `out`.
///
/// # Errors
/// If the message can't be encoded.
pub fn encode(
    message: &PeerMessage,
    tail: (PingExtension, PingIdentity),
    out: &mut Vec<u8>,
) -> Result<()> {
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    let config = bincode::config::standard();
    let failed = |e: bincode::error::EncodeError| Error::other(e.to_string());
    let mut length = bincode::encode_into_std_write(message, out, config).map_err(failed)?;
    if matches!(message, PeerMessage::Ping { .. }) {
        length += bincode::encode_into_std_write(tail, out, config).map_err(failed)?;
    }
    out[start..start + 4].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(())
}

/// Reads the next message.
///
/// # Errors
/// If the connection has ended, or the frame is too long or malformed.
pub fn read(from: &mut impl Read) -> Result<(PeerMessage, PingTail)> {
    let mut length = [0; 4];
    from.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(Error::other("frame too long"));
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let (message, taken) =
        bincode::decode_from_slice(&body, config).map_err(|e| Error::other(e.to_string()))?;
    // Earlier versions send no extension.
    let Ok((more, n)) = bincode::decode_from_slice(&body[taken..], config) else {
        return Ok((message, Default::default()));
    };
    let own = bincode::decode_from_slice(&body[taken + n..], config).map(|o| o.0);
    Ok((message, (more, own.ok())))
}
