//! What the command-line programs share.
