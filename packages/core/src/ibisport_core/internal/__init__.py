"""Engine of the core package; not a public interface."""
