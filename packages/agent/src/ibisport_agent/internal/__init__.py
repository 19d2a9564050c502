"""Internal modules of the agent; not a public interface."""
