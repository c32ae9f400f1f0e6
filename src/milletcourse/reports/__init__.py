"""What gateways' own logs tell of the service that they gave; used by the command line only."""
