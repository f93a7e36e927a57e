"""Messages between processes (§3.1): the endpoint that sends and receives them, and their encoding."""
