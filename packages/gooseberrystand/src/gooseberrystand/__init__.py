"""Stand-ins for the platform and the upstreams, the demo and the load tool."""
