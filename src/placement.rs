//! Choice of engines for a request.
