//! Submission, promotion and distribution of documents.
