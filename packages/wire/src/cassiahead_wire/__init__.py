"""HTTP/1.1 client connections, socket addresses and clocks."""
