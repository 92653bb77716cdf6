//! The `bulrushlink` command line.
