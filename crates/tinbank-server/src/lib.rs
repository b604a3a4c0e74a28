//! What every server process shares: logs, metrics, health, the error body, authentication and the HTTP client.
