//! Length-prefixed `postcard` frames on QUIC streams.

use quinn::{ReadExactError, RecvStream, SendStream};

use crate::wire;

/// Maximum size of a frame; fits a request body of 1 MiB and the other fields of a dispatch.
const MAX_FRAME_BYTES: usize = 1_280 * 1_024;

/// Writes one frame; errs if it exceeds the size limit or the stream is lost.
pub async fn write(
    stream: &mut SendStream,
    frame: &impl serde::Serialize,
) -> Result<(), wire::WireError> {
    let mut buf = postcard::to_extend(frame, vec![0; 4])?;
    let len = buf.len() - 4;
    if len > MAX_FRAME_BYTES {
        return Err(wire::WireError::TooLarge(len));
    }
    let prefix = u32::try_from(len).map_err(|_| wire::WireError::TooLarge(len))?;
    buf[..4].copy_from_slice(&prefix.to_be_bytes());
    stream.write_all(&buf).await?;
    Ok(())
}

/// Reads one frame; `None` if the peer has finished the stream after a complete frame.
pub async fn read<T: serde::de::DeserializeOwned>(
    stream: &mut RecvStream,
) -> Result<Option<T>, wire::WireError> {
    let mut prefix = [0; 4];
    match stream.read_exact(&mut prefix).await {
        Ok(()) => {}
        Err(ReadExactError::FinishedEarly(0)) => return Ok(None),
        Err(err) => return Err(err.into()),
    }
    let len = u32::from_be_bytes(prefix) as usize;
    if len > MAX_FRAME_BYTES {
        return Err(wire::WireError::TooLarge(len));
    }
    let mut buf = vec![0; len];
    stream.read_exact(&mut buf).await?;
    Ok(Some(postcard::from_bytes(&buf)?))
}
