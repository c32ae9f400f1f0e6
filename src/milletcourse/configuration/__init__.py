"""Distribution of accepted configuration to every router, with proofs that it is current."""
