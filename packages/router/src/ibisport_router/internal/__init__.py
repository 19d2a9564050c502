"""Internal modules; not a public interface."""
