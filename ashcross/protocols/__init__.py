"""Network protocols: push parsers and encoders without I/O, and thin Twisted protocols on top of them."""
