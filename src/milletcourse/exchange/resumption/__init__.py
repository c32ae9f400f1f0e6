"""What gateways know of the streams that clients may resume; no input/output."""
