"""Stand-ins, simulations, experiments and load tools for ibisport."""
