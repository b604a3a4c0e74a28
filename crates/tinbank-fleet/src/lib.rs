//! Keeps the models, adapters and versions that the configuration asks for on the engines.
