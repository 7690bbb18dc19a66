//! Signed tokens by which a caller resumes a stream.
