//! The programs of bulrushlink: the daemon `bulrushlinkd`, the command line `bulrushlink` and
//! `bulrushlink-standin`, which takes the platform's place in tests and examples.
