"""Reports on service quality from the logs of gateways; used by the command line only."""
