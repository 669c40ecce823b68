"""ochrecourse: orders and paces the I/O of many volumes over storage nodes."""
