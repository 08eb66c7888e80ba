"""The state of the dispatcher: buffers, open requests and attempts, engines and connections."""
